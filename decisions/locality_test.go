package decisions

import (
	"path/filepath"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/endivefall/endivefall/rehearser"
)

// localityLoads are the loads in which waits for racks are compared.
var localityLoads = []string{"hot-rack.yaml", "full-racks.yaml", "wrong-estimates.yaml", "hot-rack-burst.yaml", "uneven-racks.yaml"}

// localitySeeds is the number of seeds of each load: the policies differ by less than one seed from another.
const localitySeeds = 8

// earnedBy returns the part of the worth of a load's jobs that a policy earns.
func earnedBy(c *qt.C, file, policy string) float64 {
	p, err := rehearser.Read(filepath.Join("..", "examples", "loads", file))
	c.Assert(err, qt.IsNil)
	reports := make([]*rehearser.Report, localitySeeds)
	var wg sync.WaitGroup
	for n := range reports {
		wg.Go(func() { reports[n] = rehearser.New(p, uint64(n+1), rehearser.Policies[policy]).Run() })
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
	sums := map[string]float64{}
	for _, load := range localityLoads {
		t.Run(load, func(t *testing.T) {
			c := qt.New(t)
			earned := map[string]float64{}
			for _, policy := range []string{"built", "never", "always"} {
				earned[policy] = earnedBy(c, load, policy)
				sums[policy] += earned[policy]
			}
			t.Logf("built %.4f, never %.4f, always %.4f", earned["built"], earned["never"], earned["always"])
			c.Check(earned["built"] >= max(earned["never"], earned["always"]), qt.IsTrue)
		})
	}
	t.Run("mix", func(t *testing.T) {
		c := qt.New(t)
		loads := float64(len(localityLoads))
		t.Logf("built %.4f, never %.4f, always %.4f", sums["built"]/loads, sums["never"]/loads, sums["always"]/loads)
		c.Check(sums["built"] > max(sums["never"], sums["always"]), qt.IsTrue)
	})
}
