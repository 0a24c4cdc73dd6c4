package estimator

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// A clock that is 2% slow shows a lease of 5.8 s over no later than is counted.
func TestSlowClocksAreCoveredOnBothSides(t *testing.T) {
	c := qt.New(t)
	lease := 5800 * time.Millisecond
	takes := time.Duration(float64(lease) / 0.98)
	c.Assert(MaxLocalElapsed(lease) >= takes, qt.IsTrue)
	c.Assert(MinWorkerElapsed(takes) <= lease, qt.IsTrue)
}
