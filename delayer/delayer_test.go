package delayer

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivefall/endivefall/allocator"
	"github.com/endivefall/endivefall/sequencer"
)

// rack is a pool whose workers in the rack "hot" have no free CPU.
type rack struct {
	*Delayer
	now     time.Time
	workers []*allocator.Candidate
	runs    map[string][]Run
	jobs    int
}

// newRack returns a rack of workers of 8 cores with eight runs each, which have just started and take an
// estimated time.
func newRack(factor float64, workers int, estimate time.Duration) *rack {
	r := &rack{Delayer: New(Config{Factor: factor}), now: time.Unix(1000, 0), runs: map[string][]Run{}}
	step := &sequencer.Step{Count: 8, CPU: 1000, Memory: 100, Estimate: estimate}
	for n := range workers {
		c := &allocator.Candidate{ID: fmt.Sprint("w", n), CPU: 8000, Memory: 8000, Labels: []string{"kind", "hot"}}
		for m := range 8 {
			c.Reserve(step, "other")
			started := r.now.Add(-estimate * time.Duration(m) / 8)
			r.runs[c.ID] = append(r.runs[c.ID], Run{Step: step, StartedAt: started, Slowdown: 1})
		}
		r.workers = append(r.workers, c)
	}
	return r
}

// step returns the first task of a new job with one step that prefers the rack.
func (r *rack) step(count int, estimate time.Duration) *sequencer.Task {
	r.jobs++
	spec := &sequencer.Spec{
		ID: fmt.Sprintf("%016x", r.jobs), StretchFactor: 1.5, LatencyAllowance: 300 * time.Millisecond, AcceptedAt: r.now,
		Steps: []sequencer.Step{{Count: count, CPU: 1000, Memory: 100, Estimate: estimate, PreferredRack: "hot"}},
	}
	return sequencer.NewJob(spec, 1, nil).Task(0, 0, 0)
}

func (r *rack) decide(t *sequencer.Task) Decision {
	return r.Decide(Request{
		Task: t, Count: t.StepSpec().Count, Places: []Place{{Rack: "hot", Workers: r.workers}}, Runs: func(worker string) []Run { return r.runs[worker] },
		Now: r.now, Wall: r.now,
	})
}

func TestWhetherToWait(t *testing.T) {
	for _, tc := range []struct {
		name     string
		factor   float64
		workers  int
		busyFor  time.Duration // estimate of the runs in the rack
		count    int
		estimate time.Duration
		scarcity float64
		want     Reason
	}{
		{"places come free at once", 2, 10, 540 * time.Millisecond, 4, 540 * time.Millisecond, 0, Pays},
		{"in time away, too", 1.5, 10, 540 * time.Millisecond, 4, 540 * time.Millisecond, 0, NoGain},
		{"a high factor pays for a longer wait", 3, 2, time.Second, 6, time.Second, 0, Pays},
		{"a low factor does not", 1.5, 2, time.Second, 6, 300 * time.Millisecond, 0, NoGain},
		{"but it does where the room away is needed", 1.5, 2, time.Second, 2, time.Second, 1, Pays},
		{"short work gains less than it waits", 3, 2, 2 * time.Second, 1, 20 * time.Millisecond, 0, NoGain},
		{"the rack stays full", 3, 10, 30 * time.Second, 10, time.Second, 1, TooLong},
		{"the rack is gone", 3, 0, time.Second, 1, time.Second, 1, NoRack},
		{"away costs nothing", 1, 10, 100 * time.Millisecond, 1, time.Second, 0, NoGain},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			r := newRack(tc.factor, tc.workers, tc.busyFor)
			r.lacking.cpu = tc.scarcity
			got := r.decide(r.step(tc.count, tc.estimate))
			c.Check(got.Reason, qt.Equals, tc.want, qt.Commentf("%+v", got))
			c.Check(got.Wait, qt.Equals, tc.want == Pays)
		})
	}
}

// A crowd that waits for the same few places would be late altogether.
func TestACrowdDoesNotWaitForTheSamePlaces(t *testing.T) {
	c := qt.New(t)
	r := newRack(2, 2, 540*time.Millisecond)
	r.Begin(r.workers, r.now)
	waiting := 0
	for range 20 {
		if r.decide(r.step(4, 540*time.Millisecond)).Wait {
			waiting++
		}
	}
	c.Check(waiting > 0 && waiting < 5, qt.IsTrue, qt.Commentf("%d of 20 steps wait for 16 places", waiting))
}

