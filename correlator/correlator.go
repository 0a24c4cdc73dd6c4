// Package correlator matches replies with the requests of a connection.
package correlator

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
)

// ErrConnClosed is returned for a request whose connection ends before its reply.
var ErrConnClosed = errors.New("connection closed before the reply")

// Correlator tracks requests that wait for a reply. It is safe for concurrent use.
// The zero value is ready to use.
type Correlator[T any] struct {
	lastID atomic.Uint64
	mu     sync.Mutex
	// pending maps the ID of each request to a channel that buffers its reply.
	pending map[uint64]chan T
}

// Do sends a request with a new ID and waits for its reply, until done is closed
// or ctx ends.
func (c *Correlator[T]) Do(ctx context.Context, done <-chan struct{}, send func(id uint64) error) (T, error) {
	var zero T
	id := c.lastID.Add(1)
	reply := make(chan T, 1)
	c.mu.Lock()
	if c.pending == nil {
		c.pending = map[uint64]chan T{}
	}
	c.pending[id] = reply
	c.mu.Unlock()
	defer c.removePending(id)
	if err := send(id); err != nil {
		return zero, err
	}
	select {
	case r := <-reply:
		return r, nil
	case <-done:
		return zero, ErrConnClosed
	case <-ctx.Done():
		return zero, ctx.Err()
	}
}

// Deliver passes a reply to its request. A reply to no pending request is dropped.
func (c *Correlator[T]) Deliver(id uint64, reply T) {
	if ch := c.removePending(id); ch != nil {
		ch <- reply
	}
}

// removePending removes a request and returns its channel, or nil if it is not
// pending.
func (c *Correlator[T]) removePending(id uint64) chan T {
	c.mu.Lock()
	defer c.mu.Unlock()
	ch := c.pending[id]
	delete(c.pending, id)
	return ch
}
