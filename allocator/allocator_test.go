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
	t.WaitingSince, t.FreeSince = now, now
	return t
}

// constantInterference returns the same coefficient for all pairs of images.
func constantInterference(coefficient float64) func(string, string) float64 {
	return func(string, string) float64 { return coefficient }
}

// servingWorker returns a worker with serving tasks.
func servingWorker(id string, headroom float64) *Candidate {
	return &Candidate{
		ID: id, CPU: 64000, Memory: 256000, UsedCPU: 40000, ServingCount: 4, ServingCPU: 40000, Speed: 1,
		ServingTasks: []ServingTask{{Image: "s", Headroom: headroom}},
	}
}

func emptyWorker(id string) *Candidate {
	return &Candidate{ID: id, CPU: 64000, Memory: 256000, Speed: 1}
}

func TestReservedTasksShareWorkersAndLeaveOthersToBestEffort(t *testing.T) {
	c := qt.New(t)
	busy := servingWorker("b", 0.4)
	busy.ServingByImage = map[string]int{"s": 4}
	candidates := []*Candidate{emptyWorker("a"), busy}
	c.Assert(Pick(task(sequencer.Step{CPU: 1000}), "s", candidates, now, constantInterference(1)).ID, qt.Equals, "b")
	serving := sequencer.Step{CPU: 1000, LatencyTargetMs: 50, LongRunning: true, Image: "s"}
	c.Assert(Pick(task(serving), "s", candidates, now, constantInterference(1)).ID, qt.Equals, "b")
	serving.Image = "other"
	c.Assert(Pick(task(serving), "s", candidates, now, constantInterference(1)).ID, qt.Equals, "a", qt.Commentf("images don't mix while there is room"))
	c.Assert(Pick(task(serving), "s", candidates[1:], now, constantInterference(1)).ID, qt.Equals, "b", qt.Commentf("no other room"))
	c.Assert(Pick(task(sequencer.Step{CPU: 7000, BestEffort: true}), "s", candidates, now, constantInterference(6)).ID, qt.Equals, "a")
}

func TestBestEffortTaskAvoidsInterference(t *testing.T) {
	c := qt.New(t)
	full := emptyWorker("a")
	full.BestEffortCPU = 60000
	candidates := []*Candidate{full, servingWorker("b", 0.4)}
	bestEffort := task(sequencer.Step{CPU: 8000, BestEffort: true})
	c.Assert(Pick(bestEffort, "s", candidates, now, constantInterference(0)).ID, qt.Equals, "b")
	c.Assert(Pick(bestEffort, "s", candidates, now, constantInterference(30)), qt.IsNil, qt.Commentf("it would be slowed to almost nothing"))
	c.Assert(Pick(bestEffort, "s", candidates, now.Add(2*maxPaceWait), constantInterference(30)).ID, qt.Equals, "a", qt.Commentf("it has waited for maxPaceWait, and gets more CPU there"))
	full.OnTrial = true
	c.Assert(Pick(bestEffort, "s", candidates, now.Add(2*maxPaceWait), constantInterference(30)).ID, qt.Equals, "b", qt.Commentf("it has waited for maxPaceWait"))
}

func TestABestEffortTaskThatGainsNothingKeepsMemory(t *testing.T) {
	for name, tt := range map[string]struct {
		change       func(*Candidate)
		interference float64
		want         bool
	}{
		"shares the CPU":             {func(c *Candidate) { c.BestEffortCPU = 60000 }, 0, false},
		"beside little memory":       {func(c *Candidate) { c.BestEffortCPU, c.UsedMemory = 60000, 0 }, 0, true},
		"has CPU":                    {func(c *Candidate) { c.BestEffortCPU = 8000 }, 0, true},
		"is slowed":                  {func(c *Candidate) { c.BestEffortCPU = 8000 }, 30, false},
		"is the first on the worker": {func(*Candidate) {}, 30, true},
		"no long-running tasks":      {func(c *Candidate) { c.BestEffortCPU, c.KeptMemory = 60000, 0 }, 0, true},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			worker := servingWorker("a", 0.4)
			worker.UsedMemory, worker.KeptMemory = 230000, 20000
			tt.change(worker)
			waiting := task(sequencer.Step{CPU: 8000, Memory: 10000, BestEffort: true})
			picked := Pick(waiting, "s", []*Candidate{worker}, now.Add(2*maxPaceWait), constantInterference(tt.interference))
			c.Assert(picked != nil, qt.Equals, tt.want)
			for _, exempt := range []sequencer.Step{{LongRunning: true}, {Gang: true}} {
				exempt.CPU, exempt.Memory, exempt.BestEffort = 8000, 10000, true
				c.Assert(Pick(task(exempt), "s", []*Candidate{worker}, now.Add(2*maxPaceWait), constantInterference(tt.interference)), qt.IsNotNil)
			}
		})
	}
}