// A step that is never given a place must start within half of 3 s, as the next owner does not know for
// how long it has waited.
func TestNoStepWaitsForLongerThanTheBound(t *testing.T) {
	c := qt.New(t)
	r := newRack(3, 10, 500*time.Millisecond)
	task, begin := r.step(1, 2*time.Second), r.now
	for r.decide(task).Wait {
		r.now = r.now.Add(50 * time.Millisecond)
		r.Begin(r.workers, r.now)
		for _, runs := range r.runs { // others take each place that comes free
			for n := range runs {
				runs[n].StartedAt = r.now
			}
		}
	}
	c.Check(r.now.Sub(begin) <= 1500*time.Millisecond, qt.IsTrue, qt.Commentf("%s", r.now.Sub(begin)))
	c.Check(r.now.Sub(begin) > time.Second, qt.IsTrue, qt.Commentf("it waits as long as it may: %s", r.now.Sub(begin)))
	r.now = r.now.Add(2 * time.Second)
	r.Begin(r.workers, r.now)
	c.Check(r.decide(task).Wait, qt.IsFalse, qt.Commentf("also if it finds no room for some time"))
}

// The first tasks of a step that run away decide when it ends: the others then wait only for the sake of
// the room.
func TestAStepThatRunsAwayDoesNotWaitForTime(t *testing.T) {
	c := qt.New(t)
	r := newRack(2, 10, 540*time.Millisecond)
	task := r.step(4, 540*time.Millisecond)
	c.Assert(r.decide(task).Wait, qt.IsTrue)
	r.Started(task, false, r.now)
	r.Begin(r.workers, r.now)
	c.Check(r.decide(task).Wait, qt.IsFalse)
	r.lacking.cpu = 1
	c.Check(r.decide(task).Wait, qt.IsTrue)
}

// Estimates that are too low by a factor of 3 promise places that don't come free.
func TestTheErrorOfEstimatesIsLearnt(t *testing.T) {
	c := qt.New(t)
	r := newRack(1.5, 1, 540*time.Millisecond)
	before := r.decide(r.step(2, 540*time.Millisecond)).Expected
	for range 100 {
		r.Learn(r.runs["w0"][0].Step, 1620*time.Millisecond)
	}
	r.outlooks = map[string]*outlook{}
	r.ahead = map[string]need{}
	after := r.decide(r.step(2, 540*time.Millisecond)).Expected
	c.Check(after > 2*before, qt.IsTrue, qt.Commentf("%s, then %s", before, after))
	c.Check(r.expected(&sequencer.Step{Estimate: 540 * time.Millisecond}) > 1200*time.Millisecond, qt.IsTrue)
}

// Work that does not want a rack may fill it only while no more is wanted there than it has.
func TestDemandForARack(t *testing.T) {
	c := qt.New(t)
	r := newRack(3, 10, time.Second)
	r.Begin(r.workers, r.now)
	c.Check(r.workers[0].RackDemand, qt.Equals, 0.0)
	for range 100 {
		r.Started(r.step(1, time.Second), true, r.now)
	}
	c.Check(r.Demand("hot", r.now) > 30000, qt.IsTrue)
	r.Begin(r.workers, r.now)
	c.Check(r.workers[0].RackDemand > 0, qt.IsTrue)
	other := &allocator.Candidate{ID: "other", CPU: 8000, Memory: 8000, Labels: []string{"kind", "cold"}}
	r.now = r.now.Add(time.Minute)
	for n := range r.workers {
		r.workers[n].RackDemand = 0
	}
	r.Begin(append(r.workers, other), r.now)
	c.Check(r.workers[0].RackDemand, qt.Equals, 0.0, qt.Commentf("it is forgotten"))
	c.Check(r.demand, qt.HasLen, 0, qt.Commentf("racks are named by callers, without limit"))
}

// Where all work takes about as long, a high estimate is mostly an error, and its run ends sooner.
func TestEstimatesThatSayLittleAreTrustedLittle(t *testing.T) {
	c := qt.New(t)
	var useful, useless errors
	for n := range 200 {
		estimate := time.Duration(1+n%10) * 200 * time.Millisecond
		useful.learn(estimate, estimate)
		useless.learn(estimate, time.Second)
	}
	c.Check(useful.expected(4*time.Second) > 3*time.Second, qt.IsTrue, qt.Commentf("%s", useful.expected(4*time.Second)))
	c.Check(useless.expected(4*time.Second) < 2*time.Second, qt.IsTrue, qt.Commentf("%s", useless.expected(4*time.Second)))
	c.Check(useful.sigma() < 0.4 && useless.sigma() < 0.4, qt.IsTrue, qt.Commentf("%f and %f", useful.sigma(), useless.sigma()))
}

// Ends of runs don't tell when services leave headroom: best-effort tasks wait by what others were given.
func TestBestEffortTasksWaitByWhatOthersWereGiven(t *testing.T) {
	c := qt.New(t)
	o := newOpenings()
	before := o.mean()
	step := &sequencer.Step{BestEffort: true}
	for range 400 {
		o.exposed(step, 1, 200*time.Millisecond)
	}
	c.Check(o.mean() > 2*before, qt.IsTrue, qt.Commentf("%s, then %s", before, o.mean()))
	for range 400 {
		o.exposed(step, 1, 50*time.Millisecond)
		o.opened(step)
	}
	c.Check(o.mean() < before, qt.IsTrue, qt.Commentf("%s", o.mean()))
}
