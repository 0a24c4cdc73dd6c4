package estimator

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestSlowClocksAreCoveredOnBothSides checks that a lease of 5.8 s on a clock
// that is 2% slow lies within both limits.
func TestSlowClocksAreCoveredOnBothSides(t *testing.T) {
	c := qt.New(t)
	lease := 5800 * time.Millisecond
	elapsed := time.Duration(float64(lease) / 0.98)
	c.Assert(MaxLocalElapsed(lease) >= elapsed, qt.IsTrue)
	c.Assert(MinWorkerElapsed(elapsed) <= lease, qt.IsTrue)
}