func TestBestEffortTasksFillEmptyWorkersEvenly(t *testing.T) {
	c := qt.New(t)
	candidates := []*Candidate{emptyWorker("a"), emptyWorker("b"), emptyWorker("c")}
	placed := map[string]int{}
	bestEffort := task(sequencer.Step{CPU: 8000, BestEffort: true, Count: 30})
	for range 30 {
		w := Pick(bestEffort, "s", candidates, now, constantInterference(1))
		if w == nil {
			break
		}
		w.Reserve(bestEffort.StepSpec(), "s")
		placed[w.ID]++
	}
	c.Assert(placed, qt.DeepEquals, map[string]int{"a": 8, "b": 8, "c": 8})
}

func TestFits(t *testing.T) {
	w := servingWorker("a", 0.7)
	w.Labels = []string{"kind", "rack"}
	w.TasksByStep = map[string]int{"s": 1}
	for name, tc := range map[string]struct {
		step sequencer.Step
		fits bool
	}{
		"within free CPU":               {sequencer.Step{CPU: 24000}, true},
		"over free CPU":                 {sequencer.Step{CPU: 24001}, false},
		"best effort needs no free CPU": {sequencer.Step{CPU: 60000, BestEffort: true}, true},
		"best effort needs memory":      {sequencer.Step{CPU: 1, Memory: 256001, BestEffort: true}, false},
		"label present":                 {sequencer.Step{RequiredLabel: "kind"}, true},
		"label missing":                 {sequencer.Step{RequiredLabel: "other"}, false},
		"step limit reached":            {sequencer.Step{MaxPerWorker: 1}, false},
		"below step limit":              {sequencer.Step{MaxPerWorker: 2}, true},
	} {
		t.Run(name, func(t *testing.T) {
			qt.New(t).Assert(Fits(task(tc.step), "s", w), qt.Equals, tc.fits)
		})
	}
}

func TestTaskAvoidsWorkersWhereItFailedAndSlowOnes(t *testing.T) {
	c := qt.New(t)
	a, b := servingWorker("a", 0.7), servingWorker("b", 0.7)
	failed := task(sequencer.Step{CPU: 100})
	failed.FailedWorkers = []string{"a"}
	c.Assert(Pick(failed, "s", []*Candidate{a, b}, now, constantInterference(0)).ID, qt.Equals, "b")
	c.Assert(Pick(failed, "s", []*Candidate{a}, now, constantInterference(0)).ID, qt.Equals, "a", qt.Commentf("there is no other worker"))
	a.Speed = 0.2
	c.Assert(Pick(task(sequencer.Step{CPU: 100}), "s", []*Candidate{a, b}, now, constantInterference(0)).ID, qt.Equals, "b")
}

