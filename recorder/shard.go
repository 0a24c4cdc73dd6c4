package recorder

import (
	"fmt"
	"maps"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// shard is the stored form of a shard.
type shard struct {
	Epoch uint64 `cbor:"1,keyasint"`
	// Owner is the entry that owns the shard and Incarnation its process. Both are
	// empty after a release.
	Owner       string `cbor:"2,keyasint,omitempty"`
	Incarnation string `cbor:"3,keyasint,omitempty"`
	// OwnershipEnd is the time, on the platform's clock, until which the owner may
	// extend grants without writing the shard again.
	OwnershipEnd time.Time `cbor:"4,keyasint"`
	// Nonce differs in each write, so that a retried write can tell after a conflict
	// whether the stored value is its own.
	Nonce string          `cbor:"5,keyasint"`
	Runs  map[string]*Run `cbor:"6,keyasint"`
}

var encMode = must(cbor.EncOptions{Time: cbor.TimeUnixMicro, Sort: cbor.SortCanonical}.EncMode())

func must[T any](mode T, err error) T {
	if err != nil {
		panic(err)
	}
	return mode
}

func decodeShard(raw []byte) (*shard, error) {
	s := &shard{Runs: map[string]*Run{}}
	if len(raw) == 0 {
		return s, nil
	}
	if err := cbor.Unmarshal(raw, s); err != nil {
		return nil, fmt.Errorf("decoding shard: %w", err)
	}
	if s.Runs == nil {
		s.Runs = map[string]*Run{}
	}
	return s, nil
}

// clone returns a copy of r that can be modified without affecting r. It shares
// Ranges and grants, which are never modified in place.
func (r *Run) clone() *Run {
	clone := *r
	clone.FailedAttempts = maps.Clone(r.FailedAttempts)
	clone.Checkpoints = maps.Clone(r.Checkpoints)
	clone.FailuresByAgent = maps.Clone(r.FailuresByAgent)
	clone.Crashes = maps.Clone(r.Crashes)
	clone.Grants = maps.Clone(r.Grants)
	return &clone
}

// Tx is the view of a shard that a change reads and modifies.
type Tx struct {
	base    map[string]*Run
	changed map[string]*Run
	// Now is the earliest possible time on the platform's clock.
	Now time.Time
	// Epoch is the epoch of the shard.
	Epoch uint64
}

// Run returns a copy of a run that the change may modify, or nil if there is none.
func (t *Tx) Run(id string) *Run {
	if r, ok := t.changed[id]; ok {
		return r
	}
	r, ok := t.base[id]
	if !ok {
		return nil
	}
	t.changed[id] = r.clone()
	return t.changed[id]
}

// Add adds a new run to the shard.
func (t *Tx) Add(r *Run) { t.changed[r.ID] = r }
