package acceptor

import (
	"errors"
	"fmt"
	"time"

	"github.com/endivefall/endivefall/retrier"
)

// Rejection is the error of a call that had no effect, with the reason for which the caller should
// return later. It wraps ErrNotAccepted or ErrStateUnavailable.
type Rejection struct {
	Cause retrier.Cause
	// Room is the time until there is room for more calls of the kind; 0 unless that is lacking.
	Room time.Duration
	err  error
}

// Error returns the reason.
func (r *Rejection) Error() string { return r.err.Error() }

// Unwrap returns the error that the rejection wraps.
func (r *Rejection) Unwrap() error { return r.err }

// CauseOf returns why a call was rejected, and the time until there is room; the cause is
// StateUnavailable unless the error says more.
func CauseOf(err error) (retrier.Cause, time.Duration) {
	var r *Rejection
	if errors.As(err, &r) {
		return r.Cause, r.Room
	}
	return retrier.StateUnavailable, 0
}

// rejectionError returns ErrNotAccepted for a job, or ErrUnknownOutcome if an
// earlier attempt here or at another entry may have stored it.
func (a *Acceptor) rejectionError(id string, cause retrier.Cause, room time.Duration, reason string) error {
	switch {
	case a.mayBeStored(id):
		return fmt.Errorf("%w: an earlier attempt has an unknown outcome, and %s", ErrUnknownOutcome, reason)
	case !a.cfg.PeersConnected():
		return fmt.Errorf("%w: other entries can't report earlier attempts, and %s", ErrUnknownOutcome, reason)
	}
	return &Rejection{Cause: cause, Room: room, err: fmt.Errorf("%w: %s", ErrNotAccepted, reason)}
}

// shedRoom is the period over which callers are spread whose submissions were shed for memory.
const shedRoom = time.Second

// Reject returns the error of a submission that is rejected before Submit: ErrNotAccepted, or
// ErrUnknownOutcome if an earlier attempt may have stored the job.
func (a *Acceptor) Reject(id, reason string) error {
	return a.rejectionError(id, retrier.Shed, shedRoom, reason)
}
