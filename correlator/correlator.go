// Package correlator matches answers with the questions of a connection.
package correlator

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
)

// ErrConnClosed says that no answer will come: the connection has ended.
var ErrConnClosed = errors.New("connection ended before the answer")

// Correlator holds questions without an answer. It is safe for concurrent use; the
// zero value is ready.
type Correlator[T any] struct {
	next atomic.Uint64
	mu   sync.Mutex
	// waiting has the channel of each question, with room for its answer.
	waiting map[uint64]chan T
}

// Do sends a question under a new number and waits for its answer, until the
// connection is done or ctx ends.
func (m *Correlator[T]) Do(ctx context.Context, done <-chan struct{}, send func(id uint64) error) (T, error) {
	var none T
	id := m.next.Add(1)
	answer := make(chan T, 1)
	m.mu.Lock()
	if m.waiting == nil {
		m.waiting = map[uint64]chan T{}
	}
	m.waiting[id] = answer
	m.mu.Unlock()
	defer m.take(id)
	if err := send(id); err != nil {
		return none, err
	}
	select {
	case got := <-answer:
		return got, nil
	case <-done:
		return none, ErrConnClosed
	case <-ctx.Done():
		return none, ctx.Err()
	}
}

// Deliver hands an answer to its question, if that still waits.
func (m *Correlator[T]) Deliver(id uint64, answer T) {
	if waiting := m.take(id); waiting != nil {
		waiting <- answer
	}
}

func (m *Correlator[T]) take(id uint64) chan T {
	m.mu.Lock()
	defer m.mu.Unlock()
	waiting := m.waiting[id]
	delete(m.waiting, id)
	return waiting
}
