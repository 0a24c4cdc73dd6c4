package decisions

import (
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/endivefall/endivefall/rehearser"
)

// Load pattern: 240 workers of which serving tasks of 16 images reserve nine tenths, and
// best-effort jobs of 30 images, half of whose pairs interfere strongly. The users' aim is
// a mean worth of 0.69; before best-effort tasks went where they interfere least, and
// serving tasks of one image together, they earned 0.688.
func TestBestEffortJobsAreServedOnAFullFleet(t *testing.T) {
	const aim, seeds = 0.69, 3
	c := qt.New(t)
	p, err := rehearser.Read("../examples/loads/full-fleet.yaml")
	c.Assert(err, qt.IsNil)
	reports := make([]*rehearser.Report, seeds)
	var wg sync.WaitGroup
	for n := range reports {
		wg.Go(func() { reports[n] = rehearser.New(p, uint64(n+1), rehearser.Policies["built"]).Run() })
	}
	wg.Wait()
	for class := range reports[0].Classes {
		owed, earned := 0.0, 0.0
		for _, r := range reports {
			owed, earned = owed+r.Classes[class].Owed, earned+r.Classes[class].Earned
		}
		t.Logf("%s earn %.3f", class, earned/owed)
		c.Check(earned/owed >= aim, qt.IsTrue, qt.Commentf("%s earn %.3f", class, earned/owed))
	}
}
