// Package committer keeps what an instance has committed of its processors,
// memory and accelerators. It is the only authority on that.
package committer

import (
	"errors"
	"fmt"
	"sync"

	"github.com/endivefall/endivefall/parser"
)

// ErrFull says that a reservation does not fit what is free.
var ErrFull = errors.New("instance has no room")

// ErrTwice says that the reservation exists already.
var ErrTwice = errors.New("reservation exists")

// Committer holds the reservations of one instance.
type Committer struct {
	mu sync.Mutex
	// total is what the instance has; used is the sum of held and never passes
	// total in any resource by an act of Commit or Resize.
	total, used parser.Need
	held        map[string]parser.Need
}

// New returns a Committer for an instance that has total.
func New(total parser.Need) *Committer {
	return &Committer{total: total, held: map[string]parser.Need{}}
}

// Reserve reserves need under a name.
func (c *Committer) Reserve(name string, need parser.Need) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.held[name]; ok {
		return fmt.Errorf("%s: %w", name, ErrTwice)
	}
	return c.set(name, need)
}

// Resize changes a reservation, or makes it.
func (c *Committer) Resize(name string, need parser.Need) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.set(name, need)
}

// set replaces a reservation; the caller holds mu. Shrinking always works.
func (c *Committer) set(name string, need parser.Need) error {
	old := c.held[name]
	rest := c.used.Sub(old)
	if !need.FitsIn(c.total.Sub(rest)) && !need.FitsIn(old) {
		return fmt.Errorf("%s: %w", name, ErrFull)
	}
	c.held[name] = need
	c.used = rest.Add(need)
	return nil
}

// Adopt notes what already runs at a restart; it was admitted before, so it is
// not refused now.
func (c *Committer) Adopt(name string, need parser.Need) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.used = c.used.Sub(c.held[name]).Add(need)
	c.held[name] = need
}

// Release ends a reservation; an unknown one is no fault.
func (c *Committer) Release(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.used = c.used.Sub(c.held[name])
	delete(c.held, name)
	if len(c.held) == 0 {
		c.used = parser.Need{} // sheds the rounding of sums
	}
}

// Total returns what the instance has.
func (c *Committer) Total() parser.Need {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.total
}

// Free returns what is not committed.
func (c *Committer) Free() parser.Need {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.total.Sub(c.used)
}
