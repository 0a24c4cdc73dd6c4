package delayer

import (
	"math"
	"time"
)

// Errors is the distribution of the logarithm of the ratio of the actual run time to the
// estimate, as learnt from the runs that have ended.
type Errors struct {
	mean, variance float64
}

// Parameters of Errors.
const (
	// initialSigma is the standard deviation before any run has ended: submitters' estimates are
	// off by a factor of 2.5 either way.
	initialSigma = 0.9
	// errorWeight is the weight of the newest run: some tens of runs are needed to notice that estimates
	// are off in one direction.
	errorWeight = 0.03
	// minSigma, maxSigma and maxMean bound what is learnt; the mean up to a factor of 4.
	minSigma, maxSigma, maxMean = 0.3, 1.5, 1.4
	// minRunTime is the lower bound of both times, so that short ones have little effect.
	minRunTime = 50 * time.Millisecond
	// defaultEstimate is assumed for steps without an estimate.
	defaultEstimate = time.Second
)

func newErrors() Errors { return Errors{variance: initialSigma * initialSigma} }

// Learn learns from a run that was not slowed. Steps without an estimate tell nothing.
func (e *Errors) Learn(estimate, took time.Duration) {
	if estimate <= 0 {
		return
	}
	deviation := math.Log(max(took, minRunTime).Seconds()/max(estimate, minRunTime).Seconds()) - e.mean
	e.mean = min(max(e.mean+errorWeight*deviation, -maxMean), maxMean)
	e.variance += errorWeight * (deviation*deviation - e.variance)
	e.variance = min(max(e.variance, minSigma*minSigma), maxSigma*maxSigma)
}

// Expected returns the expected time of a run near its data.
func (e *Errors) Expected(estimate time.Duration) time.Duration {
	if estimate <= 0 {
		return defaultEstimate
	}
	return time.Duration(math.Exp(e.mean) * float64(estimate))
}

// endsWithin returns the probability that a run with an expected time that has been at work for
// some time ends within another time.
func (e *Errors) endsWithin(expected, elapsed, within time.Duration) float64 {
	survival := func(t time.Duration) float64 {
		if t <= 0 {
			return 1
		}
		return math.Erfc(math.Log(t.Seconds()/expected.Seconds())/math.Sqrt(2*e.variance)) / 2
	}
	if until := survival(elapsed); until > minSurvival {
		return 1 - survival(elapsed+within)/until
	}
	return float64(within) / float64(elapsed+within) // as long again as it has been at work
}

// minSurvival is the probability below which the distribution says nothing about a run that
// has outlived its estimate by far.
const minSurvival = 1e-6
