// Package registrar encodes the ledger records of the agents that may hold work. The owner
// writes them, and an agent that ends without an owner closes its own.
package registrar

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Prefix is the key prefix of registrations.
const Prefix = "ef/agent/"

// Key returns the key of an agent's registration.
func Key(agent string) string { return Prefix + agent }

// Registration is the ledger record of an agent that may hold work. A later owner that
// cannot reach the agent delays the tasks that it may run until its lease has certainly
// expired.
type Registration struct {
	// Open means that the agent may run any task.
	Open bool `cbor:"1,keyasint,omitempty"`
	// HeldTasks are the tasks that the agent may run if the registration is not open, and
	// those whose ends are not durable.
	HeldTasks []string `cbor:"2,keyasint,omitempty"`
	// Bounded means that, while the registration is closed, every owner renews the agent's
	// lease for a short time after its confirmations only. Only an owner can know that.
	Bounded bool `cbor:"3,keyasint,omitempty"`
	// Incarnation is the process of the agent for which an owner wrote the record: an open
	// registration allows starts by no other. It is empty if that process is not known.
	Incarnation string `cbor:"4,keyasint,omitempty"`
	// RenewalsEndedInTerm is the term of the owner that wrote the record, if neither this owner nor a later one
	// that heeds it renews the agent's lease before it has written another record; otherwise 0.
	RenewalsEndedInTerm uint64 `cbor:"5,keyasint,omitempty"`
	// EarlierMs is for how long after the write of such a record owners before that one may still
	// renew the lease, in ms.
	EarlierMs int64 `cbor:"6,keyasint,omitempty"`
	// Epoch is the version of the claim of the owner that wrote such a record, so that its own one
	// is above it.
	Epoch uint64 `cbor:"7,keyasint,omitempty"`
}

// maxEarlierMs bounds EarlierMs: no owner acts for a minute without the store.
const maxEarlierMs = 60_000

// Encode returns the value of the key.
func (r Registration) Encode() []byte {
	raw, err := cbor.Marshal(r)
	if err != nil {
		panic(err) // bools and strings always encode
	}
	return raw
}

// Decode reads the value of a key. A record that cannot be decoded is returned as an open
// one, as its agent may run any task.
func Decode(raw []byte) (Registration, error) {
	r := Registration{}
	if err := cbor.Unmarshal(raw, &r); err != nil {
		return Registration{Open: true}, fmt.Errorf("decoding a registration: %w", err)
	}
	if r.Open || r.EarlierMs < 0 || r.EarlierMs > maxEarlierMs || r.Epoch < r.RenewalsEndedInTerm { // no term is above its version
		r.RenewalsEndedInTerm, r.EarlierMs, r.Epoch = 0, 0, 0
	}
	return r, nil
}
