package orchestrator

import (
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/endivefall/endivefall/messenger"
	"github.com/endivefall/endivefall/sequencer"
)

// AgentLink is a connection to an agent.
type AgentLink struct {
	ID, Incarnation string
	// Send sends a frame without waiting.
	Send func(messenger.Frame) error
}

// agent is an agent that may hold work.
type agent struct {
	id string
	// link is the present connection, or nil; born the process it leads to.
	link *AgentLink
	born string
	// heard is the local time of its last table.
	heard time.Time
	table *messenger.WorkerSnapshot
	// kept is the version of its key in the ledger; 0 while it has none. No
	// lease goes to an agent without one.
	kept uint64
	// open is set while the ledger says that it may run anything; only then are
	// runs started there.
	open bool
	// held are the tasks that the ledger says it may run where it is not open.
	held []string
	// enrolling, sealing and striking are set while its key is to be written as
	// open, as closed, or removed, writing while the store was asked to and has
	// not answered.
	enrolling, sealing, striking, writing bool
	// vouched is the local time up to which its runs may go on without a word
	// of the owner.
	vouched time.Time
	// surveyed is set once its whole table was heard in this term; missing while
	// an earlier owner may have left runs there that are not known here.
	surveyed, missing bool
	// seq is the last order on link.
	seq uint64
	// taken is the newest end taken over from the process born; durable the
	// newest that it may forget, told the last that it was told of.
	taken, durable, told uint64
	// ends are those after durable.
	ends []pendingEnd
	// runs are those that may be going on there.
	runs map[runKey]*run
	// figures is the count of figures that was learned from last.
	figures uint64
	// record is how its runs have ended lately.
	record record
}

// pendingEnd is an end that the agent must keep until the ledger has it.
type pendingEnd struct {
	n    uint64
	task string
	// job is nil where the ledger needs nothing of the end.
	job    *job
	change uint64
}

func (o *Orchestrator) agent(id string) *agent {
	a := o.agents[id]
	if a == nil {
		a = &agent{id: id, runs: map[runKey]*run{}}
		o.agents[id] = a
	}
	return a
}

// Connect takes a new connection to an agent.
func (o *Orchestrator) Connect(l *AgentLink) {
	o.hand(func() {
		a := o.agent(l.ID)
		if a.born != l.Incarnation {
			a.born, a.taken, a.durable, a.told, a.ends = l.Incarnation, 0, 0, 0, nil
		}
		a.link, a.seq, a.table, a.heard, a.figures = l, 0, nil, o.cfg.Now(), 0
		o.cfg.Log.Info("agent joined", zap.String("agent", l.ID), zap.String("born", l.Incarnation))
	})
}

// Disconnect notes that a connection has ended.
func (o *Orchestrator) Disconnect(l *AgentLink) {
	o.hand(func() {
		if a := o.agents[l.ID]; a != nil && a.link == l {
			if a.table != nil && a.table.Reconciled && a.table.Draining && len(a.table.Runs) == 0 && len(o.runsOf(a)) == 0 {
				a.vouched = o.cfg.Now() // it took no more starts and had none
			}
			a.link, a.table = nil, nil
			o.cfg.Log.Info("agent parted", zap.String("agent", l.ID), zap.Duration("lease", a.vouched.Sub(o.cfg.Now())))
		}
	})
}

// HandleFrame takes a frame of an agent.
func (o *Orchestrator) HandleFrame(l *AgentLink, f messenger.Frame) {
	if f.Kind != messenger.KindWorkerSnapshot {
		return
	}
	o.hand(func() {
		if a := o.agents[l.ID]; a != nil && a.link == l {
			o.hear(a, f.WorkerSnapshot)
		}
	})
}

