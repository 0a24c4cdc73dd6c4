package orchestrator

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"github.com/endivefall/endivefall/messenger"
)

// sealAfter is how long an agent may be out of touch before the ledger is told
// what it holds: most return within that time.
const sealAfter = 250 * time.Millisecond

// registration is what the ledger says of an agent that may hold work. A later
// owner that does not hear it waits with the tasks that it may run.
type registration struct {
	// Open says that it may run any task.
	Open bool `cbor:"1,keyasint,omitempty"`
	// Held has the tasks that it may run where it is not open.
	Held []string `cbor:"2,keyasint,omitempty"`
}

func (r registration) encode() []byte {
	raw, err := cbor.Marshal(r)
	if err != nil {
		panic(err) // a bool and strings always encode
	}
	return raw
}

// enrolled takes what the ledger says of an agent. What can't be read may be
// anything.
func (o *Orchestrator) enrolled(a *agent, version uint64, value []byte) {
	r := registration{}
	if err := cbor.Unmarshal(value, &r); err != nil {
		o.cfg.Log.Warn("registration can't be read; the agent counts as open", zap.String("agent", a.id), zap.Error(err))
		r = registration{Open: true}
	}
	a.kept, a.open, a.held = version, r.Open, r.Held
}

// register has the ledger name an agent that is heard while it may hold work. One
// that drains takes no starts, so what it holds is known; once it has nothing
// left, no later owner need wait for it.
func (o *Orchestrator) register(a *agent, t *messenger.WorkerSnapshot) {
	drains := t.Draining && t.Reconciled
	switch {
	case a.writing || a.missing: // what it holds is as the ledger says until it is surveyed
	case drains && len(t.Runs) == 0 && len(t.RunEnds) == 0 && a.empty():
		a.sealing, a.striking = false, a.kept != 0
	case drains:
		a.sealing = a.sealing || a.open
		a.open = false
	case a.sealing: // the ledger does not say so yet
		a.sealing, a.open = false, true
	default:
		a.enrolling = !a.open
	}
}

// empty says whether nothing may be running there, and no end is on its way to
// the ledger.
func (a *agent) empty() bool { return len(a.runs) == 0 && len(a.ends) == 0 }

// seal has the ledger say what an agent holds that is out of touch.
func (o *Orchestrator) seal(a *agent, now time.Time) {
	silent := now.Sub(a.heard)
	out := a.link == nil && silent > sealAfter || silent > isolated/2
	if !out || !a.open || a.writing || a.enrolling || !a.surveyed || a.missing || !o.loaded {
		return
	}
	a.open = false // no order goes there until the ledger says again that it may
	if a.empty() {
		a.striking = true
	} else {
		a.sealing = true
	}
}

// holds returns the tasks that an agent may run.
func (a *agent) holds() []string {
	var tasks []string
	for key := range a.runs {
		tasks = append(tasks, key.task)
	}
	for _, e := range a.ends {
		tasks = append(tasks, e.task)
	}
	return tasks
}

// waits says which jobs older than this ownership must wait: all while an agent
// that was not heard may run any task, else the tasks that it may run.
func (o *Orchestrator) waits() (all bool, tasks map[string]bool) {
	tasks = map[string]bool{}
	for _, a := range o.agents {
		if !a.missing {
			continue
		}
		if a.open {
			return true, nil
		}
		for _, task := range a.held {
			tasks[task] = true
		}
	}
	return false, tasks
}
