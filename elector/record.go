package elector

import (
	"errors"
	"fmt"
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/endivefall/endivefall/estimator"
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
	// RemainingTTL is how long after the claim, or after the release if there was one, earlier
	// owners may still send commands; ConfirmationTTL if it is zero and they have not stopped.
	// The clocks of entries differ, so it can't be a deadline.
	RemainingTTL time.Duration `cbor:"5,keyasint,omitempty"`
	// Roster is set if, from UnextendedTTL after its claim on, the owner renews the leases of
	// no agents but those that it has recorded as reached.
	Roster bool `cbor:"6,keyasint,omitempty"`
	// RulesSince is the first term since which every owner has followed these rules; 0 if the owner
	// does not. The ledger names the agent of a long-running task before the task is started. The
	// lease of an agent whose registration says that it is renewed no more is not renewed before
	// another registration is written.
	RulesSince uint64 `cbor:"7,keyasint,omitempty"`
	// Confirms is set if the owner counts only calls as confirmations that write confirmationKey.
	Confirms bool `cbor:"8,keyasint,omitempty"`
	// ExtensionTTL is how long after it has asked for an extension the owner relies on it; longExtensionTTL
	// if it is zero.
	ExtensionTTL time.Duration `cbor:"9,keyasint,omitempty"`
}

// longExtensionTTL is how long owners of earlier versions rely on an extension.
const longExtensionTTL = 3 * time.Second

// reliesUntil returns how long the owner of the record relies on an extension that it has asked for by a
// time.
func (r OwnerRecord) reliesUntil(asked time.Time) time.Time {
	ttl := r.ExtensionTTL
	if ttl <= 0 || ttl > longExtensionTTL {
		ttl = longExtensionTTL
	}
	return asked.Add(estimator.MaxLocalElapsed(ttl))
}

// EarlierOwnersTTL returns how long after the claim of the record's owner earlier
// owners may still send commands.
func (r OwnerRecord) EarlierOwnersTTL() time.Duration {
	switch {
	case r.PredecessorsStopped:
		return 0
	case r.RemainingTTL > 0:
		return min(r.RemainingTTL, estimator.MaxLocalElapsed(ConfirmationTTL))
	default:
		return ConfirmationTTL
	}
}

// errInvalid means that a record of the membership can't be decoded, or that no entry has
// written it.
var errInvalid = errors.New("invalid membership record")

// maxCPUCapacity bounds what an entry may state, in thousandths of a core.
const maxCPUCapacity = 1 << 40

// check returns an error that wraps errInvalid if no entry has the ID and the address.
func (m Member) check(id string) error {
	addr := m.PeerAddr.Addr()
	switch {
	case m.ID == "" || m.ID != id:
		return fmt.Errorf("%w: it is of entry %q", errInvalid, m.ID)
	case !addr.IsValid() || addr.IsUnspecified() || addr.IsMulticast() || m.PeerAddr.Port() == 0:
		return fmt.Errorf("%w: nothing listens at %s", errInvalid, m.PeerAddr)
	case m.CPUCapacity < 0 || m.CPUCapacity > maxCPUCapacity:
		return fmt.Errorf("%w: capacity of %d", errInvalid, m.CPUCapacity)
	}
	return nil
}

// decodeMember reads the live key of the entry with the ID.
func decodeMember(id string, raw []byte) (Member, error) {
	m, err := decode[Member](raw)
	if err != nil {
		return m, err
	}
	return m, m.check(id)
}

// decodeOwnerRecord reads the owner key at a version. Each claim writes the key, so that the
// term is never above the version.
func decodeOwnerRecord(raw []byte, version uint64) (OwnerRecord, error) {
	r, err := decode[OwnerRecord](raw)
	switch {
	case err != nil:
		return r, err
	case r.Term == 0 || r.Term > version:
		return r, fmt.Errorf("%w: term %d at version %d", errInvalid, r.Term, version)
	}
	return r, r.Owner.check(r.Owner.ID)
}

func decode[T any](raw []byte) (T, error) {
	var v T
	if err := cbor.Unmarshal(raw, &v); err != nil {
		return v, fmt.Errorf("%w: %w", errInvalid, err)
	}
	return v, nil
}
