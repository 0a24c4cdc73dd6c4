// Package chronicler keeps when this process first knew each version of the store, so that it can
// tell by its own clock until when a key has been written.
package chronicler

import (
	"context"
	"sync"
	"time"

	"github.com/endivefall/endivefall/storer"
)

const (
	// resolution is how much later than it was a version may count as known.
	resolution = 100 * time.Millisecond
	// maxMarks bounds the memory: half a minute while versions keep coming. An older version counts
	// as known when the oldest mark was set.
	maxMarks = 300
)

// mark is a version of the store that was known at a local time.
type mark struct {
	version uint64
	at      time.Time
}

// Chronicler keeps the versions that replies of the store, or of processes that know it, have
// shown. It is safe for concurrent use.
type Chronicler struct {
	now func() time.Time

	mu sync.Mutex
	// marks have rising versions and times at least resolution apart.
	marks []mark
}

// New returns a Chronicler with a clock that includes time during which the instance was
// suspended.
func New(now func() time.Time) *Chronicler { return &Chronicler{now: now} }

// Observe records that the store has reached a version by now; 0 says nothing.
func (c *Chronicler) Observe(version uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if version <= c.newestLocked() {
		return
	}
	now, last := c.now(), len(c.marks)-1
	switch {
	case last >= 0 && now.Before(c.marks[last].at):
		c.marks[last].version = version
		return
	case len(c.marks) == maxMarks:
		c.marks = c.marks[1:]
	}
	c.marks = append(c.marks, mark{version, now.Add(resolution)})
}

// KnownSince returns a local time at which the store had certainly reached a version, and false if
// that is not known. Whatever has this version was written before.
func (c *Chronicler) KnownSince(version uint64) (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range c.marks {
		if version != 0 && version <= m.version {
			return m.at, true
		}
	}
	return time.Time{}, false
}

// Newest returns the newest version that the store is known to have reached, or 0.
func (c *Chronicler) Newest() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.newestLocked()
}

func (c *Chronicler) newestLocked() uint64 {
	if len(c.marks) == 0 {
		return 0
	}
	return c.marks[len(c.marks)-1].version
}

// Store returns a store whose replies are recorded as they arrive.
func (c *Chronicler) Store(s *storer.Store) *storer.Store {
	recorded := *s
	recorded.ListPage = func(ctx context.Context, prefix, after string) (storer.Page, error) {
		page, err := s.ListPage(ctx, prefix, after)
		c.observePage(page, err)
		return page, err
	}
	recorded.Watch = func(ctx context.Context, prefix string, after uint64, until time.Time) (storer.Page, error) {
		page, err := s.Watch(ctx, prefix, after, until)
		c.observePage(page, err)
		return page, err
	}
	recorded.Commit = func(ctx context.Context, change storer.Transaction) (uint64, error) {
		version, err := s.Commit(ctx, change)
		if err == nil {
			c.Observe(version)
		}
		return version, err
	}
	return &recorded
}

func (c *Chronicler) observePage(page storer.Page, err error) {
	if err == nil {
		c.Observe(page.Version)
	}
}
