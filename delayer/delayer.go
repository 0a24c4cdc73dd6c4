// Package delayer decides whether tasks wait for a place in the rack that holds their data,
// and for how long. It does no I/O.
//
// Load pattern: many jobs want the same rack for a while, which services and other work largely
// fill. A task that runs away takes longer by a known factor, is late, and takes that much more
// room from all others; a task that waits for a rack that stays full is late, too. Estimates of
// run times are off by more than a factor of two.
package delayer

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/endivefall/endivefall/allocator"
	"github.com/endivefall/endivefall/sequencer"
)

const (
	// MaxWait is how long the tasks of a step wait in all. A job with nothing running must start
	// within 3 s if there is room, and the next owner does not know how long it has waited.
	MaxWait = 1400 * time.Millisecond
	// memory is how long a step that is not seen keeps the time that it has waited: as long as
	// it may wait for room that there is.
	memory = 3 * time.Second
	// minGain is the gain, as a part of the value of the job, below which nothing waits.
	minGain = 0.1
	// maxFailureRate is the failure rate of a worker above which its room is not waited for.
	maxFailureRate = 0.5
	// scarceShare is the share of the CPU of a pool for which tasks wait without finding room from which on
	// each further run takes the room of another one.
	scarceShare = 0.1
	// reservedShare is the part of reserved CPU that best-effort tasks could use.
	reservedShare = 0.5
	// forever stands for a wait that does not end.
	forever = time.Hour
	// caution is by how many standard deviations fewer ends than expected are counted on.
	caution = 0.5
)

// Config configures a Delayer.
type Config struct {
	// Factor is how many times as long a task takes outside the rack that holds its data, and
	// a tightly coupled gang in several racks.
	Factor float64
}

// Delayer decides which tasks of a pool wait. Its methods are called for the tasks in the order in which they
// get room. It is not safe for concurrent use.
type Delayer struct {
	cfg Config
	// reserved and bestEffort are the errors of estimates.
	reserved, bestEffort errors
	// openings is how soon best-effort tasks that wait are given a place.
	openings openings
	// outlooks has what is expected to come free on each worker.
	outlooks map[string]*outlook
	// ahead is what the tasks that wait in this round of placement need, by rack.
	ahead map[string]need
	// waits has the steps that wait or have waited, by Task.StepName.
	waits map[string]*wait
	// awayUntil is when the last run away of a step is expected to end, by Task.StepName.
	awayUntil map[string]time.Time
	demand    demand
	// unplaced is what the tasks need that found no room at all in this round, bound the part of it
	// that prefers a rack. lacking is the part of the pool that unplaced was in the last round, boundShare
	// the part of that which was bound.
	unplaced, bound, lacking, boundShare need
}

// need is what tasks need, in thousandths of a core: reserved CPU, and CPU for best effort.
type need struct{ cpu, bestEffort float64 }

// wait is a step that waits.
type wait struct {
	since, seenAt time.Time
	// waiting is set while tasks of it wait, ended once the end of the wait was reported.
	waiting, ended bool
}

// New returns a Delayer.
func New(cfg Config) *Delayer {
	return &Delayer{cfg: cfg, openings: newOpenings(), outlooks: map[string]*outlook{}, ahead: map[string]need{}, waits: map[string]*wait{}, awayUntil: map[string]time.Time{}, demand: demand{}}
}

// Begin begins a round of placement on the candidates of the pool, and sets what they cost with regard
// to racks.
func (d *Delayer) Begin(candidates []*allocator.Candidate, now time.Time) {
	d.setDemand(candidates, now)
	capacity := 0.0
	for _, c := range candidates {
		capacity += float64(c.CPU)
	}
	d.lacking = need{cpu: d.unplaced.cpu / max(capacity, 1), bestEffort: d.unplaced.bestEffort / max(capacity, 1)}
	d.boundShare = need{cpu: d.bound.cpu / max(d.unplaced.cpu, 1), bestEffort: d.bound.bestEffort / max(d.unplaced.bestEffort, 1)}
	d.unplaced, d.bound = need{}, need{}
	clear(d.ahead)
	maps.DeleteFunc(d.waits, func(_ string, w *wait) bool { return now.Sub(w.seenAt) > memory })
	maps.DeleteFunc(d.awayUntil, func(_ string, until time.Time) bool { return now.After(until) })
	maps.DeleteFunc(d.outlooks, func(_ string, o *outlook) bool { return now.Sub(o.at) > outlookAge })
}

