package elector

import (
	"context"
	"sync"
	"time"

	"github.com/endivefall/endivefall/storer"
)

// gate holds back replies of a store while it is closed, like a process that is frozen: what
// it reads then is old. It sends one write more, which was on its way, and no other.
type gate struct {
	mu   sync.Mutex
	open chan struct{} // nil while open
	// written is set once a write was sent since it was closed.
	written bool
}

func (g *gate) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.open, g.written = make(chan struct{}), false
}

func (g *gate) reopen() {
	g.mu.Lock()
	defer g.mu.Unlock()
	close(g.open)
	g.open = nil
}

// passWrite holds back all writes but the first one that is sent while the gate is closed.
func (g *gate) passWrite() {
	g.mu.Lock()
	first := !g.written
	g.written = true
	g.mu.Unlock()
	if !first {
		g.pass()
	}
}

func (g *gate) pass() {
	g.mu.Lock()
	open := g.open
	g.mu.Unlock()
	if open != nil {
		<-open
	}
}

func (g *gate) wrap(s *storer.Store) *storer.Store {
	wrapped := *s
	wrapped.Get = func(ctx context.Context, key string) (storer.Item, error) {
		item, err := s.Get(ctx, key)
		g.pass()
		return item, err
	}
	wrapped.ListPage = func(ctx context.Context, prefix, after string) (storer.Page, error) {
		page, err := s.ListPage(ctx, prefix, after)
		g.pass()
		return page, err
	}
	wrapped.Watch = func(ctx context.Context, prefix string, after uint64, until time.Time) (storer.Page, error) {
		page, err := s.Watch(ctx, prefix, after, until)
		g.pass()
		return page, err
	}
	wrapped.Commit = func(ctx context.Context, change storer.Transaction) (uint64, error) {
		g.passWrite()
		version, err := s.Commit(ctx, change)
		g.pass()
		return version, err
	}
	wrapped.RenewLease = func(ctx context.Context, lease string) error {
		g.pass()
		return s.RenewLease(ctx, lease)
	}
	return &wrapped
}

func (g *gate) closed() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.open != nil
}
