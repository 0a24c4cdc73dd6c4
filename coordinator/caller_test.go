package coordinator_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/endivefall/endivefall/acceptor"
	"github.com/endivefall/endivefall/advancer"
	"github.com/endivefall/endivefall/sequencer"
)

// submit submits a job at a random entry and returns its ID if it was accepted.
func (f *fleet) submit(r *rand.Rand) string {
	id := fmt.Sprintf("%016x", r.Uint64())
	spec := &sequencer.Spec{ID: id, Queue: "queue", Pool: f.poolOfNewJobs(), MaxAttempts: f.maxAttempts, StretchFactor: 2, LatencyAllowance: time.Second}
	for n := range 1 + r.IntN(3) {
		step := sequencer.Step{Count: 1 + r.IntN(4), CPU: int64(500 + r.IntN(1500)), Memory: int64(100 + r.IntN(900)), Estimate: time.Second}
		if n > 0 {
			step.DependsOn = []int{n - 1}
		}
		spec.Steps = append(spec.Steps, step)
	}
	if r.Float64() < 0.06 {
		spec.Steps = []sequencer.Step{{Count: 2, CPU: 500, Memory: 100, LongRunning: true}}
	}
	canceled := f.varySteps(spec)
	f.auditor.AddJob(spec)
	for range 1 + r.IntN(3) { // a caller without a definite outcome retries at another entry
		err := f.submitAt(f.entry(r.IntN(16)), spec)
		switch {
		case err == nil:
			if canceled {
				f.cancelLater(id)
			}
			return id
		case errors.Is(err, acceptor.ErrNotAccepted):
			f.auditor.RejectJob(id)
			return ""
		}
		advancer.Sleep(time.Duration(5+r.IntN(300)) * time.Millisecond)
	}
	if canceled { // the caller gives up and makes sure that nothing runs
		f.cancelSurely(id, r)
	}
	return ""
}

func (f *fleet) submitAt(e *entryNode, spec *sequencer.Spec) error {
	ctx, cancel := context.WithTimeout(f.ctx, 3*time.Second)
	defer cancel()
	resubmitted := *spec
	err := e.coordinator.Acceptor.Submit(ctx, &resubmitted)
	if f.isFrozen(e) {
		return errNoReply
	}
	return err
}

func (f *fleet) cancel(id string, r *rand.Rand) {
	ctx, cancel := context.WithTimeout(f.ctx, 3*time.Second)
	defer cancel()
	f.auditor.CancelJob(id, false)
	f.cancelAt(ctx, id, f.entry(r.IntN(16)))
}

// cancelAt cancels a job at an entry and reports whether that was acknowledged.
func (f *fleet) cancelAt(ctx context.Context, id string, e *entryNode) bool {
	err := e.coordinator.Acceptor.Cancel(ctx, "queue", id)
	if err != nil && !errors.Is(err, acceptor.ErrNotFound) || f.isFrozen(e) {
		return false
	}
	f.auditor.CancelJob(id, true)
	return true
}

func (f *fleet) checkState(id string, r *rand.Rand) {
	ctx, cancel := context.WithTimeout(f.ctx, 2*time.Second)
	defer cancel()
	e := f.entry(r.IntN(16))
	state, err := e.coordinator.Acceptor.State(ctx, "queue", id)
	if f.isFrozen(e) {
		return
	}
	if errors.Is(err, acceptor.ErrNotFound) {
		f.auditor.ReportMissing(id)
	}
	if err == nil {
		f.auditor.CheckState(id, state)
	}
}

// unfinished describes the accepted jobs that are not in their expected state:
// long-running jobs must be running, all others finished.
func (f *fleet) unfinished(ids []string) []string {
	running := map[string]bool{}
	for _, a := range f.agents {
		for _, task := range a.worker.Running() {
			running[task] = true
		}
	}
	var unfinished []string
	for n, id := range ids {
		ctx, cancel := context.WithTimeout(f.ctx, 3*time.Second)
		state, err := f.entry(n).coordinator.Acceptor.State(ctx, "queue", id)
		cancel()
		if err != nil {
			unfinished = append(unfinished, fmt.Sprintf("%s: %v", id, err))
			continue
		}
		f.auditor.CheckState(id, state)
		switch {
		case state.Final():
			for task := range running {
				if task[:16] == id {
					unfinished = append(unfinished, fmt.Sprintf("%s is %s but %s still runs", id, state, task))
				}
			}
		case f.auditor.Spec(id).Steps[0].LongRunning:
			for k := range 2 {
				if name := fmt.Sprintf("%s.0.0.%d", id, k); !running[name] {
					unfinished = append(unfinished, name+" is not running")
				}
			}
		default:
			unfinished = append(unfinished, fmt.Sprintf("%s is %s", id, state))
		}
	}
	return unfinished
}
