package evacuator

import (
	"maps"
	"slices"
	"time"
)

// View is which domains are evacuated, as last read. It never changes.
type View struct {
	// domains are the evacuated ones.
	domains map[string]bool
	// ReadAt is the local time at which a read was sent that showed the domains to be current. It is
	// zero while none has been answered.
	ReadAt time.Time
}

// NewView returns the view that a read, sent at a time, has shown.
func NewView(readAt time.Time, domains ...string) View {
	v := View{ReadAt: readAt, domains: make(map[string]bool, len(domains))}
	for _, domain := range domains {
		v.domains[domain] = true
	}
	return v
}

// Known reports whether the domains have been read.
func (v View) Known() bool { return !v.ReadAt.IsZero() }

// Evacuated reports whether a domain is evacuated. Names are compared exactly.
func (v View) Evacuated(domain string) bool { return v.domains[domain] }

// Domains returns the evacuated domains, sorted.
func (v View) Domains() []string { return slices.Sorted(maps.Keys(v.domains)) }

// Len returns the number of evacuated domains.
func (v View) Len() int { return len(v.domains) }

// With returns the view after a domain has changed, as current as before.
func (v View) With(domain string, evacuated bool) View {
	if v.domains[domain] == evacuated {
		return v
	}
	domains := maps.Clone(v.domains)
	if domains == nil {
		domains = map[string]bool{}
	}
	if delete(domains, domain); evacuated {
		domains[domain] = true
	}
	return View{domains: domains, ReadAt: v.ReadAt}
}

// At returns the same domains, shown to be current by a read that was sent at a time.
func (v View) At(readAt time.Time) View { return View{domains: v.domains, ReadAt: readAt} }