// hear takes an agent's table.
func (o *Orchestrator) hear(a *agent, t *messenger.WorkerSnapshot) {
	if t.Term > o.cfg.Term {
		o.ending = ErrOwnershipLost
		return
	}
	now := o.cfg.Now()
	a.table, a.heard = t, now
	if o.loaded {
		o.compare(a, t)
		o.register(a, t)
	}
	v := &messenger.SnapshotAck{Term: o.cfg.Term, AckedEnd: a.durable}
	if a.kept != 0 && o.current() && t.Reconciled {
		v.EchoSentAt, v.WorkerIncarnation = t.SentAt, t.WorkerIncarnation
		if bound := now.Add(o.leaseBound()); t.Term == o.cfg.Term {
			a.vouched = bound // no earlier owner can extend it any more
		} else {
			a.vouched = later(a.vouched, bound)
		}
	}
	a.told = a.durable
	o.post(a, messenger.Frame{Kind: messenger.KindSnapshotAck, SnapshotAck: v})
}

func (o *Orchestrator) post(a *agent, f messenger.Frame) {
	if a.link == nil {
		return
	}
	if err := a.link.Send(f); err != nil {
		o.cfg.Log.Info("agent not reached", zap.String("agent", a.id), zap.Error(err))
	}
}

// compare brings what is known of an agent's runs in line with its table.
func (o *Orchestrator) compare(a *agent, t *messenger.WorkerSnapshot) {
	listed := map[runKey]bool{}
	for _, row := range t.RunEnds {
		listed[runKey{row.Task, row.Attempt}] = true
		if row.Seq > a.taken {
			a.taken = row.Seq
			o.ended(a, row)
		}
	}
	o.settle(a)
	if !t.Reconciled {
		return
	}
	for _, row := range t.Runs {
		listed[runKey{row.Task, row.Attempt}] = true
		o.listed(a, row)
	}
	o.profile(a, t)
	if !a.surveyed || a.missing {
		a.surveyed, a.missing, a.held = true, false, nil
		o.plan = true
		o.cfg.Log.Info("agent surveyed", zap.String("agent", a.id), zap.Int("runs", len(t.Runs)), zap.Int("ends", len(t.RunEnds)), zap.Int("missing", o.missing()))
	}
	if len(t.RunEnds) >= maxEnds {
		return // runs may be among the ends that were left out
	}
	for _, r := range o.runsOf(a) {
		if listed[r.key] || r.link == a.link && r.seq > t.Seq {
			continue
		}
		o.over(r, messenger.RunEnd{Task: r.key.task, Attempt: r.key.attempt, Status: messenger.EndNotStarted, Reason: "the agent does not know it"})
	}
}

// maxEnds is how many ends an agent lists at most.
const maxEnds = 500

// runsOf returns an agent's runs, in any order.
func (o *Orchestrator) runsOf(a *agent) []*run { return slices.Collect(maps.Values(a.runs)) }

// missing counts agents that may hold runs of an earlier owner.
func (o *Orchestrator) missing() int {
	n := 0
	for _, a := range o.agents {
		if a.missing {
			n++
		}
	}
	return n
}

// listed takes a run that an agent lists.
func (o *Orchestrator) listed(a *agent, row messenger.RunStatus) {
	key := runKey{row.Task, row.Attempt}
	r := o.runs[key]
	if r == nil {
		if r = o.found(a, row); r == nil {
			return
		}
	}
	if r.agent != a {
		o.cfg.Log.Error("run is at two agents", zap.String("task", row.Task), zap.Uint64("attempt", row.Attempt), zap.String("agent", a.id), zap.String("other", r.agent.id))
		return
	}
	if row.SpecUnknown {
		o.order(a, &messenger.Command{Start: o.startOf(r, true)})
	}
	now := o.cfg.Now()
	if row.ProgressPercent > r.percent || r.moved.IsZero() {
		r.moved = now
	}
	if row.Phase != messenger.PhaseStarting {
		r.job.Started = true
	}
	r.phase, r.percent, r.figure, r.pace = row.Phase, row.ProgressPercent, row.Measurement, row.PacePercent
	r.paced = r.paced || row.PacePercent < 100
	if row.Checkpoint != "" && row.Checkpoint != r.task.Checkpoint {
		r.task.Checkpoint, r.task.CheckpointAt = row.Checkpoint, now
		o.saved(r.job, now)
	}
	if (r.evict || r.job.Ended() || r.task.Done) && r.stopped != a.link {
		o.stop(r, "it is not wanted any more")
	}
}

