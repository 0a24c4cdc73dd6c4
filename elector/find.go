package elector

import (
	"context"
	"errors"
	"fmt"
	"net/netip"

	"github.com/endivefall/endivefall/keeper"
)

// ErrVacant says that nobody owns the pools now.
var ErrVacant = errors.New("pools have no owner")

// Find returns where the owner accepts links, and its term.
func Find(ctx context.Context, s *keeper.Store) (netip.AddrPort, uint64, error) {
	item, err := s.Get(ctx, OwnerKey)
	if err != nil {
		return netip.AddrPort{}, 0, fmt.Errorf("finding the owner: %w", err)
	}
	r, err := decode[Record](item.Value)
	if err != nil {
		return netip.AddrPort{}, 0, err
	}
	if r.Released {
		return netip.AddrPort{}, r.Term, ErrVacant
	}
	return r.Owner.PeerAddr, r.Term, nil
}
