package supervisor

import (
	"context"
	"errors"
	"time"

	"github.com/endivefall/endivefall/messenger"
)

// Errors of a call to a worker. All but ErrUnknown say that nothing was begun.
var (
	// ErrStaleFence says that the worker has seen a higher fence number.
	ErrStaleFence = errors.New("fence number is too low")
	// ErrStaleAttempt says that the attempt is not above one that ended or was stopped.
	ErrStaleAttempt = errors.New("attempt is old")
	// ErrLeaseExpired says that the lease of the start had ended when it arrived.
	ErrLeaseExpired = errors.New("lease has ended")
	// ErrNoCapacity says that the task does not fit.
	ErrNoCapacity = errors.New("no room")
	// ErrInvalidTicket says that the policy of the queue does not allow the worker.
	ErrInvalidTicket = errors.New("no valid ticket")
	// ErrUnhealthy says that the worker is unhealthy and did nothing.
	ErrUnhealthy = errors.New("worker is unhealthy")
	// ErrWrongIncarnation says that another life of the worker answers at the address.
	ErrWrongIncarnation = errors.New("another life of the worker")
	// ErrInvalidRequest says that the worker takes the call for nonsense.
	ErrInvalidRequest = errors.New("worker rejects the call")
	// ErrUnknownOutcome says that no answer came; the call may still be carried out.
	ErrUnknownOutcome = errors.New("no answer")
)

// WorkerClient is the calls to one worker as function fields. Times of a worker are
// on its own steady clock.
type WorkerClient struct {
	List    func(ctx context.Context, l ListRequest) (*ListReply, error)
	Start   func(ctx context.Context, s StartRequest) (time.Time, error)
	Stop    func(ctx context.Context, s RunRef) error
	SetPace func(ctx context.Context, s RunRef, percent int) error
}

// ListRequest asks for a worker's lists, extends its lease and forgets ends.
type ListRequest struct {
	Incarnation string // the life of the worker that is meant
	Fence       uint64
	// LeaseExpiresAt is the lease of all that runs there; the zero time leaves it.
	LeaseExpiresAt time.Time
	// AckedEnd is the last end that may be forgotten.
	AckedEnd uint64
	// Wait is how long the answer may wait for an end, in whole ms.
	Wait time.Duration
}

// ListReply is a worker's answer to a Look. With ErrFence only Clock is set.
type ListReply struct {
	Clock time.Time
	Runs  []ActiveRun
	Ends  []EndedRun
	// Complete is false where the worker has more ends than it listed.
	Complete bool
}

// ActiveRun is a run that goes on.
type ActiveRun struct {
	Task            string
	Attempt         uint64
	Checkpoint      string
	ProgressPercent int
	// Measurement is the tail latency in ms of a task that serves, else the
	// processor in use in thousandths of a core.
	Measurement int64
}

// EndedRun is a run that has ended, with its number in the worker's life.
type EndedRun struct {
	Seq        uint64
	Task       string
	Attempt    uint64
	Status     messenger.EndStatus
	Checkpoint string
}

// RunRef names a run for a call.
type RunRef struct {
	Incarnation string
	Fence       uint64
	Task        string
	Attempt     uint64
}

// StartRequest is what a worker needs to begin a run.
type StartRequest struct {
	RunRef
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
