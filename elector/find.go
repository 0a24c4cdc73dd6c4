package elector

import (
	"context"
	"errors"
	"fmt"
	"net/netip"

	"github.com/endivefall/endivefall/storer"
)

// ErrNoOwner says that nobody owns the pools now.
var ErrNoOwner = errors.New("pools have no owner")

// FindOwner returns where the owner accepts links, and its term.
func FindOwner(ctx context.Context, s *storer.Store) (netip.AddrPort, uint64, error) {
	item, err := s.Get(ctx, OwnerKey)
	if err != nil {
		return netip.AddrPort{}, 0, fmt.Errorf("finding the owner: %w", err)
	}
	r, err := decode[OwnerRecord](item.Value)
	if err != nil {
		return netip.AddrPort{}, 0, err
	}
	if r.Released {
		return netip.AddrPort{}, r.Term, ErrNoOwner
	}
	return r.Owner.PeerAddr, r.Term, nil
}
