package delayer

import (
	"math"
	"time"
)

const (
	// lateValue is the part of its value that a job has up to lateFactor times its objective.
	lateValue  = 0.15
	lateFactor = 3.0
	// startTime is the time from the decision to start a task until the owner knows of its end, beside its
	// run.
	startTime = 150 * time.Millisecond
	// timeWeight is the value of an end that is sooner by the objective of the job: within it, callers
	// gain little by it.
	timeWeight = 0.1
	// roomWeight is the value of room for as much work as the job has, where others wait for room: they
	// may still be in time.
	roomWeight = 1.0
	// remainingSigma is the part of the standard deviation of an estimate's error that is left once other steps
	// of the job have shown theirs: half of the variance is taken to be common to a job.
	remainingSigma = 0.87
)

// errorQuantiles are the quantiles of the error of an estimate that are weighed alike, in standard deviations;
// waitQuantiles are those of a wait for the ends of runs, in relation to the expected one, openingQuantiles those of
// one that may end at any time.
var (
	errorQuantiles   = [...]float64{-1.47, -0.79, -0.37, 0, 0.37, 0.79, 1.47}
	waitQuantiles    = [...]float64{0.5, 0.8, 1, 1.3, 1.8}
	openingQuantiles = [...]float64{0.11, 0.36, 0.69, 1.2, 2.3}
)

// forecast is what a decision means for the job of a request, in seconds.
type forecast struct {
	// run is the expected time of its step, rest that of all steps that are not done, later of those to come
	// after this one. done is how long those that are done take near their data, estimated from the
	// age of the job.
	run, rest, later, done float64
	// scale is how many times as long as expected runs take by what is known of the job, and sigma the standard deviation of its
	// logarithm.
	scale, sigma float64
	// elapsed is the age of the job with the time for starts, length the objective beyond stretch
	// times the run time.
	elapsed, stretch, allowance float64
	// others is when the runs away of the step are expected to end.
	others float64
}

func (d *Delayer) forecast(r Request) forecast {
	j, occurrence, spec := r.Task.Job, r.Task.Occurrence, r.Task.Job.Spec
	begin := spec.AcceptedAt
	if spec.Repeat > 0 {
		begin = j.Due(occurrence)
	}
	p := forecast{stretch: spec.StretchFactor, allowance: spec.LatencyAllowance.Seconds(), others: max(d.awayUntil[r.Task.StepName()].Sub(r.Now).Seconds(), 0)}
	age, starts, done := r.Wall.Sub(begin), startTime, 0.0
	for n := range spec.Steps {
		expected := d.expected(&spec.Steps[n]).Seconds()
		if j.StepDone(occurrence, n) {
			done += expected
			age -= startTime
			continue
		}
		p.rest += expected
		switch {
		case n == r.Task.Step:
			p.run = expected
		case n > r.Task.Step:
			p.later += expected
			starts += startTime
		}
	}
	p.elapsed = (r.Wall.Sub(begin) + starts).Seconds()
	p.scale, p.sigma = 1, d.errorsOf(r.Task.StepSpec()).sigma()
	if done > 0 && age > 0 {
		p.done = age.Seconds() / math.Sqrt(d.cfg.Factor) // near or away, which is not known any more
		seen := min(max(p.done/done, math.Exp(-maxBias)), math.Exp(maxBias))
		p.scale, p.sigma = math.Sqrt(p.scale*seen), p.sigma*remainingSigma
	}
	return p
}

// value returns the part of its value that the job has if its step ends in some time, and run times are
// so many times the expected ones.
func (p *forecast) value(end, scale float64) float64 {
	if p.stretch <= 0 {
		return 0
	}
	objective, end := p.stretch*(p.done+p.rest*scale)+p.allowance, p.elapsed+end+p.later*scale
	switch {
	case end <= objective:
		return 1
	case end <= lateFactor*objective:
		return lateValue
	}
	return 0
}

// gain returns what the tasks of a request gain by a wait, less what it costs them, as a part of the
// value of their job: its chance to be in time, the time itself, and room for others.
func (d *Delayer) gain(r Request, wait, left time.Duration) float64 {
	p := d.forecast(r)
	length := max(p.stretch, 1)*(p.done+p.rest*p.scale) + p.allowance
	tasks := float64(r.Count) / float64(r.Task.StepSpec().Count)
	// room is the value of a second in which the tasks leave their room to others, or leave it idle.
	room := roomWeight * d.scarcity(r.Task.StepSpec()) * tasks / max(p.rest*p.scale+p.done, p.run*p.scale)
	quantiles, idle := waitQuantiles, d.idle(r.Task.StepSpec())
	if r.Task.StepSpec().BestEffort {
		quantiles = openingQuantiles
	}
	gain := 0.0
	for _, z := range errorQuantiles {
		deviation := math.Exp(p.sigma * z)
		scale := p.scale * deviation
		near, others := p.run*scale, p.others*deviation
		endAway := max(others, near*d.cfg.Factor)
		for _, share := range quantiles {
			waits := wait.Seconds() * share
			endWaiting := waits + near
			if waits > left.Seconds() {
				waits = left.Seconds()
				endWaiting = waits + near*d.cfg.Factor // away after all
			}
			gain += room * (near*d.cfg.Factor - (endWaiting - waits) - idle*waits)
			endWaiting = max(others, endWaiting)
			gain += timeWeight*(endAway-endWaiting)/length + p.value(endWaiting, scale) - p.value(endAway, scale)
		}
	}
	return gain / float64(len(errorQuantiles)*len(quantiles))
}
