package elector

import (
	"fmt"
	"net/netip"

	"github.com/fxamacker/cbor/v2"
)

// Member is an entry as others see it.
type Member struct {
	ID          string         `cbor:"1,keyasint"`
	Incarnation string         `cbor:"2,keyasint"` // a new word for each start of the process
	PeerAddr    netip.AddrPort `cbor:"3,keyasint"` // where it accepts links
	// CPUCapacity is the processor that it may use, in thousandths of a core; 0 where
	// that isn't known.
	CPUCapacity int64 `cbor:"4,keyasint,omitempty"`
}

// OwnerRecord is the value of the key that names the owner.
type OwnerRecord struct {
	Owner Member `cbor:"1,keyasint"`
	// Term grows by one with each claim.
	Term uint64 `cbor:"2,keyasint"`
	// Released is set when the owner has stopped of its own accord.
	Released bool `cbor:"3,keyasint,omitempty"`
	// PredecessorsStopped is set while every owner before had surely stopped at the next claim:
	// it had released, or its process had ended. Else one may still give orders
	// until its proof of ownership is over.
	PredecessorsStopped bool `cbor:"4,keyasint,omitempty"`
}

func decode[T any](raw []byte) (T, error) {
	var v T
	if err := cbor.Unmarshal(raw, &v); err != nil {
		return v, fmt.Errorf("reading membership: %w", err)
	}
	return v, nil
}
