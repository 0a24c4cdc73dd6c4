// Package pacer decides how much the tasks that fill a worker may do beside
// those that serve. It answers one load: tails that would go over their target
// by what fills beside them. It knows what each image presses on each other,
// foresees the serving tasks' own load, and gives the room that is left to what
// presses least.
package pacer

import (
	"slices"
	"strconv"
	"time"

	"github.com/endivefall/endivefall/predictor"
)

// Constants of the control.
const (
	// every is the time between two decisions on the same figures: workers
	// renew them four times a second.
	every = 250 * time.Millisecond
	// lead is how far ahead the room must last: the next decision, and the time
	// until a pace shows.
	lead = 450 * time.Millisecond
	// stepUp is the least rise of a pace that is worth a call, stepDown the
	// least fall, in percent; a pace below leastPace is none.
	stepUp, stepDown, leastPace = 8, 3, 8
	// negligible is the share of the rate that a target asks for below which a
	// press is not held against a task.
	negligible = 0.02
	// steady is how long a run works at a pace before its use tells what it
	// would use at full pace; steadyPace the least pace for that, in percent.
	steady, steadyPace = 400 * time.Millisecond, 20
	// maxOver is how long a tail may stay over its target before all that fills
	// is stopped, whatever is known of it: half of what the contract allows.
	maxOver = 2 * time.Second
)

// Run is a run at the worker.
type Run struct {
	Task            string
	Attempt         uint64
	Group           string // the tasks of one step share a load
	Image           string
	CPU             int64 // what it asks for, in thousandths of a core
	UsedCPU         int64 // what it uses, of a task that fills
	BestEffort      bool
	LatencyTargetMs int64 // bound of the tail in ms; 0 where the task does not serve
	TailLatencyMs   int64 // tail latency in ms as the worker lists it
	Percent         int
	Pace            int // percent at which it may work
	// PacedSince is since when it works at that pace.
	PacedSince time.Time
}

// Name tells the run from others.
func (r *Run) Name() string { return r.Task + "/" + strconv.FormatUint(r.Attempt, 10) }

// Change is a new pace for a run, with what decided it: the serving task with
// the least room, its tail and target in ms, the room in parts of the rate that
// the target asks for, and what the run takes of that at full pace.
type Change struct {
	Task                           string
	Attempt                        uint64
	Pace                           int
	Reason                         string
	TailLatencyMs, LatencyTargetMs int64
	Headroom, Interference         float64
}

// Pacer decides for one worker. It belongs to one goroutine.
type Pacer struct {
	// Predictor is what has been learned of images beside each other.
	Predictor *predictor.Predictor
	// MeasurementUpdates counts how often the worker's figures were renewed.
	MeasurementUpdates uint64
	sharp              *predictor.Unsmoother
	// next is when the next decision is due, unless figures or runs change.
	next time.Time
	// figures are the tails listed last, tails what they tell, in ms.
	figures map[string]int64
	tails   map[string]float64
	// filling are the runs that filled the worker in the last decision.
	filling map[string]bool
	// over is since when a tail is over its target; zero while none is.
	over time.Time
}

// New returns a Pacer.
func New() *Pacer {
	return &Pacer{Predictor: predictor.New(), sharp: predictor.NewUnsmoother(), tails: map[string]float64{}}
}

// TailLatencyMs returns the present tail in ms of a serving run; 0 where it is not known.
func (p *Pacer) TailLatencyMs(name string) float64 { return p.tails[name] }

// serve is a serving task in a decision.
type serve struct {
	Run
	// need is the spare rate that its target asks for, room what is left for
	// tasks that fill, in 1/s.
	need, room float64
}

// Decide returns the paces to change on a worker of a capacity.
func (p *Pacer) Decide(now time.Time, capacity int64, runs []Run) []Change {
	if capacity <= 0 {
		return nil
	}
	var serves []serve
	var fills []Run
	for _, r := range runs {
		switch {
		case r.BestEffort:
			fills = append(fills, r)
		case r.LatencyTargetMs > 0 && r.Percent >= 100:
			serves = append(serves, serve{Run: r, need: predictor.RequiredRate(r.LatencyTargetMs)})
		}
	}
	fresh := p.learn(now, capacity, serves, fills)
	if !p.changed(fills) && !fresh && now.Before(p.next) {
		return nil
	}
	p.next = now.Add(every)
	if len(serves) == 0 {
		p.over = time.Time{}
		return release(fills)
	}
	if worst := p.watch(now, serves); now.Sub(p.over) >= maxOver && !p.over.IsZero() {
		return stop(fills, worst)
	}
	p.foresee(now, serves)
	return p.share(now, capacity, serves, fills)
}

// learn takes the figures if they are new, and says so.
func (p *Pacer) learn(now time.Time, capacity int64, serves []serve, fills []Run) bool {
	figures := make(map[string]int64, len(serves))
	fresh := len(serves) != len(p.figures)
	for _, s := range serves {
		name := s.Name()
		figures[name] = s.TailLatencyMs
		fresh = fresh || p.figures[name] != s.TailLatencyMs
	}
	if !fresh {
		return false
	}
	p.figures = figures
	p.MeasurementUpdates++
	use := predictor.Usage{}
	for _, f := range fills {
		use[f.Image] += float64(f.UsedCPU) / float64(capacity)
	}
	kept, groups := make(map[string]bool, len(serves)), make(map[string]bool, len(serves))
	tails := make(map[string]float64, len(serves))
	for _, s := range serves {
		name := s.Name()
		kept[name], groups[s.Group] = true, true
		if tail, spread, ok := p.sharp.Unsmooth(name, now, float64(s.TailLatencyMs)); ok {
			tails[name] = tail
			p.Predictor.Learn(now, predictor.Sample{Group: s.Group, Image: s.Image, Run: name, Rate: 1000 / tail, StdErr: 1000 * spread / (tail * tail), RequiredRate: s.need}, use)
		}
	}
	p.sharp.Retain(kept)
	p.Predictor.Retain(groups, kept)
	p.tails = tails
	return true
}

