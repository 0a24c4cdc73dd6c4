package relayer

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"github.com/endivefall/endivefall/storer"
)

// op is the kind of a call to the store.
type op uint8

const (
	opGet op = iota + 1
	opListPage
	opWatch
	opCommit
	opCreateLease
	opRenewLease
	opRevokeLease
)

// String returns the name of the call in metrics.
func (o op) String() string {
	names := [...]string{"", "get", "page", "watch", "commit", "lease", "renew", "end"}
	if int(o) < len(names) {
		return names[o]
	}
	return "unknown"
}

// call is a call to the store as sent to another entry.
type call struct {
	Op      op                 `cbor:"1,keyasint"`
	Key     string             `cbor:"2,keyasint,omitempty"` // key, prefix or lease ID
	After   string             `cbor:"3,keyasint,omitempty"`
	Version uint64             `cbor:"4,keyasint,omitempty"`
	Wait    int64              `cbor:"5,keyasint,omitempty"` // longest wait of a watch, or TTL of a lease, in ms
	Change  storer.Transaction `cbor:"6,keyasint,omitempty"`
}

// callDecoder decodes calls. Without its bound, a list of empty elements would take many times
// the size of its body.
var callDecoder = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: storer.MaxTransactionOps}.DecMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}()

// reply is the result of a call.
type reply struct {
	Code    code          `cbor:"1,keyasint,omitempty"`
	Text    string        `cbor:"2,keyasint,omitempty"`
	Items   []storer.Item `cbor:"3,keyasint,omitempty"`
	More    bool          `cbor:"4,keyasint,omitempty"`
	Version uint64        `cbor:"5,keyasint,omitempty"`
	Lease   string        `cbor:"6,keyasint,omitempty"`
}

// complete reports whether the reply has the result of a call that succeeded.
func (r *reply) complete(o op) bool {
	switch {
	case r.Code != 0:
		return true
	case o == opGet:
		return len(r.Items) == 1
	case o == opListPage, o == opWatch, o == opCommit:
		return r.Version != 0
	case o == opCreateLease:
		return r.Lease != ""
	}
	return true
}

// code is an error as sent between entries; 0 means none.
type code uint8

const (
	codeNotFound code = iota + 1
	codeConflict
	codeCompacted
	codeUnavailable
	codeUnknownOutcome
	codeOther
	codeRefused
)

// errRefused reports that an entry did not make a call, as it does not reach the store
// itself.
var errRefused = fmt.Errorf("%w: the entry does not reach it either", storer.ErrUnavailable)

func codeOf(err error) code {
	switch {
	case err == nil:
		return 0
	case errors.Is(err, storer.ErrNotFound):
		return codeNotFound
	case errors.Is(err, storer.ErrConflict):
		return codeConflict
	case errors.Is(err, storer.ErrCompacted):
		return codeCompacted
	case errors.Is(err, errRefused):
		return codeRefused
	case errors.Is(err, storer.ErrUnavailable):
		return codeUnavailable
	case errors.Is(err, storer.ErrUnknownOutcome):
		return codeUnknownOutcome
	}
	return codeOther
}

func (r *reply) err() error {
	switch r.Code {
	case 0:
		return nil
	case codeNotFound:
		return storer.ErrNotFound
	case codeConflict:
		return &storer.ConflictError{Items: r.Items}
	case codeCompacted:
		return storer.ErrCompacted
	case codeUnavailable:
		return storer.ErrUnavailable
	case codeRefused:
		return errRefused
	case codeUnknownOutcome:
		return storer.ErrUnknownOutcome
	}
	return errors.New(r.Text)
}
