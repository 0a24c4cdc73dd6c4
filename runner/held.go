package runner

import (
	"context"
	"fmt"
	"time"

	"github.com/endivefall/endivefall/messenger"
)

// stopMode is whether and how the tasks of a grant are to be stopped.
type stopMode int

const (
	stopNone   stopMode = iota
	stopCancel          // stop without a checkpoint; nothing is resumed
	stopEvict           // stop with a checkpoint if the task supports it
)

// heldGrant is a grant whose tasks run one after another on one reservation. The
// Runner's mutex guards its fields.
type heldGrant struct {
	// grant is the grant as received, except for Need, which grows with the
	// reservation.
	grant messenger.Grant
	// deadline is on the agent's clock. Once it has passed, or the grant is to stop, it is
	// final. Before that, the owner with the shard's highest epoch can move it forward.
	// For an idempotent grant the runner also sets it to idempotentLease from now at each
	// tick, while a task runs. No lease of a task at the worker ends later.
	deadline time.Time
	// outcomes are those that the owner has not acknowledged. reportSent is set
	// while a report of them, sent at reportSentAt, awaits its acknowledgement.
	outcomes     []messenger.Outcome
	reportSent   bool
	reportSentAt time.Time
	// closed is set once this process starts no further task of the grant.
	closed bool
	// inDoubt withholds closed from reports: a start that an earlier process of
	// the agent sent may still reach the worker, or this process is ending while
	// the worker runs the task.
	inDoubt bool
	// stopMode is also set when the deadline is near.
	stopMode stopMode
	// awaitingCapacity is set until an urgent grant has got its reservation, which
	// waits for evicted tasks to end.
	awaitingCapacity bool
	// index is the task that runs or starts next; taskID is the id of the running
	// task at the worker, empty while none runs.
	index  int
	taskID string
	// startedAt is when the running task started.
	startedAt time.Time
	// interrupt ends the call to the worker under way, which may hang, because stopMode
	// now asks for another. It does nothing while there is no call.
	interrupt context.CancelFunc
	// wake gets a token when the worker's report or stopMode has changed.
	wake chan struct{}
}

func newHeldGrant(g messenger.Grant) *heldGrant {
	return &heldGrant{grant: g, deadline: g.ExpiresAt, index: g.From, interrupt: func() {}, wake: make(chan struct{}, 1)}
}

// grantKey identifies a grant.
type grantKey struct {
	run string
	seq uint64
}

func (h *heldGrant) key() grantKey { return grantKey{h.grant.Run, h.grant.Seq} }

func (h *heldGrant) reservationName() string {
	return fmt.Sprintf("task:%s.%d", h.grant.Run, h.grant.Seq)
}

// taskID returns the id of one attempt at one task at the worker. Slashes in the
// run's name are replaced, because the id is one segment of a URL path.
func taskID(g messenger.Grant, index int) string {
	return fmt.Sprintf("%s.%d.%d", replaceSlashes(g.Run), index, g.Seq)
}

func replaceSlashes(run string) string {
	out := []byte(run)
	for i, b := range out {
		if b == '/' {
			out[i] = ':'
		}
	}
	return string(out)
}

func (h *heldGrant) notify() {
	select {
	case h.wake <- struct{}{}:
	default:
	}
}

// report returns a report of the unacknowledged outcomes.
func (h *heldGrant) report() *messenger.Report {
	return &messenger.Report{
		Shard: h.grant.Shard, Epoch: h.grant.Epoch, Run: h.grant.Run, Seq: h.grant.Seq,
		Outcomes: append([]messenger.Outcome(nil), h.outcomes...), Closed: h.closed && !h.inDoubt,
	}
}
