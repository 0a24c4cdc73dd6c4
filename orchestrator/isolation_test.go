package orchestrator

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// givesUpAfter returns how long after its claim an owner gives up, given the number of
// reachable agents of 18 at each time since the claim; zero if it does not within 30 s.
func givesUpAfter(reachable func(time.Duration) int) time.Duration {
	start := time.Unix(1000, 0)
	i := isolation{firstContactBy: start.Add(firstContactTimeout)}
	for d := time.Duration(0); d < 30*time.Second; d += tickInterval {
		if i.giveUp(start.Add(d), reachable(d), 18) {
			return d
		}
	}
	return 0
}

// After power had returned, each of seven owners in turn gave up 3.3 s after its claim,
// before the agents had left the one before, so that no work was started for 26 s.
func TestAnOwnerThatAgentsAreStillFindingDoesNotGiveUp(t *testing.T) {
	c := qt.New(t)
	c.Check(givesUpAfter(func(d time.Duration) int {
		if d < 5*time.Second {
			return 0
		}
		return 18
	}), qt.Equals, time.Duration(0))
	c.Check(givesUpAfter(func(d time.Duration) int { return int(d / (1500 * time.Millisecond)) }), qt.Equals, time.Duration(0), qt.Commentf("one more agent each 1.5 s"))
}

func TestAnOwnerWithoutAgentsGivesUp(t *testing.T) {
	c := qt.New(t)
	never := givesUpAfter(func(time.Duration) int { return 0 })
	c.Check(never > firstContactTimeout && never < firstContactTimeout+2*isolationTimeout, qt.IsTrue, qt.Commentf("after %v", never))
	lost := givesUpAfter(func(d time.Duration) int {
		if d < 10*time.Second {
			return 18
		}
		return 2
	})
	c.Check(lost > 10*time.Second && lost < 10*time.Second+2*isolationTimeout, qt.IsTrue, qt.Commentf("after %v", lost))
}
