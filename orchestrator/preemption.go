package orchestrator

import (
	"time"

	"go.uber.org/zap"

	"github.com/endivefall/endivefall/meter"
	"github.com/endivefall/endivefall/preemptor"
)

// stopCause is why a run is stopped whose task starts again; the parts of meter.StopCauses.
type stopCause string

// Causes of stops.
const (
	// stopForTask makes room for a task of a higher priority, stopForClaim for one that has
	// claimed it, and stopToMove moves a run to another worker.
	stopForTask  stopCause = "task"
	stopForClaim stopCause = "claim"
	stopToMove   stopCause = "move"
)

// minPacedTime is the time at full pace from which the progress of a run says how long it takes.
const minPacedTime = 200 * time.Millisecond

// maxUnprogressedStay is how long a task that was stopped stays where it has started again without having
// saved anything. One that is paused there for longer moves all the same.
const maxUnprogressedStay = 5 * time.Second

// movesAgain reports whether a slowed run may be moved: its task was not stopped just before.
func (r *run) movesAgain(now time.Time) bool {
	return !r.task.Unprogressed || now.Sub(r.startedAt) > maxUnprogressedStay
}

// preemptible returns a run as a choice for preemption, as of its last snapshot.
func (r *run) preemptible() preemptor.Run {
	step := r.task.StepSpec()
	left := r.job.corrections.Correct(r.task.Step, step.Estimate) * time.Duration(100-r.progressPercent) / 100
	if !r.resumed && r.progressPercent > 0 && r.pacedTime >= minPacedTime {
		left = r.pacedTime * time.Duration(100-r.progressPercent) / time.Duration(r.progressPercent)
	}
	return preemptor.Run{
		Name: r.key.task, Priority: r.job.Spec.Priority, CPU: step.CPU, Unsaved: r.pacedTime - r.savedTime, Left: left,
		Saved: r.task.Checkpoint != "", Unprogressed: r.task.Unprogressed,
	}
}

// noteSaved records that the run has saved a checkpoint.
func (r *run) noteSaved() {
	r.savedTime = r.pacedTime
	r.task.Unprogressed = r.task.Unprogressed && r.evict // the checkpoint of a run that is being stopped is no progress since
}

// preemptionOrder returns runs in the order in which they are stopped, and how many of them may be stopped for a
// task that can also wait.
func preemptionOrder(runs []*run) (ordered []*run, stoppable int) {
	choices := make([]preemptor.Run, len(runs))
	for n, r := range runs {
		choices[n] = r.preemptible()
	}
	for _, n := range preemptor.Order(choices) {
		ordered = append(ordered, runs[n])
		if choices[n].Stoppable() {
			stoppable++
		}
	}
	return ordered, stoppable
}

// stopFor stops a run whose task starts again, and counts it by cause with what is thrown away.
func (o *Orchestrator) stopFor(r *run, cause stopCause, reason string) {
	if !r.evict {
		choice := r.preemptible()
		o.cfg.Count(meter.StopCauses.Of(string(cause)))
		if choice.Unprogressed {
			o.cfg.Count(meter.StoppedAgain)
		}
		lost := time.Duration(choice.Loss() * float64(time.Second))
		o.cfg.ObserveDuration(meter.LostCoreTime, lost)
		o.cfg.Log.Info("run stopped to start again", zap.String("task", choice.Name), zap.String("cause", string(cause)), zap.Duration("lost_core_time", lost),
			zap.Duration("unsaved", choice.Unsaved), zap.Duration("left", choice.Left), zap.Bool("again", choice.Unprogressed))
	}
	r.task.Unprogressed = true
	o.stopRun(r, reason)
}
