package decisions

import (
	"path/filepath"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/endivefall/endivefall/rehearser"
)

// localityLoads are the loads in which waits for racks are compared.
var localityLoads = []string{"hot-rack", "full-racks", "wrong-estimates", "hot-rack-burst", "uneven-racks"}

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
	c := qt.New(t)
	sums := map[string]float64{}
	earned := map[string]map[string]float64{}
	for _, load := range localityLoads {
		earned[load] = map[string]float64{}
		for _, policy := range []string{"built", "never", "always"} {
			earned[load][policy] = earnedBy(c, load+".yaml", policy)
			sums[policy] += earned[load][policy]
		}
	}
	for _, load := range localityLoads {
		t.Run(load, func(t *testing.T) {
			c, e := qt.New(t), earned[load]
			t.Logf("built %.4f, never %.4f, always %.4f", e["built"], e["never"], e["always"])
			c.Check(e["built"] >= max(e["never"], e["always"]), qt.IsTrue)
		})
	}
	t.Run("mix", func(t *testing.T) {
		c := qt.New(t)
		loads := float64(len(localityLoads))
		t.Logf("built %.4f, never %.4f, always %.4f", sums["built"]/loads, sums["never"]/loads, sums["always"]/loads)
		c.Check(sums["built"] > max(sums["never"], sums["always"]), qt.IsTrue)
	})
}
