package recorder

import (
	"fmt"
	"maps"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// record is a shard as the platform keeps it.
type record struct {
	Epoch uint64 `cbor:"1,keyasint"`
	// Owner is the entry that owns the shard and Born its process; empty after
	// it was handed over.
	Owner string `cbor:"2,keyasint,omitempty"`
	Born  string `cbor:"3,keyasint,omitempty"`
	// Hold is until when, on the platform's clock, the owner may extend grants
	// without writing.
	Hold  time.Time       `cbor:"4,keyasint"`
	Nonce string          `cbor:"5,keyasint"`
	Runs  map[string]*Run `cbor:"6,keyasint"`
}

var encoding = must(cbor.EncOptions{Time: cbor.TimeUnixMicro, Sort: cbor.SortCanonical}.EncMode())

func must[T any](mode T, err error) T {
	if err != nil {
		panic(err)
	}
	return mode
}

func decode(raw []byte) (*record, error) {
	rec := &record{Runs: map[string]*Run{}}
	if len(raw) == 0 {
		return rec, nil
	}
	if err := cbor.Unmarshal(raw, rec); err != nil {
		return nil, fmt.Errorf("reading a shard: %w", err)
	}
	if rec.Runs == nil {
		rec.Runs = map[string]*Run{}
	}
	return rec, nil
}

// clone copies a run deeply enough that changing the copy leaves r as it is.
// Ranges are never changed in place.
func (r *Run) clone() *Run {
	c := *r
	c.FailedAttempts = maps.Clone(r.FailedAttempts)
	c.Checkpoints = maps.Clone(r.Checkpoints)
	c.FailuresByAgent = maps.Clone(r.FailuresByAgent)
	c.Grants = maps.Clone(r.Grants) // a Grant never changes
	return &c
}

// Tx is the view that a change has of a shard.
type Tx struct {
	base  map[string]*Run
	fresh map[string]*Run
	// Now is the platform's time, at the earliest.
	Now time.Time
	// Epoch is the shard's.
	Epoch uint64
}

// Run returns a run to change, or nil.
func (t *Tx) Run(id string) *Run {
	if r, ok := t.fresh[id]; ok {
		return r
	}
	r, ok := t.base[id]
	if !ok {
		return nil
	}
	t.fresh[id] = r.clone()
	return t.fresh[id]
}

// Add puts a new run into the shard.
func (t *Tx) Add(r *Run) { t.fresh[r.ID] = r }
