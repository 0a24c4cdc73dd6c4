package allocator

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivefall/endivefall/sequencer"
)

var now = time.Unix(1000, 0)

// task returns a task of a job with one step.
func task(step sequencer.Step) *sequencer.Task {
	step.Count = max(step.Count, 1)
	j := sequencer.NewJob(&sequencer.Spec{ID: "j", Steps: []sequencer.Step{step}}, 1, nil)
	t := j.Task(0, 0, 0)
	t.WaitingSince = now
	return t
}

// flat is a press that is the same for all images.
func flat(press float64) func(string, string) float64 {
	return func(string, string) float64 { return press }
}

// serving is a worker with tasks that serve, empty one without.
func serving(id string, room float64) *Candidate {
	return &Candidate{
		ID: id, CPU: 64000, Memory: 256000, UsedCPU: 40000, ServingCount: 4, ServingCPU: 40000, Speed: 1,
		ServingTasks: []ServingTask{{Image: "s", Headroom: room}},
	}
}

func empty(id string) *Candidate { return &Candidate{ID: id, CPU: 64000, Memory: 256000, Speed: 1} }

func TestReservedTasksShareWorkersAndLeaveOthersToWhatFills(t *testing.T) {
	c := qt.New(t)
	seats := []*Candidate{empty("a"), serving("b", 0.4)}
	c.Assert(Pick(task(sequencer.Step{CPU: 1000}), "s", seats, now, flat(1)).ID, qt.Equals, "b")
	c.Assert(Pick(task(sequencer.Step{CPU: 1000, LatencyTargetMs: 50, LongRunning: true}), "s", seats, now, flat(1)).ID, qt.Equals, "b")
	c.Assert(Pick(task(sequencer.Step{CPU: 7000, BestEffort: true}), "s", seats, now, flat(6)).ID, qt.Equals, "a")
}

func TestWhatFillsGoesBesideWhatItDoesNotPressOn(t *testing.T) {
	c := qt.New(t)
	full := empty("a")
	full.BestEffortCPU = 60000
	seats := []*Candidate{full, serving("b", 0.4)}
	filling := task(sequencer.Step{CPU: 8000, BestEffort: true})
	c.Assert(Pick(filling, "s", seats, now, flat(0)).ID, qt.Equals, "b")
	c.Assert(Pick(filling, "s", seats, now, flat(30)), qt.IsNil, qt.Commentf("it would be slowed to nothing"))
	c.Assert(Pick(filling, "s", seats, now.Add(2*patience), flat(30)).ID, qt.Equals, "b", qt.Commentf("it has waited long enough"))
}

func TestTheBurstIsSpreadOverWhatIsLeft(t *testing.T) {
	c := qt.New(t)
	seats := []*Candidate{empty("a"), empty("b"), empty("c")}
	placed := map[string]int{}
	filling := task(sequencer.Step{CPU: 8000, BestEffort: true, Count: 30})
	for range 30 {
		s := Pick(filling, "s", seats, now, flat(1))
		if s == nil {
			break
		}
		s.Reserve(filling.StepSpec(), "s")
		placed[s.ID]++
	}
	c.Assert(placed, qt.DeepEquals, map[string]int{"a": 8, "b": 8, "c": 8})
}

func TestFits(t *testing.T) {
	s := serving("a", 0.7)
	s.Labels = []string{"kind", "rack"}
	s.TasksByStep = map[string]int{"s": 1}
	for name, one := range map[string]struct {
		step sequencer.Step
		fits bool
	}{
		"in what is free":       {sequencer.Step{CPU: 24000}, true},
		"over what is free":     {sequencer.Step{CPU: 24001}, false},
		"filling needs no room": {sequencer.Step{CPU: 60000, BestEffort: true}, true},
		"memory counts for all": {sequencer.Step{CPU: 1, Memory: 256001, BestEffort: true}, false},
		"label there":           {sequencer.Step{RequiredLabel: "kind"}, true},
		"label missing":         {sequencer.Step{RequiredLabel: "other"}, false},
		"spread used up":        {sequencer.Step{MaxPerWorker: 1}, false},
		"spread left":           {sequencer.Step{MaxPerWorker: 2}, true},
	} {
		t.Run(name, func(t *testing.T) {
			qt.New(t).Assert(Fits(task(one.step), "s", s), qt.Equals, one.fits)
		})
	}
}