// Unplaced notes tasks of a step that found no room in this round.
func (d *Delayer) Unplaced(step *sequencer.Step, count int) {
	d.unplaced.add(step, count)
	if step.PreferredRack != "" {
		d.bound.add(step, count)
	}
}

// idle returns which part of the room that a step leaves as it waits is idle meanwhile: others of its kind
// take it unless they wait for their racks, too.
func (d *Delayer) idle(step *sequencer.Step) float64 {
	if step.BestEffort {
		return d.boundShare.bestEffort
	}
	return d.boundShare.cpu
}

// scarcity returns how much the room that a longer run of a step takes is needed by others of its kind,
// from 0 to 1: by others of its kind, and reserved CPU by best-effort tasks in part, as those lack headroom beside
// services before they lack CPU.
func (d *Delayer) scarcity(step *sequencer.Step) float64 {
	bestEffort := min(d.lacking.bestEffort/scarceShare, 1)
	if step.BestEffort {
		return bestEffort
	}
	return max(min(d.lacking.cpu/scarceShare, 1), reservedShare*bestEffort)
}

// Place is a rack with those of its workers that may run the tasks of a Request.
type Place struct {
	Rack    string
	Workers []*allocator.Candidate
}

// Request asks whether tasks that could start away wait.
type Request struct {
	// Task is the first of them, Count the number of tasks of its step that lack a place in a
	// near rack.
	Task  *sequencer.Task
	Count int
	// Places are the racks of which one is waited for.
	Places []Place
	// Runs returns the runs on a worker.
	Runs func(worker string) []Run
	// Now is a local time, Wall the time of day.
	Now, Wall time.Time
}

// Reason says why tasks wait or don't.
type Reason string

// Reasons of a Decision.
const (
	// Pays: waiting gains more than it costs.
	Pays Reason = "pays"
	// NoRack: no worker in the rack may take the tasks.
	NoRack Reason = "no_rack"
	// TooLong: no place is expected to come free in time.
	TooLong Reason = "too_long"
	// NoGain: waiting costs more than it gains.
	NoGain Reason = "no_gain"
	// Expired: the step has waited for MaxWait.
	Expired Reason = "expired"
)

// Decision is the answer to a Request.
type Decision struct {
	// Wait is set if all of the tasks wait, at most until Until.
	Wait   bool
	Until  time.Time
	Reason Reason
	// Expected is the expected wait, Gain what it gains less what it costs, as a part of the value of the job.
	Expected time.Duration
	Gain     float64
	// First is set if the step has not waited before.
	First bool
}

// Decide decides whether tasks wait for a place in one of the racks, or start away now.
func (d *Delayer) Decide(r Request) Decision {
	name := r.Task.StepName()
	w, left := d.waits[name], MaxWait
	if w != nil {
		if w.waiting {
			d.openings.exposed(r.Task.StepSpec(), r.Count, r.Now.Sub(w.seenAt))
		}
		w.seenAt, w.waiting = r.Now, false
		if left -= r.Now.Sub(w.since); left <= 0 {
			return Decision{Reason: Expired}
		}
	}
	rack, expected, found := d.expectedWait(r)
	if !found {
		return Decision{Reason: NoRack}
	}
	if r.Task.StepSpec().BestEffort {
		// Ends of runs promise a place as far as the other tasks that lack room don't wait for racks, too.
		given := d.openings.mean()
		expected = given - time.Duration((1-d.boundShare.bestEffort)*float64(given-min(expected, given)))
	}
	decision := Decision{Reason: TooLong, Expected: expected}
	if float64(expected)*waitQuantiles[0] > float64(left) && !r.Task.StepSpec().BestEffort {
		return decision
	}
	decision.Gain = d.gain(r, expected, left)
	if decision.Gain < minGain {
		decision.Reason = NoGain
		return decision
	}
	if w == nil {
		w = &wait{since: r.Now, seenAt: r.Now}
		d.waits[name], decision.First = w, true
	}
	w.waiting = true
	step := r.Task.StepSpec()
	n := d.ahead[rack]
	n.add(step, r.Count)
	d.ahead[rack] = n
	decision.Wait, decision.Reason, decision.Until = true, Pays, w.since.Add(MaxWait)
	return decision
}

