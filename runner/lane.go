package runner

import (
	"fmt"
	"time"

	"github.com/endivefall/endivefall/messenger"
)

// halt tells a lane to stop, and how.
type halt int

const (
	none   halt = iota
	cancel      // stop; nothing is to be resumed
	evict       // stop and keep a checkpoint where there can be one
)

// lane runs the tasks of one grant, one after another, on one reservation. The
// Runner's lock guards its fields. Of grant only Need ever changes, when the
// reservation grows.
type lane struct {
	grant messenger.Grant
	// until is the grant's deadline on the agent's clock. It only grows, and
	// only by an extension of the shard's highest epoch.
	until time.Time
	// outcomes are those that the owner has not settled; sent says that a
	// report of them is on its way since sentAt.
	outcomes []messenger.Outcome
	sent     bool
	sentAt   time.Time
	// closed is set when no further task of the grant will start. It stays
	// unset for a grant that an earlier process of the agent may have been
	// starting, because a start may still be on its way to the worker.
	closed bool
	// mute is set for such a grant until that cannot be any more.
	mute bool
	halt halt
	// roomless is set while the lane waits for the room of evicted tasks.
	roomless bool
	// next is the task that runs or is about to; task its name at the worker.
	next int
	task string
	// began is when the running task started.
	began time.Time
	// wake gets a token when the lane should look again.
	wake chan struct{}
}

func newLane(g messenger.Grant) *lane {
	return &lane{grant: g, until: g.ExpiresAt, next: g.From, wake: make(chan struct{}, 1)}
}

// key names a grant.
type key struct {
	run string
	seq uint64
}

func (l *lane) key() key { return key{l.grant.Run, l.grant.Seq} }

// name is the lane's reservation.
func (l *lane) name() string { return fmt.Sprintf("task:%s.%d", l.grant.Run, l.grant.Seq) }

// taskID names one attempt at one task at the worker. The slashes of a run's
// name are not for a path.
func taskID(g messenger.Grant, index int) string {
	return fmt.Sprintf("%s.%d.%d", pathless(g.Run), index, g.Seq)
}

func pathless(run string) string {
	out := []byte(run)
	for i, b := range out {
		if b == '/' {
			out[i] = ':'
		}
	}
	return string(out)
}

func (l *lane) nudge() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// report returns the report of what is not settled.
func (l *lane) report() *messenger.Report {
	return &messenger.Report{
		Shard: l.grant.Shard, Epoch: l.grant.Epoch, Run: l.grant.Run, Seq: l.grant.Seq,
		Outcomes: append([]messenger.Outcome(nil), l.outcomes...), Closed: l.closed && !l.mute,
	}
}
