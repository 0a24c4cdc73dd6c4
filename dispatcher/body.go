package dispatcher

import (
	"errors"
	"io"
	"sync"
)

// errTooLarge ends a body that is longer than the entry takes.
var errTooLarge = errors.New("body is too large")

// body is a caller's body, of which the beginning can be read again for
// another try.
type body struct {
	from io.Reader
	// reading is held while from is read; only its holder changes left.
	reading sync.Mutex
	left    int64

	mu sync.Mutex
	// kept has what was read so far, from the beginning, until more than
	// replay bytes were read; then lost is set.
	kept []byte
	lost bool
	// err is how reading ended; io.EOF for a whole body.
	err error
	// current is the try that may read; an earlier one reads no more.
	current int
}

func newBody(from io.Reader, limit int64) *body {
	return &body{from: from, left: limit}
}

// fresh returns the body for a new try, or false when too much was read to
// begin again.
func (b *body) fresh() (io.Reader, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.lost {
		return nil, false
	}
	b.current++
	return &try{b: b, number: b.current}, true
}

// fault returns how reading the caller's body failed, or nil.
func (b *body) fault() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.err == io.EOF {
		return nil
	}
	return b.err
}

// read says whether the whole body was read, or failed.
func (b *body) read() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.err != nil
}

// try reads the body from its beginning.
type try struct {
	b      *body
	number int
	at     int
}

// Read reads what earlier tries read, then on from the caller.
func (t *try) Read(p []byte) (int, error) {
	if n, ok, err := t.again(p); ok {
		return n, err
	}
	t.b.reading.Lock()
	defer t.b.reading.Unlock()
	// An earlier try may have been reading until now.
	if n, ok, err := t.again(p); ok {
		return n, err
	}
	n, err := t.b.from.Read(p)
	t.b.left -= int64(n)
	if t.b.left < 0 {
		err = errTooLarge
	}
	return t.keep(p[:n], err)
}

// again reads what is kept; false when the caller must be read.
func (t *try) again(p []byte) (int, bool, error) {
	b := t.b
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case t.number != b.current:
		return 0, true, io.ErrClosedPipe
	case !b.lost && t.at < len(b.kept):
		n := copy(p, b.kept[t.at:])
		t.at += n
		return n, true, nil
	case b.err != nil:
		return 0, true, b.err
	}
	return 0, false, nil
}

// keep notes what was read. What a try read that is no longer current is for
// the one after it, so that is always kept.
func (t *try) keep(p []byte, err error) (int, error) {
	b := t.b
	b.mu.Lock()
	defer b.mu.Unlock()
	b.err = err
	stale := t.number != b.current
	switch {
	case b.lost:
	case stale || len(b.kept)+len(p) <= replay:
		b.kept = append(b.kept, p...)
	default:
		b.lost, b.kept = true, nil
	}
	if stale {
		return 0, io.ErrClosedPipe
	}
	t.at += len(p)
	return len(p), err
}
