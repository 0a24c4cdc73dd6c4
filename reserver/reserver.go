// Package reserver keeps the reservations of an instance's processors, memory and
// accelerators. It is the single source of truth for what is free.
package reserver

import (
	"errors"
	"fmt"
	"sync"

	"github.com/endivefall/endivefall/parser"
)

// ErrFull means that a reservation exceeds the free resources.
var ErrFull = errors.New("instance has no room")

// ErrExists means that the name has a reservation already.
var ErrExists = errors.New("reservation exists")

// Reserver holds the reservations of one instance.
type Reserver struct {
	mu sync.Mutex
	// total is the capacity of the instance. used is the sum of all reservations;
	// Reserve and Resize never raise it above total in any resource, but Adopt may.
	total, used  parser.Resources
	reservations map[string]parser.Resources
}

// New returns a Reserver for an instance with the capacity total.
func New(total parser.Resources) *Reserver {
	return &Reserver{total: total, reservations: map[string]parser.Resources{}}
}

// Reserve reserves need under a name.
func (r *Reserver) Reserve(name string, need parser.Resources) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.reservations[name]; ok {
		return fmt.Errorf("%s: %w", name, ErrExists)
	}
	return r.replace(name, need)
}

// Resize changes a reservation, or creates it.
func (r *Reserver) Resize(name string, need parser.Resources) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.replace(name, need)
}

// replace sets a reservation. One that doesn't grow is accepted even when the instance
// is overcommitted. The caller holds mu.
func (r *Reserver) replace(name string, need parser.Resources) error {
	old := r.reservations[name]
	others := r.used.Sub(old)
	if !need.FitsIn(r.total.Sub(others)) && !need.FitsIn(old) {
		return fmt.Errorf("%s: %w", name, ErrFull)
	}
	r.reservations[name] = need
	r.used = others.Add(need)
	return nil
}

// Adopt reserves resources for a task that already runs at a restart. It was admitted
// before, so it is accepted even if it does not fit.
func (r *Reserver) Adopt(name string, need parser.Resources) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.used = r.used.Sub(r.reservations[name]).Add(need)
	r.reservations[name] = need
}

// Release ends a reservation, if there is one under the name.
func (r *Reserver) Release(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.used = r.used.Sub(r.reservations[name])
	delete(r.reservations, name)
	if len(r.reservations) == 0 {
		r.used = parser.Resources{} // drops accumulated rounding errors
	}
}

// Total returns the capacity of the instance.
func (r *Reserver) Total() parser.Resources {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.total
}

// Free returns the resources that are not reserved.
func (r *Reserver) Free() parser.Resources {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.total.Sub(r.used)
}
