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
	Until     time.Time  `cbor:"4,keyasint" json:"until"`
	State     State      `cbor:"5,keyasint" json:"state"`
	Reason    string     `cbor:"6,keyasint,omitempty" json:"reason,omitempty"`
	Ended     time.Time  `cbor:"7,keyasint,omitempty" json:"ended"`
	// Done and Dead are disjoint: a task ends once, in one of them.
	Done Ranges `cbor:"8,keyasint,omitempty" json:"done"`
	Dead Ranges `cbor:"9,keyasint,omitempty" json:"dead"`
	// Tries counts the attempts of a task that ended badly.
	Tries map[int]int `cbor:"10,keyasint,omitempty" json:"tries,omitempty"`
	// Points holds the checkpoints to resume from, by task.
	Points map[int]string `cbor:"11,keyasint,omitempty" json:"points,omitempty"`
	// Grants holds the live grants. No two of them share a task that has not
	// ended; a task in none of them may be granted.
	Grants map[uint64]*Grant `cbor:"12,keyasint,omitempty" json:"grants,omitempty"`
	// Seq is the number of the last grant; it only grows.
	Seq uint64 `cbor:"13,keyasint" json:"seq"`
	// Resumes and Evictions count for reports.
	Resumes   int `cbor:"14,keyasint,omitempty" json:"resumes"`
	Evictions int `cbor:"15,keyasint,omitempty" json:"evictions"`
	// Bad names the agents at which tasks of the run failed.
	Bad map[string]int `cbor:"16,keyasint,omitempty" json:"bad,omitempty"`
}

// Grant is the right of one agent's process to run tasks From up to To.
type Grant struct {
	Agent string `cbor:"1,keyasint" json:"agent"`
	Born  string `cbor:"2,keyasint" json:"born"` // the agent's process it was sent to
	From  int    `cbor:"3,keyasint" json:"from"`
	To    int    `cbor:"4,keyasint" json:"to"`
	Epoch uint64 `cbor:"5,keyasint" json:"epoch"` // of the shard when it was made
}

// Open returns the tasks that may be granted.
func (r *Run) Open() Ranges {
	if r.State != Running {
		return nil
	}
	open := Ranges{}.Add(0, r.Spec.Tasks)
	for _, one := range r.Done {
		open = open.Sub(one[0], one[1])
	}
	for _, one := range r.Dead {
		open = open.Sub(one[0], one[1])
	}
	for _, g := range r.Grants {
		open = open.Sub(g.From, g.To)
	}
	return open
}

// ended says whether a task has ended for good.
func (r *Run) ended(i int) bool { return r.Done.Has(i) || r.Dead.Has(i) }

// Accept takes a grant over the tasks from up to to, which must be open.
func (r *Run) Accept(g Grant) (uint64, bool) {
	if r.State != Running || g.From >= g.To {
		return 0, false
	}
	open := r.Open()
	if open.Sub(g.From, g.To).Count() != open.Count()-(g.To-g.From) {
		return 0, false
	}
	r.Seq++
	if r.Grants == nil {
		r.Grants = map[uint64]*Grant{}
	}
	r.Grants[r.Seq] = &g
	for i := g.From; i < g.To; i++ {
		if r.Points[i] != "" {
			r.Resumes++
		}
	}
	return r.Seq, true
}

// Take notes how tasks of a grant ended. Outcomes count only while the grant
// lives and for tasks of it that have not ended.
func (r *Run) Take(seq uint64, outcomes []messenger.Outcome, closed bool, now time.Time) bool {
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
	if r.State != Running && o.Verdict != messenger.Finished {
		return
	}
	switch o.Verdict {
	case messenger.Lost:
		r.lost(o.Index)
	case messenger.Finished:
		r.Done = r.Done.Add(o.Index, o.Index+1)
		delete(r.Points, o.Index)
		delete(r.Tries, o.Index)
	case messenger.Evicted:
		r.Evictions++
		r.point(o.Index, o.Point)
	case messenger.Failed:
		if r.Bad == nil {
			r.Bad = map[string]int{}
		}
		r.Bad[g.Agent]++
		r.strike(o.Index, o.Reason)
	}
}

func (r *Run) point(i int, point string) {
	if point == "" {
		return
	}
	if r.Points == nil {
		r.Points = map[int]string{}
	}
	r.Points[i] = point
}

// strike counts an attempt that ended badly, and ends the task when it was the
// last one.
func (r *Run) strike(i int, reason string) {
	if r.Tries == nil {
		r.Tries = map[int]int{}
	}
	r.Tries[i]++
	if r.Tries[i] <= r.Spec.Retries {
		return
	}
	r.Dead = r.Dead.Add(i, i+1)
	delete(r.Points, i)
	if r.Reason == "" {
		r.Reason = reason
	}
}

// Lapse ends a grant whose agent was lost: what it had not ended may run again.
func (r *Run) Lapse(seq uint64, now time.Time) bool {
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

// Final says whether losing a grant would end a task for good: the first that
// has not ended may not be tried again.
func (r *Run) Final(g *Grant) bool {
	if r.Spec.Idempotent || r.State != Running {
		return false
	}
	for i := g.From; i < g.To; i++ {
		if !r.ended(i) {
			return r.Tries[i] >= r.Spec.Retries
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
	dead := r.Dead.Count()
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
	r.Points, r.Tries = nil, nil
}

// Bounds of a run that fails everywhere.
const (
	hopelessAgents = 3
	hopelessFails  = 6
)

// Hopeless says whether the run failed at several agents and never finished a
// task: the fault is its own.
func (r *Run) Hopeless() bool {
	fails := 0
	for _, n := range r.Bad {
		fails += n
	}
	return r.State == Running && len(r.Done) == 0 && len(r.Bad) >= hopelessAgents && fails >= hopelessFails
}
