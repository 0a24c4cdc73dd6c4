package estimator

import (
	"time"

	"golang.org/x/sys/unix"
)

// NewBoottimeClock returns a clock that starts at the wall time and, unlike
// the monotonic clock, also counts the time in which the instance is
// suspended. Without a boot-time clock it falls back to NewMonotonicClock.
func NewBoottimeClock() func() time.Time {
	start := time.Now().Round(0)
	startUptime, err := timeSinceBoot()
	if err != nil {
		return NewMonotonicClock()
	}
	return func() time.Time {
		uptime, err := timeSinceBoot()
		if err != nil { // cannot happen after the first call has succeeded
			return start
		}
		return start.Add(uptime - startUptime)
	}
}

func timeSinceBoot() (time.Duration, error) {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0, err
	}
	return time.Duration(ts.Nano()), nil
}
