package recorder

import (
	"time"

	"github.com/endivefall/endivefall/messenger"
	"github.com/endivefall/endivefall/parser"
)

// State is where a run stands.
type State string

// States of a run. All but Running are final.
const (
	Running   State = "running"
	Done      State = "done"
	Failed    State = "failed"
	Cancelled State = "cancelled"
)

// Run is one accepted submission of a job. Times are on the platform's clock.
type Run struct {
	ID        string     `cbor:"1,keyasint" json:"id"` // team/job/run
	Spec      parser.Job `cbor:"2,keyasint" json:"spec"`
	Submitted time.Time  `cbor:"3,keyasint" json:"submitted"`
	Deadline  time.Time  `cbor:"4,keyasint" json:"until"`
	State     State      `cbor:"5,keyasint" json:"state"`
	Reason    string     `cbor:"6,keyasint,omitempty" json:"reason,omitempty"`
	Ended     time.Time  `cbor:"7,keyasint,omitempty" json:"ended"`
	// Done and Dead are disjoint: a task ends once, in one of them.
	Done   Ranges `cbor:"8,keyasint,omitempty" json:"done"`
	Failed Ranges `cbor:"9,keyasint,omitempty" json:"dead"`
	// FailedAttempts counts the attempts of a task that ended badly.
	FailedAttempts map[int]int `cbor:"10,keyasint,omitempty" json:"tries,omitempty"`
	// Checkpoints holds the checkpoints to resume from, by task.
	Checkpoints map[int]string `cbor:"11,keyasint,omitempty" json:"points,omitempty"`
	// Grants holds the live grants. No two of them share a task that has not
	// ended; a task in none of them may be granted.
	Grants map[uint64]*Grant `cbor:"12,keyasint,omitempty" json:"grants,omitempty"`
	// LastSeq is the number of the last grant; it only grows.
	LastSeq uint64 `cbor:"13,keyasint" json:"seq"`
	// Resumes and Evictions count for reports.
	Resumes   int `cbor:"14,keyasint,omitempty" json:"resumes"`
	Evictions int `cbor:"15,keyasint,omitempty" json:"evictions"`
	// FailuresByAgent names the agents at which tasks of the run failed.
	FailuresByAgent map[string]int `cbor:"16,keyasint,omitempty" json:"bad,omitempty"`
}

// Grant is the right of one agent's process to run tasks From up to To.
type Grant struct {
	Agent       string `cbor:"1,keyasint" json:"agent"`
	Incarnation string `cbor:"2,keyasint" json:"born"` // the agent's process it was sent to
	From        int    `cbor:"3,keyasint" json:"from"`
	To          int    `cbor:"4,keyasint" json:"to"`
	Epoch       uint64 `cbor:"5,keyasint" json:"epoch"` // of the shard when it was made
}

// Pending returns the tasks that may be granted.
func (r *Run) Pending() Ranges {
	if r.State != Running {
		return nil
	}
	open := Ranges{}.Add(0, r.Spec.Tasks)
	for _, one := range r.Done {
		open = open.Sub(one[0], one[1])
	}
	for _, one := range r.Failed {
		open = open.Sub(one[0], one[1])
	}
	for _, g := range r.Grants {
		open = open.Sub(g.From, g.To)
	}
	return open
}

// ended says whether a task has ended for good.
func (r *Run) ended(i int) bool { return r.Done.Has(i) || r.Failed.Has(i) }

// AddGrant takes a grant over the tasks from up to to, which must be open.
func (r *Run) AddGrant(g Grant) (uint64, bool) {
	if r.State != Running || g.From >= g.To {
		return 0, false
	}
	open := r.Pending()
	if open.Sub(g.From, g.To).Count() != open.Count()-(g.To-g.From) {
		return 0, false
	}
	r.LastSeq++
	if r.Grants == nil {
		r.Grants = map[uint64]*Grant{}
	}
	r.Grants[r.LastSeq] = &g
	for i := g.From; i < g.To; i++ {
		if r.Checkpoints[i] != "" {
			r.Resumes++
		}
	}
	return r.LastSeq, true
}

