package relayer

import (
	"errors"

	"github.com/endivefall/endivefall/storer"
)

// op names a call to the store.
type op uint8

const (
	opGet op = iota + 1
	opPage
	opWatch
	opCommit
	opLease
	opRenew
	opEnd
)

// String names the call.
func (o op) String() string {
	names := [...]string{"", "get", "page", "watch", "commit", "lease", "renew", "end"}
	if int(o) < len(names) {
		return names[o]
	}
	return "unknown"
}

// call is a call that another entry makes for this one.
type call struct {
	Op      op                 `cbor:"1,keyasint"`
	Key     string             `cbor:"2,keyasint,omitempty"` // a key, prefix or lease
	After   string             `cbor:"3,keyasint,omitempty"`
	Version uint64             `cbor:"4,keyasint,omitempty"`
	Wait    int64              `cbor:"5,keyasint,omitempty"` // ms that a watch may wait, or a lease lasts
	Change  storer.Transaction `cbor:"6,keyasint,omitempty"`
}

// reply is its outcome.
type reply struct {
	Code    code          `cbor:"1,keyasint,omitempty"`
	Text    string        `cbor:"2,keyasint,omitempty"`
	Items   []storer.Item `cbor:"3,keyasint,omitempty"`
	More    bool          `cbor:"4,keyasint,omitempty"`
	Version uint64        `cbor:"5,keyasint,omitempty"`
	Lease   string        `cbor:"6,keyasint,omitempty"`
}

// code is an error on its way between entries; 0 is none.
type code uint8

const (
	codeMissing code = iota + 1
	codeClash
	codeCompacted
	codeDown
	codeUnsettled
	codeOther
)

func codeOf(err error) code {
	switch {
	case err == nil:
		return 0
	case errors.Is(err, storer.ErrNotFound):
		return codeMissing
	case errors.Is(err, storer.ErrConflict):
		return codeClash
	case errors.Is(err, storer.ErrCompacted):
		return codeCompacted
	case errors.Is(err, storer.ErrUnavailable):
		return codeDown
	case errors.Is(err, storer.ErrUnknownOutcome):
		return codeUnsettled
	}
	return codeOther
}

func (r *reply) err() error {
	switch r.Code {
	case 0:
		return nil
	case codeMissing:
		return storer.ErrNotFound
	case codeClash:
		return &storer.ConflictError{Items: r.Items}
	case codeCompacted:
		return storer.ErrCompacted
	case codeDown:
		return storer.ErrUnavailable
	case codeUnsettled:
		return storer.ErrUnknownOutcome
	}
	return errors.New(r.Text)
}
