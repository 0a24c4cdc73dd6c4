package elector

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Member describes a live entry to the other entries.
type Member struct {
	ID          string         `cbor:"1,keyasint"`
	Incarnation string         `cbor:"2,keyasint"` // unique to each start of the process
	PeerAddr    netip.AddrPort `cbor:"3,keyasint"` // address at which the entry accepts links
	// CPUCapacity is the CPU time that the entry may use, in thousandths of a core; 0
	// if unknown.
	CPUCapacity int64 `cbor:"4,keyasint,omitempty"`
}

// OwnerRecord is the value of the owner key.
type OwnerRecord struct {
	Owner Member `cbor:"1,keyasint"`
	// Term increases by one with each claim.
	Term uint64 `cbor:"2,keyasint"`
	// Released is set when the owner has stopped sending commands and released
	// ownership.
	Released bool `cbor:"3,keyasint,omitempty"`
	// PredecessorsStopped is set if every earlier owner is known to have stopped before
	// the next one claimed: it had released ownership, its process had ended, or its
	// confirmations had expired when a later owner released.
	// Otherwise an earlier owner may still send commands until its confirmation of
	// ownership expires.
	PredecessorsStopped bool `cbor:"4,keyasint,omitempty"`
	// RemainingTTL is how long after the newest release earlier owners may still send
	// commands; zero if nothing was released since an owner was lost. The clocks of
	// entries differ, so it can't be a deadline.
	RemainingTTL time.Duration `cbor:"5,keyasint,omitempty"`
}

// EarlierOwnersTTL returns how long after the claim of the record's owner earlier
// owners may still send commands.
func (r OwnerRecord) EarlierOwnersTTL() time.Duration {
	switch {
	case r.PredecessorsStopped:
		return 0
	case r.RemainingTTL > 0:
		return min(r.RemainingTTL, ConfirmationTTL)
	default:
		return ConfirmationTTL
	}
}

func decode[T any](raw []byte) (T, error) {
	var v T
	if err := cbor.Unmarshal(raw, &v); err != nil {
		return v, fmt.Errorf("reading membership: %w", err)
	}
	return v, nil
}
