package elector

import (
	"context"
	"errors"
	"fmt"
	"net/netip"

	"github.com/endivefall/endivefall/storer"
)

// ErrNoOwner reports that the pools have no owner at present.
var ErrNoOwner = errors.New("pools have no owner")

// FindOwner returns the owner's peer address and term.
func FindOwner(ctx context.Context, store *storer.Store) (netip.AddrPort, uint64, error) {
	item, err := store.Get(ctx, OwnerKey)
	if err != nil {
		return netip.AddrPort{}, 0, fmt.Errorf("finding the owner: %w", err)
	}
	r, err := decodeOwnerRecord(item.Value, item.Version)
	if err != nil {
		return netip.AddrPort{}, 0, err
	}
	if r.Released {
		return netip.AddrPort{}, r.Term, ErrNoOwner
	}
	return r.Owner.PeerAddr, r.Term, nil
}
