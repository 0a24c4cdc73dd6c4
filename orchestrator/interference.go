package orchestrator

import (
	"github.com/endivefall/endivefall/messenger"
	"github.com/endivefall/endivefall/predictor"
)

// tailStdErrRatio is the relative standard error of the tail latencies that agents
// report.
const tailStdErrRatio = 0.12

// learnInterference updates the estimated interference of best-effort images with
// serving images from a snapshot.
func (o *Orchestrator) learnInterference(a *agent, snapshot *messenger.WorkerSnapshot) {
	if snapshot.MeasurementUpdates == a.measurementUpdates || snapshot.CPU <= 0 {
		return
	}
	a.measurementUpdates = snapshot.MeasurementUpdates
	usage := predictor.Usage{}
	for _, status := range snapshot.Runs {
		r := o.runs[runKey{status.Task, status.Attempt}]
		if r != nil && r.task.StepSpec().BestEffort {
			usage[r.task.StepSpec().Image] += float64(status.Measurement) / float64(snapshot.CPU)
		}
	}
	now := o.cfg.Now()
	for _, status := range snapshot.Runs {
		r := o.runs[runKey{status.Task, status.Attempt}]
		if r == nil || r.task.StepSpec().LatencyTargetMs <= 0 || status.ProgressPercent < 100 || status.Measurement <= 0 {
			continue
		}
		rate := 1000 / float64(status.Measurement)
		o.predictor.Learn(now, predictor.Sample{
			Group: r.task.StepName(), Image: r.task.StepSpec().Image, Rate: rate, StdErr: tailStdErrRatio * rate, RequiredRate: predictor.RequiredRate(r.task.StepSpec().LatencyTargetMs),
		}, usage)
	}
}

// knownInterference returns the observed interference of a best-effort image with
// the serving images on an agent.
func (o *Orchestrator) knownInterference(a *agent, bestEffortImage string) []messenger.Interference {
	if bestEffortImage == "" {
		return nil
	}
	var known []messenger.Interference
	seen := map[string]bool{}
	for _, r := range a.runs {
		step := r.task.StepSpec()
		if step.LatencyTargetMs <= 0 || seen[step.Image] || !o.predictor.HasEstimate(bestEffortImage, step.Image) {
			continue
		}
		seen[step.Image] = true
		coefficient, stdErr := o.predictor.Interference(bestEffortImage, step.Image)
		known = append(known, messenger.Interference{BestEffortImage: bestEffortImage, ServingImage: step.Image, Coefficient: float32(coefficient), StdErr: float32(stdErr)})
	}
	return known
}

// forgetLoads drops the load estimates of a deleted job.
func (o *Orchestrator) forgetLoads(j *job) {
	for occurrence := range j.Occurrences() {
		for n, step := range j.Spec.Steps {
			if step.LatencyTargetMs > 0 {
				o.predictor.Forget(j.Task(occurrence, n, 0).StepName())
			}
		}
	}
}
