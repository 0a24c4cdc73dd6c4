package rehearser

import (
	"path/filepath"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"
)

// localityLoads are the loads in which waits for racks are compared.
var localityLoads = []string{"hot-rack.yaml", "full-racks.yaml", "wrong-estimates.yaml", "hot-rack-burst.yaml", "uneven-racks.yaml"}

// earnedBy returns the part of the worth of all jobs of a load that a policy earns, over several seeds.
func earnedBy(c *qt.C, file, policy string, seeds int) float64 {
	p, err := Read(filepath.Join("..", "examples", "loads", file))
	c.Assert(err, qt.IsNil)
	reports := make([]*Report, seeds)
	var wg sync.WaitGroup
	for n := range reports {
		wg.Go(func() { reports[n] = New(p, uint64(n+1), Policies[policy]).Run() })
	}
	wg.Wait()
	owed, earned := 0.0, 0.0
	for _, r := range reports {
		for _, class := range r.Classes {
			owed, earned = owed+class.Owed, earned+class.Earned
		}
	}
	return earned / owed
}

// A fixed delay serves callers badly where racks stay full, and no delay where places come free soon. The
// decision must be no worse than the better of both in each load, and better over all of them.
func TestWaitsForRacksAreWorthMoreThanFixedOnes(t *testing.T) {
	const seeds = 6
	sums := map[string]float64{}
	for _, load := range localityLoads {
		t.Run(load, func(t *testing.T) {
			c := qt.New(t)
			earned := map[string]float64{}
			for _, policy := range []string{"built", "never", "always"} {
				earned[policy] = earnedBy(c, load, policy, seeds)
				sums[policy] += earned[policy]
			}
			t.Logf("built %.4f, never %.4f, always %.4f", earned["built"], earned["never"], earned["always"])
			c.Check(earned["built"] >= max(earned["never"], earned["always"]), qt.IsTrue)
		})
	}
	c := qt.New(t)
	t.Logf("over the mix: built %.4f, never %.4f, always %.4f", sums["built"]/5, sums["never"]/5, sums["always"]/5)
	c.Check(sums["built"] > max(sums["never"], sums["always"]), qt.IsTrue)
}

// Patterns without racks must be decided as before.
func TestPatternsWithoutRacksDontKnowTheFactor(t *testing.T) {
	c := qt.New(t)
	p, err := Read("../examples/loads/small.yaml")
	c.Assert(err, qt.IsNil)
	r := New(p, 1, Policies["built"])
	c.Check(r.delayer, qt.IsNil)
}