// found takes a run that an earlier owner started.
func (o *Orchestrator) found(a *agent, row messenger.RunStatus) *run {
	id, k, step, index, err := sequencer.ParseTaskName(row.Task)
	j := o.jobs[id]
	if err != nil || j == nil || j.Task(k, step, index) == nil {
		o.cfg.Log.Warn("run of an unknown job", zap.String("task", row.Task), zap.String("agent", a.id), zap.Error(err))
		o.order(a, &messenger.Command{Stop: &messenger.RunStop{Task: row.Task, Attempt: row.Attempt}})
		return nil
	}
	t := j.Task(k, step, index)
	r := &run{key: runKey{row.Task, row.Attempt}, task: t, job: j, agent: a, phase: row.Phase, pace: 100, began: o.cfg.Now(), resumed: true}
	if t.LiveRuns > 0 && !t.StepSpec().Speculative {
		r.evict = true
		o.cfg.Log.Warn("run of a task that runs elsewhere", zap.String("task", row.Task), zap.Uint64("attempt", row.Attempt), zap.String("agent", a.id))
	}
	t.Attempt = max(t.Attempt, row.Attempt)
	t.LiveRuns++
	o.runs[r.key], j.live[r.key], a.runs[r.key] = r, r, r
	return r
}

// expire gives up on an agent whose runs have surely ended.
func (o *Orchestrator) expire(a *agent, now time.Time) {
	if a.link != nil && a.surveyed && now.Sub(a.heard) < isolated || now.Before(a.vouched) || !o.loaded {
		return
	}
	for _, r := range o.runsOf(a) {
		// An order still on its way finds no lease at the agent.
		o.over(r, messenger.RunEnd{Task: r.key.task, Attempt: r.key.attempt, Status: messenger.EndLeaseExpired, Reason: "the agent is out of reach and its lease has ended"})
	}
	if a.missing {
		a.missing, a.held, o.plan = false, nil, true
		o.cfg.Log.Info("agent given up", zap.String("agent", a.id), zap.Time("vouched", a.vouched))
	}
	a.surveyed = false
	if a.link == nil && a.kept != 0 && now.After(a.vouched.Add(strikeAfter)) {
		a.striking = true
	}
}

// strikeAfter is how long after its lease an agent that does not return is
// struck from the ledger: a new owner need not wait for it then.
const strikeAfter = 2 * time.Second

// order sends an order to an agent.
func (o *Orchestrator) order(a *agent, order *messenger.Command) bool {
	if a.link == nil {
		return false
	}
	a.seq++
	order.Seq, order.Term = a.seq, o.cfg.Term
	if err := a.link.Send(messenger.Frame{Kind: messenger.KindCommand, Command: order}); err != nil {
		// The connection has ended; it takes no order any more.
		o.cfg.Log.Info("order not sent", zap.String("agent", a.id), zap.Error(err))
		a.link, a.table = nil, nil
		return false
	}
	return true
}

// stop tells a run's agent to stop it.
func (o *Orchestrator) stop(r *run, why string) {
	r.evict = true
	if r.agent.link == nil || r.stopped == r.agent.link {
		return
	}
	if o.order(r.agent, &messenger.Command{Stop: &messenger.RunStop{Task: r.key.task, Attempt: r.key.attempt}}) {
		r.stopped = r.agent.link
		o.cfg.Log.Info("stop", zap.String("task", r.key.task), zap.Uint64("attempt", r.key.attempt), zap.String("agent", r.agent.id), zap.String("why", why))
	}
}