func TestATaskAvoidsWhereItFailedAndWhatIsSlow(t *testing.T) {
	c := qt.New(t)
	a, b := serving("a", 0.7), serving("b", 0.7)
	failed := task(sequencer.Step{CPU: 100})
	failed.FailedWorkers = []string{"a"}
	c.Assert(Pick(failed, "s", []*Candidate{a, b}, now, flat(0)).ID, qt.Equals, "b")
	c.Assert(Pick(failed, "s", []*Candidate{a}, now, flat(0)).ID, qt.Equals, "a", qt.Commentf("there is no other"))
	a.Speed = 0.2
	c.Assert(Pick(task(sequencer.Step{CPU: 100}), "s", []*Candidate{a, b}, now, flat(0)).ID, qt.Equals, "b")
}

// What runs there already is booked at full pace, so that a worker whose filling
// tasks are slowed takes no more of them.
func TestWhatFillsIsBookedAtFullPace(t *testing.T) {
	c := qt.New(t)
	s := serving("a", 0.4)
	step := sequencer.Step{CPU: 8000, BestEffort: true}
	c.Assert(ExpectedPace(&step, s, flat(1)), qt.Equals, 1.0)
	s.AddInterference("f", 16000, flat(1))
	c.Assert(ExpectedPace(&step, s, flat(1)) < 1, qt.IsFalse)
	s.AddInterference("f", 16000, flat(1))
	c.Assert(ExpectedPace(&step, s, flat(1)), qt.Equals, 0.0)
	c.Assert(ExpectedPace(&step, s, flat(0)), qt.Equals, 1.0, qt.Commentf("it presses on nothing"))
	c.Assert(ExpectedPace(&step, s, flat(0.9)), qt.Equals, 1.0, qt.Commentf("what presses harder is slowed first"))
}

func rank(accepted time.Duration, estimate time.Duration, priority int, lasting bool) Rank {
	j := sequencer.NewJob(&sequencer.Spec{
		ID: "j", Steps: []sequencer.Step{{Count: 1, Estimate: estimate, LongRunning: lasting}}, StretchFactor: 2, LatencyAllowance: time.Second,
		AcceptedAt: now.Add(accepted), Priority: priority,
	}, 1, nil)
	return RankJob(j, now)
}

// Under more load than the workers can take, what can still be in time goes
// before what can't.
func TestOrderUnderOverload(t *testing.T) {
	c := qt.New(t)
	order := []Rank{
		rank(-time.Minute, time.Second, 0, true),              // it lasts
		rank(0, time.Second, 0, false),                        // urgent
		rank(-time.Second, 2*time.Second, 2, false),           // due sooner
		rank(0, 2*time.Second, 2, false),                      // due later
		rank(-4500*time.Millisecond, 2*time.Second, 2, false), // can't be in time any more
		rank(-time.Minute, 2*time.Second, 0, false),           // its time is long over
	}
	for n := range order[1:] {
		c.Assert(order[n].Compare(order[n+1]) < 0, qt.IsTrue, qt.Commentf("%d before %d", n, n+1))
	}
}

func TestATrialLeavesNoTrace(t *testing.T) {
	c := qt.New(t)
	s := serving("a", 0.6)
	trial := s.Clone()
	step := sequencer.Step{CPU: 1000, Memory: 10, LatencyTargetMs: 5}
	trial.Reserve(&step, "x")
	trial.AddInterference("f", 1000, flat(3))
	c.Assert(s.UsedCPU, qt.Equals, int64(40000))
	c.Assert(s.TasksByStep, qt.HasLen, 0)
	c.Assert(s.ServingTasks[0].Reserved, qt.HasLen, 0)
}