// Best-effort tasks that run already count at full pace, so that a worker whose
// best-effort tasks are slowed gets no more of them.
func TestInterferenceIsReservedAtFullPace(t *testing.T) {
	c := qt.New(t)
	w := servingWorker("a", 0.4)
	step := sequencer.Step{CPU: 8000, BestEffort: true}
	c.Assert(ExpectedPressure(&step, w, constantInterference(1)).Pace, qt.Equals, 1.0)
	w.AddInterference("f", 16000, constantInterference(1))
	c.Assert(ExpectedPressure(&step, w, constantInterference(1)).Pace < 1, qt.IsFalse)
	w.AddInterference("f", 16000, constantInterference(1))
	c.Assert(ExpectedPressure(&step, w, constantInterference(1)).Pace, qt.Equals, 0.0)
	c.Assert(ExpectedPressure(&step, w, constantInterference(0)).Pace, qt.Equals, 1.0, qt.Commentf("it interferes with nothing"))
	c.Assert(ExpectedPressure(&step, w, constantInterference(0.9)).Pace, qt.Equals, 0.0, qt.Commentf("tasks with a higher coefficient would be slowed too late"))
	w.SmallPool = true
	c.Assert(ExpectedPressure(&step, w, constantInterference(0.9)).Pace, qt.Equals, 1.0, qt.Commentf("there are few other places"))
}

func rankOf(acceptedIn time.Duration, estimate time.Duration, priority int, step sequencer.Step) Rank {
	step.Count, step.Estimate = 1, estimate
	j := sequencer.NewJob(&sequencer.Spec{
		ID: "j", Steps: []sequencer.Step{step}, StretchFactor: 2, LatencyAllowance: time.Second,
		AcceptedAt: now.Add(acceptedIn), Priority: priority,
	}, 1, nil)
	return RankJob(j, nil, now)
}

// Under overload, jobs that can still meet their objective go before those that
// can't. Short jobs with a reservation waited for ten seconds behind long-running ones,
// which hold what they get for the rest of the day.
func TestRankOrderUnderOverload(t *testing.T) {
	c := qt.New(t)
	reserved, lasting, filling := sequencer.Step{}, sequencer.Step{LongRunning: true}, sequencer.Step{BestEffort: true}
	order := []Rank{
		rankOf(0, time.Second, 0, reserved),                        // urgent
		rankOf(-time.Second, 2*time.Second, 2, reserved),           // due earlier
		rankOf(0, 2*time.Second, 2, reserved),                      // due later
		rankOf(-time.Minute, time.Second, 0, lasting),              // has no objective
		rankOf(0, 2*time.Second, 0, filling),                       // best effort
		rankOf(-4500*time.Millisecond, 2*time.Second, 2, filling),  // will miss its objective
		rankOf(-4400*time.Millisecond, 2*time.Second, 2, reserved), // will miss it too, due later
		rankOf(-time.Minute, 2*time.Second, 0, reserved),           // over three times its objective
	}
	for n := range order[1:] {
		c.Assert(order[n].Compare(order[n+1]) < 0, qt.IsTrue, qt.Commentf("%d before %d", n, n+1))
	}
}

func TestCloneIsIndependent(t *testing.T) {
	c := qt.New(t)
	w := servingWorker("a", 0.6)
	clone := w.Clone()
	step := sequencer.Step{CPU: 1000, Memory: 10, LatencyTargetMs: 5}
	clone.Reserve(&step, "x")
	clone.AddInterference("f", 1000, constantInterference(3))
	c.Assert(w.UsedCPU, qt.Equals, int64(40000))
	c.Assert(w.TasksByStep, qt.HasLen, 0)
	c.Assert(w.ServingTasks[0].Reserved, qt.HasLen, 0)
}

// Two long-running best-effort tasks were never started again after their worker was lost: those on
// the other workers asked for all CPU that is free, and never ended.
func TestBestEffortTasksShareTheCPUOfOthersInTime(t *testing.T) {
	for name, tt := range map[string]struct {
		endless bool
		wait    time.Duration
	}{
		"long-running": {true, maxLongRunningWait},
		"others":       {false, maxPaceWait},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			full, fuller := emptyWorker("a"), emptyWorker("b")
			full.BestEffortCPU, fuller.BestEffortCPU = 60000, 90000
			waiting := task(sequencer.Step{CPU: 30000, BestEffort: true, LongRunning: tt.endless})
			candidates := []*Candidate{fuller, full}
			c.Assert(Pick(waiting, "s", candidates, now.Add(tt.wait-time.Millisecond), constantInterference(0)), qt.IsNil)
			c.Assert(Pick(waiting, "s", candidates, now.Add(tt.wait), constantInterference(0)).ID, qt.Equals, "a")
			full.UsedMemory = full.Memory
			waiting.StepSpec().Memory = 10
			c.Assert(Pick(waiting, "s", candidates, now.Add(tt.wait), constantInterference(0)).ID, qt.Equals, "b")
		})
	}
}

