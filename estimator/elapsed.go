package estimator

import "time"

// maxSlowdownPerMille is how much slower than the local clock a worker's
// clock may run, in thousandths. Platforms specify 2%; a clock that slow takes
// 1/0.98 = 1.0204 times as long, which is rounded up.
const maxSlowdownPerMille = 21

// MaxLocalElapsed returns the longest time on the local clock in which a
// worker's clock advances by d.
func MaxLocalElapsed(d time.Duration) time.Duration { return d * (1000 + maxSlowdownPerMille) / 1000 }

// MinWorkerElapsed returns the least by which a worker's clock advances in
// the local time d.
func MinWorkerElapsed(d time.Duration) time.Duration { return d * (1000 - maxSlowdownPerMille) / 1000 }
