package limiter

import (
	"context"
	"errors"
	"io"
	"sync"
)

// Sizes of the pieces in which a body is kept, in bytes.
const (
	minPiece = 1 << 10
	// smallBody is the size up to which a body is not charged: the memory that a connection is
	// counted with has room for it. It is also the size of the largest piece.
	smallBody = 16 << 10
	// probe is how much of a body is read before a piece is charged for it.
	probe = 512
)

// pieces holds pieces of smallBody bytes that are free.
var pieces = sync.Pool{New: func() any { return new([smallBody]byte) }}

// Payload is a request body that was read whole.
type Payload struct {
	group *Group
	// account is nil for a body that was never charged.
	account *Body
	parts   [][]byte
	size    int
	// weight is the room for decoded bodies that is held.
	weight int64
}

// Size returns the size of the body in bytes.
func (p *Payload) Size() int { return p.size }

// Large reports whether Decode waits for room.
func (p *Payload) Large() bool { return p.size > smallBody }

// read reads a body of at most limit bytes.
func (p *Payload) read(r io.Reader, limit int64, evict func()) error {
	var head [probe]byte
	for {
		n, err := r.Read(head[:])
		for rest := head[:n]; len(rest) > 0; {
			part, growErr := p.grow(limit, evict)
			if growErr != nil {
				return growErr
			}
			copied := copy(part[len(part):cap(part)], rest)
			p.extend(copied)
			rest = rest[copied:]
		}
		for err == nil && len(p.parts) > 0 && len(p.last()) < cap(p.last()) {
			n, err = r.Read(p.last()[len(p.last()):cap(p.last())])
			p.extend(n)
		}
		if int64(p.size) > limit {
			return ErrTooLarge
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// last returns the piece that is filled now.
func (p *Payload) last() []byte { return p.parts[len(p.parts)-1] }

// extend adds n bytes that were written behind the last piece.
func (p *Payload) extend(n int) {
	if n > 0 {
		p.parts[len(p.parts)-1] = p.last()[:len(p.last())+n]
		p.size += n
	}
}

// grow returns the last piece, or a new one if that is full.
func (p *Payload) grow(limit int64, evict func()) ([]byte, error) {
	if len(p.parts) > 0 && len(p.last()) < cap(p.last()) {
		return p.last(), nil
	}
	if int64(p.size) >= limit {
		return nil, ErrTooLarge
	}
	var part []byte
	if p.size < smallBody {
		part = make([]byte, 0, max(minPiece, p.size))
	} else {
		if err := p.group.charge(p, smallBody, evict); err != nil {
			return nil, err
		}
		piece, _ := pieces.Get().(*[smallBody]byte)
		part = piece[:0]
	}
	p.parts = append(p.parts, part)
	return part, nil
}

// Decode calls decode with the body, which it may not keep. It may be called again only after
// ErrBusy, and not after Release. Large bodies are decoded only while
// there is room for what they become; that room is held until Release. ErrBusy means that ctx
// ended before there was any.
func (p *Payload) Decode(ctx context.Context, decode func(raw []byte) error) error {
	if p.Large() {
		weight := min(int64(p.size)*decodeFactor, p.group.decodeBytes)
		if p.group.decoding.Acquire(ctx, weight) != nil {
			if !errors.Is(ctx.Err(), context.Canceled) { // otherwise the caller has gone
				p.group.note("decode_busy")
			}
			return ErrBusy
		}
		p.weight = weight
	}
	raw := make([]byte, 0, p.size)
	for _, part := range p.parts {
		raw = append(raw, part...)
	}
	p.drop()
	return decode(raw)
}

// drop gives up the pieces of the body and their charge.
func (p *Payload) drop() {
	for _, part := range p.parts {
		if cap(part) == smallBody {
			pieces.Put((*[smallBody]byte)(part[:smallBody]))
		}
	}
	p.parts = nil
	p.group.release(p)
}

// Release gives up all that the body holds. It may be called more than once.
func (p *Payload) Release() {
	p.drop()
	if p.weight > 0 {
		p.group.decoding.Release(p.weight)
		p.weight = 0
	}
}
