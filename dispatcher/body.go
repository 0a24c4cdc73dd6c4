package dispatcher

import (
	"errors"
	"io"
	"sync"
)

// errTooLarge ends a body that exceeds the entry's limit.
var errTooLarge = errors.New("body is too large")

// body is a caller's request body. Its beginning is buffered, so that a retry
// can send it again.
type body struct {
	source io.Reader
	// readMu is held while source is read; it guards remaining.
	readMu    sync.Mutex
	remaining int64

	mu sync.Mutex
	// buffered holds everything read so far. Once that exceeds maxReplayBytes,
	// the buffer is dropped and replayLost is set.
	buffered   []byte
	replayLost bool
	// err is the error that ended reading; io.EOF for a complete body.
	err error
	// currentAttempt is the only attempt that may read; reads of earlier ones
	// fail.
	currentAttempt int
}

func newBody(source io.Reader, limit int64) *body {
	return &body{source: source, remaining: limit}
}

// newReader returns a reader of the whole body for a new attempt and invalidates
// the readers before it. It returns false if the beginning is no longer buffered.
func (b *body) newReader() (io.Reader, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.replayLost {
		return nil, false
	}
	b.currentAttempt++
	return &attemptReader{body: b, attempt: b.currentAttempt}, true
}

// readErr returns the error that ended the caller's body early, or nil.
func (b *body) readErr() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.err == io.EOF {
		return nil
	}
	return b.err
}

// consumed reports whether the body was read to its end or to an error.
func (b *body) consumed() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.err != nil
}

// complete reports whether the body was read to its end.
func (b *body) complete() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.err == io.EOF
}

// attemptReader reads the body from its beginning for one attempt.
type attemptReader struct {
	body    *body
	attempt int
	offset  int
}

// Read returns the bytes that earlier attempts buffered, then reads from the
// caller.
func (r *attemptReader) Read(p []byte) (int, error) {
	if n, ok, err := r.readBuffered(p); ok {
		return n, err
	}
	r.body.readMu.Lock()
	defer r.body.readMu.Unlock()
	// An earlier attempt may have filled the buffer while this one waited.
	if n, ok, err := r.readBuffered(p); ok {
		return n, err
	}
	n, err := r.body.source.Read(p)
	r.body.remaining -= int64(n)
	if r.body.remaining < 0 {
		err = errTooLarge
	}
	return r.buffer(p[:n], err)
}

// readBuffered reads from the buffer. It returns false if the next bytes must
// come from the caller.
func (r *attemptReader) readBuffered(p []byte) (int, bool, error) {
	body := r.body
	body.mu.Lock()
	defer body.mu.Unlock()
	switch {
	case r.attempt != body.currentAttempt:
		return 0, true, io.ErrClosedPipe
	case !body.replayLost && r.offset < len(body.buffered):
		n := copy(p, body.buffered[r.offset:])
		r.offset += n
		return n, true, nil
	case body.err != nil:
		return 0, true, body.err
	}
	return 0, false, nil
}

// buffer stores bytes read from the caller. Bytes that a superseded attempt read
// are stored even beyond maxReplayBytes, because the next attempt needs them.
func (r *attemptReader) buffer(p []byte, err error) (int, error) {
	body := r.body
	body.mu.Lock()
	defer body.mu.Unlock()
	body.err = err
	stale := r.attempt != body.currentAttempt
	switch {
	case body.replayLost:
	case stale || len(body.buffered)+len(p) <= maxReplayBytes:
		body.buffered = append(body.buffered, p...)
	default:
		body.replayLost, body.buffered = true, nil
	}
	if stale {
		return 0, io.ErrClosedPipe
	}
	r.offset += len(p)
	return len(p), err
}
