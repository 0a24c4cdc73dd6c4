package delayer

import (
	"math"
	"time"

	"github.com/endivefall/endivefall/sequencer"
)

// Parameters of errors.
const (
	// initialSigma is the standard deviation of the logarithm of an estimate's error before any run has
	// ended: submitters' estimates are off by a factor of 2.5 either way.
	initialSigma = 0.9
	// priorRuns is the number of runs for which the assumption counts that estimates are right but for
	// that error, and priorVariance how much their estimates differ.
	priorRuns, priorVariance = 20.0, 0.3
	// maxRuns is the number of runs that are remembered, so that new work is noticed.
	maxRuns = 400.0
	// minSigma, maxSigma and maxBias bound what is learnt; the bias up to a factor of 4.
	minSigma, maxSigma, maxBias = 0.2, 1.5, 1.4
	// minRunTime is the lower bound of both times, so that short ones have little effect.
	minRunTime = 50 * time.Millisecond
	// defaultEstimate is assumed for steps without an estimate.
	defaultEstimate = time.Second
	// minSurvival is the probability below which the distribution says nothing about a run that
	// has outlived its estimate by far.
	minSurvival = 1e-6
)

// errors says how long tasks of a kind take, given their estimates: a regression of the logarithms,
// as learnt from the runs that have ended. Where estimates are off by more than run times differ, a
// high estimate says little.
type errors struct {
	runs float64 // their number, up to maxRuns
	// Means over these runs of the logarithms of estimate and run time in seconds, their variances and
	// covariance.
	estimate, took, estimateVar, tookVar, covariance float64
}

// learn learns from a run that was not slowed.
func (e *errors) learn(estimate, took time.Duration) {
	x, y := logSeconds(estimate), logSeconds(took)
	e.runs = min(e.runs+1, maxRuns)
	weight := 1 / e.runs
	dx, dy := x-e.estimate, y-e.took
	e.estimate += weight * dx
	e.took += weight * dy
	e.estimateVar += weight * ((1-weight)*dx*dx - e.estimateVar)
	e.tookVar += weight * ((1-weight)*dy*dy - e.tookVar)
	e.covariance += weight * ((1-weight)*dx*dy - e.covariance)
}

// slope returns by how much the logarithm of the run time grows with that of the estimate.
func (e *errors) slope() float64 {
	return min(max((e.runs*e.covariance+priorRuns*priorVariance)/(e.runs*e.estimateVar+priorRuns*priorVariance), 0), 1)
}

// expected returns the median of the run times with an estimate.
func (e *errors) expected(estimate time.Duration) time.Duration {
	x := logSeconds(estimate)
	bias := min(max(e.runs/(e.runs+priorRuns)*(e.took-e.estimate), -maxBias), maxBias)
	if e.runs == 0 {
		return estimate
	}
	return time.Duration(math.Exp(e.estimate+bias+e.slope()*(x-e.estimate)) * float64(time.Second))
}

// sigma returns the standard deviation of the logarithm of the run times with an estimate.
func (e *errors) sigma() float64 {
	slope := e.slope()
	residual := max(e.tookVar-2*slope*e.covariance+slope*slope*e.estimateVar, 0)
	variance := (e.runs*residual + priorRuns*initialSigma*initialSigma) / (e.runs + priorRuns)
	return min(max(math.Sqrt(variance), minSigma), maxSigma)
}

func logSeconds(d time.Duration) float64 { return math.Log(max(d, minRunTime).Seconds()) }

// Learn learns how long a run of a step took that was not slowed. Steps without an estimate tell nothing.
func (d *Delayer) Learn(step *sequencer.Step, took time.Duration) {
	if step.Estimate > 0 {
		d.errorsOf(step).learn(step.Estimate, took)
	}
}

// errorsOf returns the errors of the kind of a step: best-effort work and other work differ.
func (d *Delayer) errorsOf(step *sequencer.Step) *errors {
	if step.BestEffort {
		return &d.bestEffort
	}
	return &d.reserved
}

// expected returns the expected time of a run of a step near its data.
func (d *Delayer) expected(step *sequencer.Step) time.Duration {
	if step.Estimate <= 0 {
		return defaultEstimate
	}
	return d.errorsOf(step).expected(step.Estimate)
}

// endsWithin returns the probability that a run with an expected time that has been at work for
// some time ends within another time.
func endsWithin(sigma float64, expected, elapsed, within time.Duration) float64 {
	survival := func(t time.Duration) float64 {
		if t <= 0 {
			return 1
		}
		return math.Erfc(math.Log(t.Seconds()/expected.Seconds())/(sigma*math.Sqrt2)) / 2
	}
	if until := survival(elapsed); until > minSurvival {
		return 1 - survival(elapsed+within)/until
	}
	return float64(within) / float64(elapsed+within) // as long again as it has been at work
}
