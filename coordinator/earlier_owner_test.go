package coordinator_test

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivefall/endivefall/advancer"
)

// The owner is cut off from the other entries and one agent, with most agents on its side, on a
// confirmation that the others have extended. The agent finds the next owner and gets leases
// there, while the earlier owner judges that its lease is over and starts its tasks again.
func TestAnEarlierOwnerDoesNotOutwaitTheLeaseOfAnAgentThatHasALaterOwner(t *testing.T) {
	for _, before := range []time.Duration{0, time.Second, 1500 * time.Millisecond, 2500 * time.Millisecond, 4 * time.Second} {
		t.Run(before.String(), func(t *testing.T) {
			inLastingFleet(t, func(c *qt.C, f *fleet) {
				busy, _ := f.agentsByLoad()
				earlier := f.owners()[0]
				if before > 0 {
					f.setFaults(func() { f.storeDown = true })
					advancer.Sleep(before)
				}
				near := []string{earlier.name}
				for name, a := range f.agents {
					if a != busy {
						near = append(near, name)
					}
				}
				far := []string{busy.name}
				for name := range f.entries {
					if name != earlier.name {
						far = append(far, name)
					}
				}
				slices.Sort(near)
				for _, a := range near {
					for _, b := range far {
						f.network.SetPartition(a, b, true, true)
					}
				}
				f.setFaults(func() {
					f.storeDown = false
					for _, name := range near {
						f.rejected[name] = true
					}
				})
				advancer.Sleep(14 * time.Second)
				c.Check(f.owners(earlier), qt.HasLen, 1)
				for _, a := range near {
					for _, b := range far {
						f.network.SetPartition(a, b, false, false)
					}
				}
			})
		})
	}
}