// changed says whether other runs fill the worker than in the last decision.
func (p *Pacer) changed(fills []Run) bool {
	now := make(map[string]bool, len(fills))
	changed := len(fills) != len(p.filling)
	for _, f := range fills {
		name := f.Name()
		now[name] = true
		changed = changed || !p.filling[name]
	}
	p.filling = now
	return changed
}

// watch notes since when a tail is over its target, and returns the worst one.
func (p *Pacer) watch(now time.Time, serves []serve) serve {
	worst := serves[0]
	for _, s := range serves {
		if s.TailLatencyMs*worst.LatencyTargetMs > worst.TailLatencyMs*s.LatencyTargetMs {
			worst = s
		}
	}
	switch {
	case worst.TailLatencyMs < worst.LatencyTargetMs:
		p.over = time.Time{}
	case p.over.IsZero():
		p.over = now
	}
	return worst
}

// foresee fills in the room of each serving task until paces can change again.
func (p *Pacer) foresee(now time.Time, serves []serve) {
	for n := range serves {
		s := &serves[n]
		room, ok := p.Predictor.Headroom(s.Group, s.Name(), now, now.Add(lead), s.LatencyTargetMs)
		if !ok { // it has just begun
			room = max(1000/float64(max(s.TailLatencyMs, 1))-s.need, 0)
		}
		s.room = room
	}
}

// weight is what a filling run at full pace takes from a serving one's rate.
func (p *Pacer) weight(now time.Time, capacity int64, f *Run, serves string) float64 {
	full := float64(f.CPU)
	if f.UsedCPU > 0 && f.Pace >= steadyPace && now.Sub(f.PacedSince) >= steady {
		full = min(max(float64(f.UsedCPU)*100/float64(f.Pace), full/3), full*2)
	}
	return p.Predictor.UpperInterference(f.Image, serves) * full / float64(capacity)
}

// demand is what a filling run would take.
type demand struct {
	run     int       // its index
	weights []float64 // from each serving task
	cost    float64   // the largest part of a room
}

// share gives the room to the filling runs, to those that press least first.
func (p *Pacer) share(now time.Time, capacity int64, serves []serve, fills []Run) []Change {
	demands := make([]demand, len(fills))
	for n := range fills {
		d := demand{run: n, weights: make([]float64, len(serves))}
		for m, s := range serves {
			d.weights[m] = p.weight(now, capacity, &fills[n], s.Image)
			d.cost = max(d.cost, d.weights[m]/max(s.room, negligible*s.need))
		}
		demands[n] = d
	}
	slices.SortStableFunc(demands, func(a, b demand) int {
		switch {
		case a.cost < b.cost:
			return -1
		case a.cost > b.cost:
			return 1
		}
		return 0
	})
	var changes []Change
	for _, d := range demands {
		share, tightest := 1.0, 0
		for m, s := range serves {
			if w := d.weights[m]; w > negligible*s.need && s.room < w*share {
				share, tightest = s.room/w, m
			}
		}
		f, s := fills[d.run], serves[tightest]
		if pace, ok := worthwhile(f.Pace, int(100*share)); ok {
			changes = append(changes, Change{
				Task: f.Task, Attempt: f.Attempt, Pace: pace, Reason: reason(f.Pace, pace), TailLatencyMs: s.TailLatencyMs, LatencyTargetMs: s.LatencyTargetMs,
				Headroom: s.room / s.need, Interference: d.weights[tightest] / s.need,
			})
		}
		for m := range serves {
			serves[m].room = max(serves[m].room-d.weights[m]*share, 0)
		}
	}
	return changes
}

// worthwhile returns the pace to set, and whether it is worth a call.
func worthwhile(from, to int) (int, bool) {
	if to < leastPace {
		to = 0
	}
	switch {
	case to == from:
		return to, false
	case to < from:
		return to, to == 0 || from-to >= stepDown
	}
	return to, to == 100 || to-from >= stepUp
}

func reason(from, to int) string {
	if to < from {
		return "a tail would go over its target"
	}
	return "tails leave room"
}

// release lets all that fills work again where nothing serves.
func release(fills []Run) []Change {
	var changes []Change
	for _, f := range fills {
		if f.Pace < 100 {
			changes = append(changes, Change{Task: f.Task, Attempt: f.Attempt, Pace: 100, Reason: "nothing serves here"})
		}
	}
	return changes
}

// stop ends all work of what fills.
func stop(fills []Run, worst serve) []Change {
	var changes []Change
	for _, f := range fills {
		if f.Pace > 0 {
			changes = append(changes, Change{
				Task: f.Task, Attempt: f.Attempt, Reason: "a tail stays over its target", TailLatencyMs: worst.TailLatencyMs, LatencyTargetMs: worst.LatencyTargetMs,
			})
		}
	}
	return changes
}
