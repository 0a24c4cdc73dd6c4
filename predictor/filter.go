package predictor

// filter is a Kalman filter with scalar readings: it estimates several state
// variables of which only weighted sums can be observed.
type filter struct {
	mean []float64
	// cov is the symmetric covariance matrix: it relates an error of one variable to
	// the errors of the others.
	cov [][]float64
}

// add appends a state variable and returns its index.
func (f *filter) add(mean, variance float64) int {
	n := len(f.mean)
	f.mean = append(f.mean, mean)
	for i := range f.cov {
		f.cov[i] = append(f.cov[i], 0)
	}
	f.cov = append(f.cov, make([]float64, n+1))
	f.cov[n][n] = variance
	return n
}

// remove deletes a state variable; the indexes of the later ones go down by one.
func (f *filter) remove(n int) {
	f.mean = append(f.mean[:n], f.mean[n+1:]...)
	f.cov = append(f.cov[:n], f.cov[n+1:]...)
	for i := range f.cov {
		f.cov[i] = append(f.cov[i][:n], f.cov[i][n+1:]...)
	}
}

// reset sets a state variable to a mean and a variance, uncorrelated with the others.
func (f *filter) reset(n int, mean, variance float64) {
	f.mean[n] = mean
	for i := range f.cov {
		f.cov[i][n], f.cov[n][i] = 0, 0
	}
	f.cov[n][n] = variance
}

// revert moves a state variable towards its long-term mean and variance; keep is the
// fraction of its deviation that remains.
func (f *filter) revert(n int, keep, mean, variance float64) {
	f.mean[n] = mean + keep*(f.mean[n]-mean)
	for i := range f.cov {
		f.cov[i][n] *= keep
		f.cov[n][i] *= keep
	}
	f.cov[n][n] += (1 - keep*keep) * variance
}

// integrate advances a state variable by its rate of change over the elapsed time.
// keep is the fraction of the rate that remains, drift the variance that the rate
// gains per unit of time.
func (f *filter) integrate(state, rate int, elapsed, keep, drift float64) {
	f.mean[state] += elapsed * f.mean[rate]
	f.mean[rate] *= keep
	for i := range f.cov {
		f.cov[state][i] += elapsed * f.cov[rate][i]
		f.cov[rate][i] *= keep
	}
	for i := range f.cov {
		f.cov[i][state] += elapsed * f.cov[i][rate]
		f.cov[i][rate] *= keep
	}
	f.cov[rate][rate] += drift * elapsed
	f.cov[state][state] += drift * elapsed * elapsed * elapsed / 3
	f.cov[state][rate] += drift * elapsed * elapsed / 2
	f.cov[rate][state] = f.cov[state][rate]
}

// term is the contribution of a state variable to a reading.
type term struct {
	state  int
	weight float64
}

// predictReading returns the expected value of a reading and its variance.
func (f *filter) predictReading(terms []term) (mean, variance float64) {
	for _, t := range terms {
		mean += t.weight * f.mean[t.state]
		for _, u := range terms {
			variance += t.weight * u.weight * f.cov[t.state][u.state]
		}
	}
	return mean, variance
}

// maxResidualStdDevs is the number of standard deviations by which a reading may
// differ from its expected value. A reading that differs by more is treated as so
// noisy that it is just within them.
const maxResidualStdDevs = 3.0

// update corrects the state by a reading.
func (f *filter) update(terms []term, reading, noiseVariance float64) {
	mean, variance := f.predictReading(terms)
	variance += noiseVariance
	residual := reading - mean
	variance = max(variance, square(residual/maxResidualStdDevs))
	crossCov := make([]float64, len(f.mean))
	for i := range crossCov {
		for _, t := range terms {
			crossCov[i] += t.weight * f.cov[i][t.state]
		}
	}
	for i, a := range crossCov {
		f.mean[i] += a / variance * residual
		for j, b := range crossCov {
			f.cov[i][j] -= a * b / variance
		}
	}
}
