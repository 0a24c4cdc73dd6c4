package orchestrator

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/endivefall/endivefall/sequencer"
)

// A mark was void, and the agent that it names counted as granted once the job was marked again. A start
// went out before the ledger had the new mark.
func TestAVoidGrantSendsNoStartBeforeTheNextMarkIsDurable(t *testing.T) {
	c := qt.New(t)
	h, j := grantedTakeOver(c, &sequencer.Progress{State: sequencer.Queued, GrantTerm: 1, Tasks: []sequencer.TaskRecord{{Agent: "a0"}}}, 2)
	h.o.agents["gone"].hasUnknownRuns = false
	h.o.adoptGrants()
	c.Assert(j.GrantTerm, qt.Equals, uint64(5))
	h.o.place()
	c.Check(h.starts(), qt.Equals, 0)
}
