package relocator

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivefall/endivefall/allocator"
	"github.com/endivefall/endivefall/sequencer"
)

var now = time.Unix(1000, 0)

// slowedRun returns a run that is throttled on worker "a".
func slowedRun(id string, pace int) Run {
	j := sequencer.NewJob(&sequencer.Spec{ID: id, Steps: []sequencer.Step{{Count: 1, CPU: 7000, Memory: 10, BestEffort: true, Checkpointable: true, Image: "f"}}}, 1, nil)
	return Run{Task: j.Task(0, 0, 0), Worker: "a", Pool: "pool", PacePercent: pace, ProgressPercent: 40, StartedAt: now.Add(-2 * time.Second)}
}

// servingWorker returns a worker with serving tasks of an image.
func servingWorker(id, image string) *allocator.Candidate {
	return &allocator.Candidate{
		ID: id, CPU: 64000, Memory: 1000, UsedCPU: 40000, ServingCount: 4, ServingCPU: 40000, Speed: 1,
		ServingTasks: []allocator.ServingTask{{Image: image, Headroom: 30}},
	}
}

// interference is 100/s with image "heavy" and 10/s with others.
func interference(_, servingImage string) float64 {
	if servingImage == "heavy" {
		return 100
	}
	return 10
}

func choose(runs []Run, candidates ...*allocator.Candidate) []Move {
	return Choose(now, runs, map[string][]*allocator.Candidate{"pool": candidates}, len(candidates)+1, interference)
}

// Runs moved to the first worker by name with headroom, where the next ones then found
// none.
func TestRunsMoveToWhereTheyInterfereLeast(t *testing.T) {
	c := qt.New(t)
	c.Check(choose([]Run{slowedRun("j", 10)}, servingWorker("b", "heavy"), servingWorker("c", "light")), qt.DeepEquals, []Move{{Run: 0, To: "c"}})
}

// A run was stopped for a worker that its policy does not allow.
func TestRunsMoveOnlyWhereTheirPolicyAllowsIt(t *testing.T) {
	c := qt.New(t)
	r := slowedRun("j", 10)
	r.MayRunOn = func(worker string) bool { return worker == "b" }
	c.Check(choose([]Run{r}, servingWorker("b", "heavy"), servingWorker("c", "light"), servingWorker("d", "light")), qt.DeepEquals, []Move{{Run: 0, To: "b"}})
}

func TestTheMostThrottledRunMovesFirst(t *testing.T) {
	c := qt.New(t)
	small := servingWorker("b", "light")
	small.CPU, small.ServingCPU, small.UsedCPU = 10000, 4000, 2000 // room for one
	c.Check(choose([]Run{slowedRun("j", 40), slowedRun("k", 0)}, small), qt.DeepEquals, []Move{{Run: 1, To: "b"}})
}

func TestRunsThatGainNothingStay(t *testing.T) {
	young, ending, fast := slowedRun("j", 0), slowedRun("k", 0), slowedRun("l", 90)
	young.StartedAt, ending.ProgressPercent = now.Add(-minRelocationAge/2), nearEndPercent
	for name, r := range map[string]Run{"just started": young, "about to end": ending, "not throttled": fast} {
		t.Run(name, func(t *testing.T) {
			qt.New(t).Check(choose([]Run{r}, servingWorker("b", "light")), qt.HasLen, 0)
		})
	}
	t.Run("no better worker", func(t *testing.T) {
		full := servingWorker("b", "heavy")
		full.ServingTasks[0].Headroom = 1
		qt.New(t).Check(choose([]Run{slowedRun("j", 0)}, full, servingWorker("a", "light")), qt.HasLen, 0)
	})
}