func (n *need) add(step *sequencer.Step, count int) {
	cpu := float64(step.CPU) * float64(count)
	if step.BestEffort {
		n.bestEffort += cpu
	} else {
		n.cpu += cpu
	}
}

// expectedWait returns which of the racks is expected to have room for all tasks of a request first, and
// in what time: more than MaxWait if it is not expected to. It returns false if they have no worker that
// counts.
func (d *Delayer) expectedWait(r Request) (rack string, expected time.Duration, found bool) {
	expected = math.MaxInt64
	for _, place := range r.Places {
		if wait, ok := d.waitAt(place, r); ok {
			found = true
			if wait < expected {
				rack, expected = place.Rack, wait
			}
		}
	}
	return rack, expected, found
}

// waitAt returns in what time a rack is expected to have room for all tasks of a request, and false if
// it has no worker that counts.
func (d *Delayer) waitAt(place Place, r Request) (time.Duration, bool) {
	step := r.Task.StepSpec()
	ahead := d.ahead[place.Rack]
	needed := float64(r.Count)
	if step.BestEffort {
		needed += ahead.bestEffort / float64(max(step.CPU, 1))
	} else {
		needed += ahead.cpu / float64(max(step.CPU, 1))
	}
	counts := false
	var expected room
	for _, c := range place.Workers {
		if c.OnTrial || c.FailureRate > maxFailureRate || !expected.add(d.outlook(c.ID, r), c, step, r.Task.StepName()) {
			continue
		}
		counts = true
	}
	if !counts {
		return 0, false
	}
	last, lastSlots := time.Duration(0), 0.0
	for n, horizon := range horizons {
		sure := expected.by(n)
		if sure >= needed {
			part := 1.0
			if n > 0 && sure > lastSlots {
				part = min((needed-lastSlots)/(sure-lastSlots), 1)
			}
			return last + time.Duration(part*float64(horizon-last)), true
		}
		last, lastSlots = horizon, max(sure, lastSlots)
	}
	if lastSlots <= 0 {
		return forever, true
	}
	return time.Duration(min(needed/lastSlots*float64(MaxWait), float64(forever))), true
}

// Started records the start of a task that has a preference, near or away.
func (d *Delayer) Started(t *sequencer.Task, near bool, now time.Time) (waited time.Duration, ended bool) {
	step, name := t.StepSpec(), t.StepName()
	run := d.expected(step)
	if !near {
		run = time.Duration(float64(run) * d.cfg.Factor)
		if until := now.Add(run); until.After(d.awayUntil[name]) {
			d.awayUntil[name] = until
		}
	}
	if step.PreferredRack != "" {
		d.demand.add(step.PreferredRack, float64(step.CPU)*d.expected(step).Seconds(), now)
	}
	w := d.waits[name]
	if w == nil {
		return 0, false
	}
	if near && w.waiting {
		d.openings.opened(step)
	}
	ended, w.ended, w.seenAt = !w.ended, true, now
	return now.Sub(w.since), ended
}

// Waits returns how long a step has waited so far, and false if it does not wait.
func (d *Delayer) Waits(stepName string, now time.Time) (time.Duration, bool) {
	w := d.waits[stepName]
	if w == nil || !w.waiting {
		return 0, false
	}
	return now.Sub(w.since), true
}

// Waiting returns the number of steps that wait.
func (d *Delayer) Waiting() int {
	n := 0
	for _, w := range d.waits {
		if w.waiting {
			n++
		}
	}
	return n
}

// Near returns those of the candidates that are in a rack.
func Near(rack string, candidates []*allocator.Candidate) []*allocator.Candidate {
	var list []*allocator.Candidate
	for _, c := range candidates {
		if slices.Contains(c.Labels, rack) {
			list = append(list, c)
		}
	}
	return list
}
