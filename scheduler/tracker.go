package scheduler

import (
	"time"

	"github.com/endivefall/endivefall/recorder"
)

// agentProcess identifies one process of an agent.
type agentProcess struct{ agent, incarnation string }

// grantKey identifies a grant.
type grantKey struct {
	run string
	seq uint64
}

// tracker records how long an agent may still run tasks of each grant of a
// shard. The shard's lock guards it.
type tracker struct {
	// epoch is the shard's epoch under this owner.
	epoch uint64
	// deadlines holds, by process, the latest local deadline that was set for
	// its grants under this epoch.
	deadlines map[agentProcess]time.Time
	// inheritedDeadline is the local time up to which an earlier owner may have
	// extended grants. It applies to processes that have not accepted this epoch.
	inheritedDeadline time.Time
	// epochAccepted holds the processes that have accepted this epoch, and
	// reject messages of earlier epochs since.
	epochAccepted map[agentProcess]bool
	// confirmed holds, for each connected agent, the incarnation that accepted
	// this epoch on the current connection.
	confirmed map[string]string
	// adoptedBy holds the incarnation that took over a grant made to an earlier
	// process of the same agent.
	adoptedBy map[grantKey]string
	// lastSeq numbers grants and inventory requests in the order they are sent;
	// sentSeq holds the number of each grant. An inventory says nothing about
	// grants sent after its request.
	lastSeq uint64
	sentSeq map[grantKey]uint64
}

func newTracker(epoch uint64, inheritedDeadline time.Time) *tracker {
	return &tracker{
		epoch: epoch, inheritedDeadline: inheritedDeadline,
		deadlines: map[agentProcess]time.Time{}, epochAccepted: map[agentProcess]bool{}, confirmed: map[string]string{},
		adoptedBy: map[grantKey]string{}, sentSeq: map[grantKey]uint64{},
	}
}

// nextSeq returns the number of the next message.
func (t *tracker) nextSeq() uint64 {
	t.lastSeq++
	return t.lastSeq
}

// extend records a deadline sent to a process.
func (t *tracker) extend(p agentProcess, until time.Time) {
	if until.After(t.deadlines[p]) {
		t.deadlines[p] = until
	}
}

// acceptEpoch records that a process accepted the epoch. Deadlines set by an
// earlier owner end at most one lease from now.
func (t *tracker) acceptEpoch(p agentProcess, now time.Time, lease time.Duration) {
	if !t.epochAccepted[p] {
		t.epochAccepted[p] = true
		t.extend(p, now.Add(lease))
	}
	t.confirmed[p.agent] = p.incarnation
}

// holder returns the process that holds a grant.
func (t *tracker) holder(k grantKey, g *recorder.Grant) agentProcess {
	if incarnation, ok := t.adoptedBy[k]; ok {
		return agentProcess{g.Agent, incarnation}
	}
	return agentProcess{g.Agent, g.Incarnation}
}

// expiry returns the local time after which no agent process acts on a grant. Its
// worker may run the tasks for Config.Margin longer.
func (t *tracker) expiry(k grantKey, g *recorder.Grant) time.Time {
	end := t.deadlines[agentProcess{g.Agent, g.Incarnation}]
	if deadline := t.deadlines[t.holder(k, g)]; deadline.After(end) {
		end = deadline
	}
	if g.Epoch < t.epoch && !t.epochAccepted[agentProcess{g.Agent, g.Incarnation}] && t.inheritedDeadline.After(end) {
		end = t.inheritedDeadline
	}
	return end
}

// neverStarted reports whether a process whose inventory lacks a grant has
// certainly not started it and never will. inventorySeq is the number of the
// inventory request.
func (t *tracker) neverStarted(k grantKey, g *recorder.Grant, incarnation string, inventorySeq uint64) bool {
	if g.Incarnation != incarnation {
		return false // a start request of an earlier process may still be in flight
	}
	if g.Epoch < t.epoch {
		return true // the agent no longer accepts grants of that epoch
	}
	seq, ok := t.sentSeq[k]
	return ok && seq < inventorySeq
}

// prune drops the state of grants that are not live.
func (t *tracker) prune(live func(grantKey) bool) {
	for k := range t.sentSeq {
		if !live(k) {
			delete(t.sentSeq, k)
		}
	}
	for k := range t.adoptedBy {
		if !live(k) {
			delete(t.adoptedBy, k)
		}
	}
}
