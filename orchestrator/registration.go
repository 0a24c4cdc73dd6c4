package orchestrator

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"github.com/endivefall/endivefall/messenger"
)

// registrationCloseDelay is how long an agent may be out of touch before the ledger is told
// what it holds: most return within that time.
const registrationCloseDelay = 250 * time.Millisecond

// registration is what the ledger says of an agent that may hold work. A later
// owner that does not hear it waits with the tasks that it may run.
type registration struct {
	// Open says that it may run any task.
	Open bool `cbor:"1,keyasint,omitempty"`
	// HeldTasks has the tasks that it may run where it is not open.
	HeldTasks []string `cbor:"2,keyasint,omitempty"`
}

func (r registration) encode() []byte {
	raw, err := cbor.Marshal(r)
	if err != nil {
		panic(err) // a bool and strings always encode
	}
	return raw
}

// loadRegistration takes what the ledger says of an agent. What can't be read may be
// anything.
func (o *Orchestrator) loadRegistration(a *agent, version uint64, value []byte) {
	r := registration{}
	if err := cbor.Unmarshal(value, &r); err != nil {
		o.cfg.Log.Warn("registration can't be read; the agent counts as open", zap.String("agent", a.id), zap.Error(err))
		r = registration{Open: true}
	}
	a.keyVersion, a.mayRunAny, a.recordedTasks = version, r.Open, r.HeldTasks
}

// updateRegistration has the ledger name an agent that is heard while it may hold work. One
// that drains takes no starts, so what it holds is known; once it has nothing
// left, no later owner need wait for it.
func (o *Orchestrator) updateRegistration(a *agent, snapshot *messenger.WorkerSnapshot) {
	draining := snapshot.Draining && snapshot.Reconciled
	switch {
	case a.writing || a.hasUnknownRuns: // what it holds is as the ledger says until it is surveyed
	case draining && len(snapshot.Runs) == 0 && len(snapshot.RunEnds) == 0 && a.idle():
		a.closePending, a.removalPending = false, a.keyVersion != 0
	case draining:
		a.closePending = a.closePending || a.mayRunAny
		a.mayRunAny = false
	case a.closePending: // the ledger does not say so yet
		a.closePending, a.mayRunAny = false, true
	default:
		a.openPending = !a.mayRunAny
	}
}

// idle says whether nothing may be running there, and no end is on its way to
// the ledger.
func (a *agent) idle() bool { return len(a.runs) == 0 && len(a.pendingEnds) == 0 }

// closeRegistration has the ledger say what an agent holds that is out of touch.
func (o *Orchestrator) closeRegistration(a *agent, now time.Time) {
	silence := now.Sub(a.lastSnapshotAt)
	unreachable := a.link == nil && silence > registrationCloseDelay || silence > isolationTimeout/2
	if !unreachable || !a.mayRunAny || a.writing || a.openPending || !a.reconciled || a.hasUnknownRuns || !o.loaded {
		return
	}
	a.mayRunAny = false // no order goes there until the ledger says again that it may
	if a.idle() {
		a.removalPending = true
	} else {
		a.closePending = true
	}
}

// heldTasks returns the tasks that an agent may run.
func (a *agent) heldTasks() []string {
	var tasks []string
	for key := range a.runs {
		tasks = append(tasks, key.task)
	}
	for _, e := range a.pendingEnds {
		tasks = append(tasks, e.task)
	}
	return tasks
}

// blockedTasks says which jobs older than this ownership must wait: all while an agent
// that was not heard may run any task, else the tasks that it may run.
func (o *Orchestrator) blockedTasks() (all bool, tasks map[string]bool) {
	tasks = map[string]bool{}
	for _, a := range o.agents {
		if !a.hasUnknownRuns {
			continue
		}
		if a.mayRunAny {
			return true, nil
		}
		for _, task := range a.recordedTasks {
			tasks[task] = true
		}
	}
	return false, tasks
}
