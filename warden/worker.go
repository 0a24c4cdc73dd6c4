package warden

import (
	"context"
	"errors"
	"time"

	"github.com/endivefall/endivefall/messenger"
)

// Errors of a call to a worker. All but ErrUnknown say that nothing was begun.
var (
	// ErrFence says that the worker has seen a higher fence number.
	ErrFence = errors.New("fence number is too low")
	// ErrOld says that the attempt is not above one that ended or was stopped.
	ErrOld = errors.New("attempt is old")
	// ErrLate says that the lease of the start had ended when it arrived.
	ErrLate = errors.New("lease has ended")
	// ErrRoom says that the task does not fit.
	ErrRoom = errors.New("no room")
	// ErrTicket says that the policy of the queue does not allow the worker.
	ErrTicket = errors.New("no valid ticket")
	// ErrBusy says that the worker is unhealthy and did nothing.
	ErrBusy = errors.New("worker is unhealthy")
	// ErrLife says that another life of the worker answers at the address.
	ErrLife = errors.New("another life of the worker")
	// ErrRejected says that the worker takes the call for nonsense.
	ErrRejected = errors.New("worker rejects the call")
	// ErrUnknown says that no answer came; the call may still be carried out.
	ErrUnknown = errors.New("no answer")
)

// Worker is the calls to one worker as function fields. Times of a worker are
// on its own steady clock.
type Worker struct {
	List    func(ctx context.Context, l Look) (*Listing, error)
	Start   func(ctx context.Context, s Start) (time.Time, error)
	Stop    func(ctx context.Context, s Aim) error
	SetPace func(ctx context.Context, s Aim, percent int) error
}

// Look asks for a worker's lists, extends its lease and forgets ends.
type Look struct {
	Incarnation string // the life of the worker that is meant
	Fence       uint64
	// LeaseExpiresAt is the lease of all that runs there; the zero time leaves it.
	LeaseExpiresAt time.Time
	// AckedEnd is the last end that may be forgotten.
	AckedEnd uint64
	// Wait is how long the answer may wait for an end, in whole ms.
	Wait time.Duration
}

// Listing is a worker's answer to a Look. With ErrFence only Clock is set.
type Listing struct {
	Clock time.Time
	Runs  []Active
	Ends  []Ended
	// Complete is false where the worker has more ends than it listed.
	Complete bool
}

// Active is a run that goes on.
type Active struct {
	Task            string
	Attempt         uint64
	Checkpoint      string
	ProgressPercent int
	// Measurement is the tail latency in ms of a task that serves, else the
	// processor in use in thousandths of a core.
	Measurement int64
}

// Ended is a run that has ended, with its number in the worker's life.
type Ended struct {
	Seq        uint64
	Task       string
	Attempt    uint64
	Status     messenger.How
	Checkpoint string
}

// Aim names a run for a call.
type Aim struct {
	Incarnation string
	Fence       uint64
	Task        string
	Attempt     uint64
}

// Start is what a worker needs to begin a run.
type Start struct {
	Aim
	Payload        string
	Checkpoint     string
	Ticket         string
	LeaseExpiresAt time.Time
}

// Heartbeat is what a worker tells of itself.
type Heartbeat struct {
	Incarnation string
	Seq         uint64
	Pool        string
	Clock       time.Time
	CPU         int64 // thousandths of a core
	Memory      int64 // MB
	GPU         int64
	Labels      []string
	Draining    bool
	// EarliestExit is when a draining worker goes at the earliest, on its clock.
	EarliestExit time.Time
	Warmup       time.Duration
}
