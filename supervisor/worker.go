package supervisor

import (
	"context"
	"errors"
	"strconv"
	"strings"
	"time"

	"github.com/endivefall/endivefall/messenger"
)

// Errors of a call to a worker. All but ErrUnknownOutcome mean that nothing was
// started.
var (
	// ErrStaleFence means that the worker has seen a higher fencing number.
	ErrStaleFence = errors.New("fence number is too low")
	// ErrStaleAttempt means that an attempt of the task with the same or a higher
	// number has ended or was stopped.
	ErrStaleAttempt = errors.New("attempt is old")
	// ErrLeaseExpired means that the lease of the start had expired on arrival.
	ErrLeaseExpired = errors.New("lease has ended")
	// ErrNoCapacity means that the worker lacks the resources for the task.
	ErrNoCapacity = errors.New("no room")
	// ErrInvalidTicket means that the policy of the queue does not allow the worker.
	ErrInvalidTicket = errors.New("no valid ticket")
	// ErrUnhealthy means that the worker is unhealthy.
	ErrUnhealthy = errors.New("worker is unhealthy")
	// ErrWrongIncarnation means that another incarnation of the worker answers at
	// the address.
	ErrWrongIncarnation = errors.New("another life of the worker")
	// ErrInvalidRequest means that the worker rejects the call as malformed.
	ErrInvalidRequest = errors.New("worker rejects the call")
	// ErrUnknownOutcome means that there was no usable reply; the call may still
	// take effect.
	ErrUnknownOutcome = errors.New("no usable reply from the worker; the call may still take effect")
)

// WorkerClient makes the calls to one worker. Times sent to or received from a
// worker are on its own monotonic clock. A call names the worker's ID, so another
// incarnation may carry it out; only the reply to List tells which one did.
type WorkerClient struct {
	List func(ctx context.Context, req ListRequest) (*ListReply, error)
	// Start returns the worker's clock.
	Start   func(ctx context.Context, req StartRequest) (time.Time, error)
	Stop    func(ctx context.Context, ref RunRef) error
	SetPace func(ctx context.Context, ref RunRef, percent int) error
}

// ListRequest asks for a worker's active and ended runs, renews its lease and
// acknowledges ends.
type ListRequest struct {
	WorkerID string // of the worker that the call is meant for
	Fence    uint64
	// LeaseExpiresAt is the new lease expiry of all runs at the worker; the zero
	// time leaves the lease unchanged.
	LeaseExpiresAt time.Time
	// AckedEnd is the last end, with all before it, that the worker may discard.
	AckedEnd uint64
	// Wait is how long the worker may hold the reply until a run ends, in whole
	// ms.
	Wait time.Duration
}

// ListReply is a worker's reply to a ListRequest. With ErrStaleFence only Clock is
// set.
type ListReply struct {
	// StartedAt is the Heartbeat.StartedAt of the incarnation that answered.
	StartedAt time.Time
	Clock     time.Time
	Runs      []ActiveRun
	Ends      []EndedRun
	// Complete is false if the worker may have runs or ends that it did not list.
	Complete bool
}

// ActiveRun is a run in progress.
type ActiveRun struct {
	Task            string
	Attempt         uint64
	Checkpoint      string
	ProgressPercent int
	// Measurement is the tail latency in ms of a latency-critical task, or the CPU
	// in use by any other task in thousandths of a core.
	Measurement int64
}

// EndedRun is a run that has ended. Seq numbers the ends of a worker incarnation.
type EndedRun struct {
	Seq        uint64
	Task       string
	Attempt    uint64
	Status     messenger.EndStatus
	Checkpoint string
}

// RunRef identifies the run that a call is about.
type RunRef struct {
	WorkerID string
	Fence    uint64
	Task     string
	Attempt  uint64
}

// StartRequest asks a worker to start a run.
type StartRequest struct {
	RunRef
	Payload        string
	Checkpoint     string
	Ticket         string
	LeaseExpiresAt time.Time
}

// Heartbeat is a worker's report of its capacity and state.
type Heartbeat struct {
	WorkerID string
	// StartedAt tells the incarnations of a worker apart that starts again under its
	// ID: the time of day at the worker, in whole ms. It is zero where each start has an
	// ID of its own.
	StartedAt time.Time
	Seq       uint64
	Pool      string
	Clock     time.Time
	CPU       int64 // thousandths of a core
	Memory    int64 // MB
	GPU       int64
	Labels    []string
	// Domain is the failure domain that the worker reports; empty if it reports none.
	Domain   string
	Draining bool
	// EarliestExit is when a draining worker may exit at the earliest, on its
	// clock.
	EarliestExit time.Time
	Warmup       time.Duration
}

// startSeparator stands between a worker's ID and its start in the name of an incarnation.
const startSeparator = "#"

// Incarnation names one start of the worker; it is empty without a worker.
func (h Heartbeat) Incarnation() string {
	if h.StartedAt.IsZero() {
		return h.WorkerID
	}
	return h.WorkerID + startSeparator + strconv.FormatInt(h.StartedAt.UnixMilli(), 10)
}

// WorkerID returns the ID of the worker that an incarnation is one of.
func WorkerID(incarnation string) string {
	id, _, _ := strings.Cut(incarnation, startSeparator)
	return id
}
