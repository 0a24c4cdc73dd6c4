package estimator

import (
	"time"

	"golang.org/x/sys/unix"
)

// NewBoottimeClock returns a clock that starts at the wall time and counts all time since,
// also that in which the instance was suspended; the monotonic clock does not.
func NewBoottimeClock() func() time.Time {
	start := time.Now().Round(0)
	base, err := sinceBoot()
	if err != nil {
		return NewMonotonicClock()
	}
	return func() time.Time {
		at, err := sinceBoot()
		if err != nil { // it worked before, so it does not fail
			return start
		}
		return start.Add(at - base)
	}
}

func sinceBoot() (time.Duration, error) {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0, err
	}
	return time.Duration(ts.Nano()), nil
}
