package coordinator_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivefall/endivefall/advancer"
)

// The owner is cut off with most agents. It took the leases of the others for expired, as
// nobody renewed them there, and started their tasks again, which ran on under the next owner.
func TestAnOwnerThatIsCutOffWithMostAgentsStartsNoTaskOfTheOthers(t *testing.T) {
	inLastingFleet(t, func(c *qt.C, f *fleet) {
		owner := f.owners()[0]
		busy, _ := f.agentsByLoad()
		inside := map[string]bool{owner.name: true}
		for name := range f.agents {
			if name != busy.name && len(inside) < 4 {
				inside[name] = true
			}
		}
		f.cutOffGroup(inside)
		advancer.Sleep(9 * time.Second)
		c.Check(f.owners(owner), qt.HasLen, 1)
	})
}

// cutOffGroup cuts some processes off from all others and from the store. They reach each
// other.
func (f *fleet) cutOffGroup(inside map[string]bool) {
	f.setFaults(func() {
		for name := range inside {
			f.rejected[name] = true
		}
	})
	for name := range f.entries {
		for other := range f.entries {
			if inside[name] != inside[other] {
				f.network.SetPartition(name, other, true, true)
			}
		}
		for _, a := range f.agents {
			if inside[name] != inside[a.name] {
				f.network.SetPartition(name, a.name, true, true)
			}
		}
	}
}
