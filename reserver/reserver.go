// Package reserver keeps what an instance has committed of its processors,
// memory and accelerators. It is the only authority on that.
package reserver

import (
	"errors"
	"fmt"
	"sync"

	"github.com/endivefall/endivefall/parser"
)

// ErrFull says that a reservation does not fit what is free.
var ErrFull = errors.New("instance has no room")

// ErrExists says that the reservation exists already.
var ErrExists = errors.New("reservation exists")

// Reserver holds the reservations of one instance.
type Reserver struct {
	mu sync.Mutex
	// total is what the instance has; used is the sum of held and never passes
	// total in any resource by an act of Commit or Resize.
	total, used parser.Resources
	held        map[string]parser.Resources
}

// New returns a Committer for an instance that has total.
func New(total parser.Resources) *Reserver {
	return &Reserver{total: total, held: map[string]parser.Resources{}}
}

// Reserve reserves need under a name.
func (c *Reserver) Reserve(name string, need parser.Resources) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.held[name]; ok {
		return fmt.Errorf("%s: %w", name, ErrExists)
	}
	return c.set(name, need)
}

// Resize changes a reservation, or makes it.
func (c *Reserver) Resize(name string, need parser.Resources) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.set(name, need)
}

// set replaces a reservation; the caller holds mu. Shrinking always works.
func (c *Reserver) set(name string, need parser.Resources) error {
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
func (c *Reserver) Adopt(name string, need parser.Resources) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.used = c.used.Sub(c.held[name]).Add(need)
	c.held[name] = need
}

// Release ends a reservation; an unknown one is no fault.
func (c *Reserver) Release(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.used = c.used.Sub(c.held[name])
	delete(c.held, name)
	if len(c.held) == 0 {
		c.used = parser.Resources{} // sheds the rounding of sums
	}
}

// Total returns what the instance has.
func (c *Reserver) Total() parser.Resources {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.total
}

// Free returns what is not committed.
func (c *Reserver) Free() parser.Resources {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.total.Sub(c.used)
}
