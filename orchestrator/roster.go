package orchestrator

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"github.com/endivefall/endivefall/meter"
	"github.com/endivefall/endivefall/storer"
)

// rosterKey is the key of the roster of the last owner that wrote one.
const rosterKey = "ef/roster"

// rosterInterval is how long agents that connect are collected before the roster is written.
const rosterInterval = 100 * time.Millisecond

// roster has the agents that an owner has reached. It renews the leases of no others, but for
// a moment after its claim, so that the wait for an agent that it never reached goes on
// under the next owner and does not start anew.
type roster struct {
	Term   uint64   `cbor:"1,keyasint"`
	Agents []string `cbor:"2,keyasint,omitempty"`
}

func (r roster) encode() []byte {
	raw, err := cbor.Marshal(r)
	if err != nil {
		panic(err) // numbers and strings always encode
	}
	return raw
}

// decodeRoster reads the roster, which is empty if there is none or it can't be decoded.
func decodeRoster(item storer.Item) (roster, error) {
	r := roster{}
	if item.Version == 0 {
		return r, nil
	}
	if err := cbor.Unmarshal(item.Value, &r); err != nil {
		return roster{}, err
	}
	return r, nil
}

// loadRoster bounds the wait for agents that the last owner never reached. Without a roster
// of that owner, it reached none.
func (o *Orchestrator) loadRoster(item storer.Item) {
	o.rosterVersion = item.Version
	r, err := decodeRoster(item)
	o.boundEndedRenewals()
	if o.cfg.UnrosteredUntil.IsZero() {
		return
	}
	if err != nil {
		o.cfg.Log.Warn("roster can't be decoded; waiting for all agents", zap.Error(err))
		o.cfg.Count(meter.UnreadableRosters)
		return
	}
	if r.Term >= o.cfg.Term {
		o.stopReason = ErrOwnershipLost
		return
	}
	reached := map[string]bool{}
	if r.Term == o.cfg.Term-1 {
		for _, id := range r.Agents {
			reached[id] = true
		}
	}
	unreached := 0
	expiresAt := o.cfg.UnrosteredUntil.Add(o.maxLeaseElapsed())
	for id, a := range o.agents {
		if a.hasUnknownRuns && !reached[id] && expiresAt.Before(a.leaseExpiresAt) {
			a.leaseExpiresAt = expiresAt
			unreached++
		}
	}
	o.cfg.Log.Info("roster loaded", zap.Uint64("term", r.Term), zap.Int("reached", len(reached)), zap.Int("unreached", unreached), zap.Duration("lease", expiresAt.Sub(o.cfg.Now())))
}

// addToRoster makes an agent that is connected part of the next roster.
func (o *Orchestrator) addToRoster(a *agent) {
	a.reached = true
	if !a.inRoster && o.rosterDueAt.IsZero() {
		o.rosterDueAt = o.cfg.Now().Add(rosterInterval)
	}
}

// rosterDue reports whether the roster is to be written now.
func (o *Orchestrator) rosterDue() bool {
	return !o.rosterDueAt.IsZero() && !o.cfg.Now().Before(o.rosterDueAt)
}

// nextRoster returns the agents of the next roster: those that this owner has reached and that
// are still registered.
func (o *Orchestrator) nextRoster() (agents []*agent, value []byte) {
	r := roster{Term: o.cfg.Term}
	for id, a := range o.agents {
		if a.reached {
			agents, r.Agents = append(agents, a), append(r.Agents, id)
		}
	}
	return agents, r.encode()
}

// rosterAllows reports whether the lease of an agent may be renewed as far as the roster goes. An
// entry may extend a confirmation for any agent that is reached meanwhile.
func (o *Orchestrator) rosterAllows(a *agent) bool {
	return a.inRoster || o.cfg.Now().Before(o.cfg.RosterFrom) || o.cfg.ExtendedForAnyAgent()
}

// handleRosterWritten processes that agents are in the roster.
func (o *Orchestrator) handleRosterWritten(b *batch, version uint64) {
	if !b.hasRoster {
		return
	}
	o.rosterVersion = version
	for _, a := range b.rosterAgents {
		waited := !o.rosterAllows(a)
		a.inRoster = true
		if waited && a.snapshot != nil {
			o.ackSnapshot(a)
		}
	}
}
