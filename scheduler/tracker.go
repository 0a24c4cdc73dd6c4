package scheduler

import (
	"time"

	"github.com/endivefall/endivefall/recorder"
)

// process names one process of an agent.
type process struct{ agent, born string }

// grantKey names a grant.
type grantKey struct {
	run string
	seq uint64
}

// tracker knows until when each grant of a shard may still be acted on. The
// shard's lock guards it.
type tracker struct {
	// epoch is the shard's.
	epoch uint64
	// reach is the local time up to which a process may hold grants: it was
	// never given a later deadline under this epoch.
	reach map[process]time.Time
	// inherited is the local time up to which an earlier owner may have
	// extended grants; it counts for processes that have not taken this epoch.
	inherited time.Time
	// taken has the processes that took this epoch, and so nothing of an
	// earlier one since.
	taken map[process]bool
	// confirmed has, for each connected agent, the process that took this
	// epoch on the present connection.
	confirmed map[string]string
	// adopted has the process that holds a grant made to an earlier process of
	// the same agent.
	adopted map[grantKey]string
	// order numbers what is sent to agents; sent has the number of each grant.
	// An answer to a survey tells nothing of grants that were sent after it.
	order uint64
	sent  map[grantKey]uint64
}

func newTracker(epoch uint64, inherited time.Time) *tracker {
	return &tracker{
		epoch: epoch, inherited: inherited,
		reach: map[process]time.Time{}, taken: map[process]bool{}, confirmed: map[string]string{},
		adopted: map[grantKey]string{}, sent: map[grantKey]uint64{},
	}
}

// next returns the number of a message that is sent now.
func (t *tracker) next() uint64 {
	t.order++
	return t.order
}

// give notes that a process got a deadline.
func (t *tracker) give(p process, until time.Time) {
	if until.After(t.reach[p]) {
		t.reach[p] = until
	}
}

// take notes that a process took the epoch. What an earlier owner gave it
// reaches no further than a lease from now.
func (t *tracker) take(p process, now time.Time, lease time.Duration) {
	if !t.taken[p] {
		t.taken[p] = true
		t.give(p, now.Add(lease))
	}
	t.confirmed[p.agent] = p.born
}

// holder returns the process that a grant is with.
func (t *tracker) holder(k grantKey, g *recorder.Grant) process {
	if born, ok := t.adopted[k]; ok {
		return process{g.Agent, born}
	}
	return process{g.Agent, g.Incarnation}
}

// end returns the local time after which no process acts on a grant.
func (t *tracker) end(k grantKey, g *recorder.Grant) time.Time {
	end := t.reach[process{g.Agent, g.Incarnation}]
	if at := t.reach[t.holder(k, g)]; at.After(end) {
		end = at
	}
	if g.Epoch < t.epoch && !t.taken[process{g.Agent, g.Incarnation}] && t.inherited.After(end) {
		end = t.inherited
	}
	return end
}

// unsent says whether a process that does not hold a grant, by its answer to
// the survey of that order, surely never started it, and never will.
func (t *tracker) unsent(k grantKey, g *recorder.Grant, born string, order uint64) bool {
	if g.Incarnation != born {
		return false // an earlier process may have left a start on its way
	}
	if g.Epoch < t.epoch {
		return true // its sender's epoch is no longer taken
	}
	number, ok := t.sent[k]
	return ok && number < order
}

// forget drops what is known of grants that are gone.
func (t *tracker) forget(live func(grantKey) bool) {
	for k := range t.sent {
		if !live(k) {
			delete(t.sent, k)
		}
	}
	for k := range t.adopted {
		if !live(k) {
			delete(t.adopted, k)
		}
	}
}
