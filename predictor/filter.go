package predictor

// filter is a linear estimate of several values that are not seen one by one: a
// Kalman filter whose readings are single numbers. The covariances tell what an
// error of one value means for the others.
type filter struct {
	mean []float64
	cov  [][]float64 // symmetric
}

// add appends a value with its variance and returns its index.
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

// drop removes a value; the ones after it move up by one.
func (f *filter) drop(n int) {
	f.mean = append(f.mean[:n], f.mean[n+1:]...)
	f.cov = append(f.cov[:n], f.cov[n+1:]...)
	for i := range f.cov {
		f.cov[i] = append(f.cov[i][:n], f.cov[i][n+1:]...)
	}
}

// reset forgets what is known of a value.
func (f *filter) reset(n int, mean, variance float64) {
	f.mean[n] = mean
	for i := range f.cov {
		f.cov[i][n], f.cov[n][i] = 0, 0
	}
	f.cov[n][n] = variance
}

// fade moves a value towards one that it returns to, and its variance towards
// the one that it has then: keep is the part that stays.
func (f *filter) fade(n int, keep, mean, variance float64) {
	f.mean[n] = mean + keep*(f.mean[n]-mean)
	for i := range f.cov {
		f.cov[i][n] *= keep
		f.cov[n][i] *= keep
	}
	f.cov[n][n] += (1 - keep*keep) * variance
}

// move lets a value grow by its rate for a time; the rate itself fades, and
// drifts by drift in a unit of time.
func (f *filter) move(value, rate int, passed, keep, drift float64) {
	f.mean[value] += passed * f.mean[rate]
	f.mean[rate] *= keep
	for i := range f.cov {
		f.cov[value][i] += passed * f.cov[rate][i]
		f.cov[rate][i] *= keep
	}
	for i := range f.cov {
		f.cov[i][value] += passed * f.cov[i][rate]
		f.cov[i][rate] *= keep
	}
	f.cov[rate][rate] += drift * passed
	f.cov[value][value] += drift * passed * passed * passed / 3
	f.cov[value][rate] += drift * passed * passed / 2
	f.cov[rate][value] = f.cov[value][rate]
}

// term is a value's part in a reading.
type term struct {
	value  int
	weight float64
}

// expect returns what a reading should show, and its variance.
func (f *filter) expect(terms []term) (mean, variance float64) {
	for _, a := range terms {
		mean += a.weight * f.mean[a.value]
		for _, b := range terms {
			variance += a.weight * b.weight * f.cov[a.value][b.value]
		}
	}
	return mean, variance
}

// surprise is how many standard errors a reading may miss by; what misses by more
// counts as if it were as noisy as that.
const surprise = 3.0

// take corrects all values by a reading with a variance of its own.
func (f *filter) take(terms []term, reading, noise float64) {
	mean, variance := f.expect(terms)
	variance += noise
	miss := reading - mean
	variance = max(variance, square(miss/surprise))
	along := make([]float64, len(f.mean))
	for i := range along {
		for _, t := range terms {
			along[i] += t.weight * f.cov[i][t.value]
		}
	}
	for i, a := range along {
		f.mean[i] += a / variance * miss
		for j, b := range along {
			f.cov[i][j] -= a * b / variance
		}
	}
}