// A long-running best-effort task stayed away for 12 s where every worker would slow it down.
func TestALongRunningBestEffortTaskDoesNotWaitForFullPace(t *testing.T) {
	c := qt.New(t)
	waiting := task(sequencer.Step{CPU: 8000, BestEffort: true, LongRunning: true})
	candidates := []*Candidate{servingWorker("b", 0.4)}
	c.Assert(Pick(waiting, "s", candidates, now, constantInterference(30)), qt.IsNil)
	c.Assert(Pick(waiting, "s", candidates, now.Add(maxLongRunningWait), constantInterference(30)).ID, qt.Equals, "b")
}

func TestReleaseIsTheInverseOfReserve(t *testing.T) {
	for name, step := range map[string]sequencer.Step{
		"serving":     {CPU: 5, Memory: 6, GPU: 1, LatencyTargetMs: 50, Image: "a"},
		"best effort": {CPU: 5, Memory: 6, BestEffort: true},
		"short":       {CPU: 5, Memory: 6},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			candidate := &Candidate{CPU: 100, Memory: 100, GPU: 1}
			candidate.Reserve(&step, "0.0")
			want := candidate.Clone()
			candidate.Reserve(&step, "0.0")
			candidate.Release(&step, "0.0")
			c.Check(candidate, qt.DeepEquals, want)
		})
	}
}

// TestAColdWorkerIsUsedLast guards against work on workers that are slow after an evacuation while
// others have room.
func TestAColdWorkerIsUsedLast(t *testing.T) {
	c := qt.New(t)
	cold, colder, warm := emptyWorker("a"), emptyWorker("b"), emptyWorker("c")
	cold.Warmup, colder.Warmup = 4*time.Second, 8*time.Second
	warm.Speed, warm.FailureRate = 0.7, 0.3
	for name, step := range map[string]sequencer.Step{
		"reserved": {CPU: 1000}, "best effort": {CPU: 1000, BestEffort: true}, "serving": {CPU: 1000, LatencyTargetMs: 50, LongRunning: true, Image: "s"},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			c.Check(Pick(task(step), "s", []*Candidate{cold, colder, warm}, now, constantInterference(0)).ID, qt.Equals, "c")
			c.Check(Pick(task(step), "s", []*Candidate{colder, cold}, now, constantInterference(0)).ID, qt.Equals, "a", qt.Commentf("the less cold one of two"))
		})
	}
	c.Check(Pick(task(sequencer.Step{CPU: 1000}), "s", []*Candidate{colder}, now, constantInterference(0)).ID, qt.Equals, "b", qt.Commentf("no task waits for a worker to warm up"))
}

// On a worker whose serving tasks had no headroom left, a best-effort task seemed to fit, and no
// log line said why it waited.
func TestAWorkerLacksHeadroomForWhatInterferes(t *testing.T) {
	c := qt.New(t)
	w := servingWorker("a", 0.4)
	bestEffort := &sequencer.Step{CPU: 8000, BestEffort: true}
	c.Check(LacksHeadroom(bestEffort, w, constantInterference(1)), qt.IsFalse)
	c.Check(LacksHeadroom(bestEffort, w, constantInterference(30)), qt.IsTrue)
	c.Check(LacksHeadroom(&sequencer.Step{CPU: 8000}, w, constantInterference(30)), qt.IsFalse, qt.Commentf("it reserves its CPU"))
	c.Check(LacksHeadroom(bestEffort, emptyWorker("b"), constantInterference(30)), qt.IsFalse)
}
