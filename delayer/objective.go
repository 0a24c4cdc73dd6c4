package delayer

import (
	"math"
	"time"
)

// Values of a job as a part of its full value, and the multiple of its objective up to which it has
// the lower one.
const (
	lateValue  = 0.15
	lateFactor = 3.0
	// errorShare and errorTime are the standard deviation of the end of a job: a share of its
	// step's run time, and a part that does not depend on it.
	errorShare, errorTime = 0.2, 0.1
)

// objective is what is left of a job's objective, in seconds from now, once the step and the
// ones after it are taken off.
type objective struct {
	// length is the objective, 0 if the job has none. left and lateLeft are the times by which the step must
	// have ended for the full and for the lower value.
	length, left, lateLeft float64
}

// objective returns what is left to the step of a request of its job's objective.
func (d *Delayer) objective(r Request) objective {
	j, occurrence := r.Task.Job, r.Task.Occurrence
	spec := j.Spec
	if spec.StretchFactor <= 0 {
		return objective{}
	}
	begin := spec.AcceptedAt
	if spec.Repeat > 0 {
		begin = j.Due(occurrence)
	}
	total, later := time.Duration(0), time.Duration(0)
	for n := range spec.Steps {
		run := d.errors.Expected(spec.Steps[n].Estimate)
		total += run
		if n > r.Task.Step && !j.StepDone(occurrence, n) {
			later += run
		}
	}
	length := spec.StretchFactor*total.Seconds() + spec.LatencyAllowance.Seconds()
	elapsed := r.Wall.Sub(begin).Seconds() + later.Seconds()
	return objective{length: length, left: length - elapsed, lateLeft: lateFactor*length - elapsed}
}

// value returns the expected part of a job's value if its step, whose run takes some time, ends in some
// time, both in seconds.
func (o objective) value(end, run float64) float64 {
	if o.length == 0 {
		return 0
	}
	sigma := errorShare*run + errorTime
	within := func(left float64) float64 { return math.Erfc((end-left)/sigma/math.Sqrt2) / 2 }
	return (1-lateValue)*within(o.left) + lateValue*within(o.lateLeft)
}
