package orchestrator

import (
	"github.com/endivefall/endivefall/messenger"
	"github.com/endivefall/endivefall/predictor"
)

// figureSpread is the relative standard error of the tails that agents tell.
const figureSpread = 0.12

// profile learns from a table what filling images do to serving ones.
func (o *Orchestrator) profile(a *agent, t *messenger.WorkerSnapshot) {
	if t.MeasurementUpdates == a.figures || t.CPU <= 0 {
		return
	}
	a.figures = t.MeasurementUpdates
	use := predictor.Usage{}
	for _, row := range t.Runs {
		r := o.runs[runKey{row.Task, row.Attempt}]
		if r != nil && r.task.StepSpec().BestEffort {
			use[r.task.StepSpec().Image] += float64(row.Measurement) / float64(t.CPU)
		}
	}
	now := o.cfg.Now()
	for _, row := range t.Runs {
		r := o.runs[runKey{row.Task, row.Attempt}]
		if r == nil || r.task.StepSpec().LatencyTargetMs <= 0 || row.ProgressPercent < 100 || row.Measurement <= 0 {
			continue
		}
		rate := 1000 / float64(row.Measurement)
		o.press.Learn(now, predictor.Sample{
			Group: r.task.StepName(), Image: r.task.StepSpec().Image, Rate: rate, StdErr: figureSpread * rate, RequiredRate: predictor.RequiredRate(r.task.StepSpec().LatencyTargetMs),
		}, use)
	}
}

// lore returns what is known of a filling image beside those that serve at an
// agent.
func (o *Orchestrator) lore(a *agent, fills string) []messenger.Interference {
	if fills == "" {
		return nil
	}
	var rows []messenger.Interference
	seen := map[string]bool{}
	for _, r := range a.runs {
		step := r.task.StepSpec()
		if step.LatencyTargetMs <= 0 || seen[step.Image] || !o.press.Observed(fills, step.Image) {
			continue
		}
		seen[step.Image] = true
		press, spread := o.press.Interference(fills, step.Image)
		rows = append(rows, messenger.Interference{BestEffortImage: fills, ServingImage: step.Image, Coefficient: float32(press), StdErr: float32(spread)})
	}
	return rows
}

// forgetLoads drops the loads of a job that is forgotten.
func (o *Orchestrator) forgetLoads(j *job) {
	for k := range j.Occurrences() {
		for n, step := range j.Spec.Steps {
			if step.LatencyTargetMs > 0 {
				o.press.Forget(j.Task(k, n, 0).StepName())
			}
		}
	}
}
