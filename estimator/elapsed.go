package estimator

import "time"

// slowClock is how much slower than ours a worker's clock may run, in parts of
// 1,000: platforms state 2%, rounded up.
const slowClock = 21

// MaxLocalElapsed returns how long a time on a worker's clock may take on ours.
func MaxLocalElapsed(d time.Duration) time.Duration { return d * (1000 + slowClock) / 1000 }

// MinWorkerElapsed returns how far a worker's clock has surely moved in a time on ours.
func MinWorkerElapsed(d time.Duration) time.Duration { return d * (1000 - slowClock) / 1000 }