// ApplyOutcomes notes how tasks of a grant ended. Outcomes count only while the grant
// lives and for tasks of it that have not ended.
func (r *Run) ApplyOutcomes(seq uint64, outcomes []messenger.Outcome, closed bool, now time.Time) bool {
	g := r.Grants[seq]
	if g == nil {
		return false
	}
	for _, o := range outcomes {
		if o.Index < g.From || o.Index >= g.To || r.ended(o.Index) {
			continue
		}
		r.outcome(g, o)
	}
	if closed {
		delete(r.Grants, seq)
	}
	r.settle(now)
	return true
}

func (r *Run) outcome(g *Grant, o messenger.Outcome) {
	if r.State != Running && o.Status != messenger.AttemptFinished {
		return
	}
	switch o.Status {
	case messenger.AttemptLost:
		r.lost(o.Index)
	case messenger.AttemptFinished:
		r.Done = r.Done.Add(o.Index, o.Index+1)
		delete(r.Checkpoints, o.Index)
		delete(r.FailedAttempts, o.Index)
	case messenger.AttemptEvicted:
		r.Evictions++
		r.point(o.Index, o.Checkpoint)
	case messenger.AttemptFailed:
		if r.FailuresByAgent == nil {
			r.FailuresByAgent = map[string]int{}
		}
		r.FailuresByAgent[g.Agent]++
		r.strike(o.Index, o.Reason)
	}
}

func (r *Run) point(i int, point string) {
	if point == "" {
		return
	}
	if r.Checkpoints == nil {
		r.Checkpoints = map[int]string{}
	}
	r.Checkpoints[i] = point
}

// strike counts an attempt that ended badly, and ends the task when it was the
// last one.
func (r *Run) strike(i int, reason string) {
	if r.FailedAttempts == nil {
		r.FailedAttempts = map[int]int{}
	}
	r.FailedAttempts[i]++
	if r.FailedAttempts[i] <= r.Spec.Retries {
		return
	}
	r.Failed = r.Failed.Add(i, i+1)
	delete(r.Checkpoints, i)
	if r.Reason == "" {
		r.Reason = reason
	}
}

// ExpireGrant ends a grant whose agent was lost: what it had not ended may run again.
func (r *Run) ExpireGrant(seq uint64, now time.Time) bool {
	g := r.Grants[seq]
	if g == nil {
		return false
	}
	delete(r.Grants, seq)
	// Tasks of a grant run one after another, so the first without an end may
	// have run, and the others have not started.
	for i := g.From; i < g.To; i++ {
		if !r.ended(i) {
			r.lost(i)
			break
		}
	}
	r.settle(now)
	return true
}

// LossIsFinal says whether losing a grant would end a task for good: the first that
// has not ended may not be tried again.
func (r *Run) LossIsFinal(g *Grant) bool {
	if r.Spec.Idempotent || r.State != Running {
		return false
	}
	for i := g.From; i < g.To; i++ {
		if !r.ended(i) {
			return r.FailedAttempts[i] >= r.Spec.Retries
		}
	}
	return false
}

// lost counts an attempt that may have run. An idempotent task just runs again;
// any other that may be tried no more ends with its outcome unknown rather than
// run twice.
func (r *Run) lost(i int) {
	if r.Spec.Idempotent {
		return
	}
	r.strike(i, "lost with its instance; its outcome is unknown")
}

// settle ends the run when all of its tasks have.
func (r *Run) settle(now time.Time) {
	if r.State != Running {
		return
	}
	dead := r.Failed.Count()
	if r.Done.Count()+dead < r.Spec.Tasks {
		return
	}
	r.State = Done
	if dead > 0 {
		r.State = Failed
	}
	r.Ended = now
	r.trim()
}

// End ends the run early, cancelled or failed. It is final.
func (r *Run) End(state State, reason string, now time.Time) bool {
	if r.State != Running {
		return false
	}
	r.State, r.Reason, r.Ended = state, reason, now
	r.trim()
	return true
}

// trim drops what only a running run needs. Live grants stay until their
// agents have stopped.
func (r *Run) trim() {
	r.Checkpoints, r.FailedAttempts = nil, nil
}

// Bounds of a run that fails everywhere.
const (
	hopelessAgents = 3
	hopelessFails  = 6
)

// FailsEverywhere says whether the run failed at several agents and never finished a
// task: the fault is its own.
func (r *Run) FailsEverywhere() bool {
	fails := 0
	for _, n := range r.FailuresByAgent {
		fails += n
	}
	return r.State == Running && len(r.Done) == 0 && len(r.FailuresByAgent) >= hopelessAgents && fails >= hopelessFails
}
