package orchestrator

import (
	"cmp"
	"fmt"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"github.com/endivefall/endivefall/faker"
	"github.com/endivefall/endivefall/messenger"
	"github.com/endivefall/endivefall/meter"
	"github.com/endivefall/endivefall/registrar"
	"github.com/endivefall/endivefall/sequencer"
	"github.com/endivefall/endivefall/storer"
)

// harness drives an Orchestrator with simulated agents step by step.
type harness struct {
	c          *qt.C
	o          *Orchestrator
	now        time.Time
	sent       map[string][]messenger.Frame
	sendErrors map[string]error
	store      *faker.Store
	jobCount   int
	// pools has the pools of agents whose workers are not of the pool "pool".
	pools map[string]string
	// domains has the failure domains of agents' workers.
	domains map[string]string
	// endSeq is the number of the last end that stopAll reported.
	endSeq uint64
	// unconfirmed is set while workers confirm no run before they crash.
	unconfirmed bool
	// gauges has the last values of the owner's gauges.
	gauges map[meter.Gauge]float64
	// counts has the owner's counters, durations how often each of its histograms was recorded.
	counts    map[meter.Counter]int
	durations map[meter.Histogram]int
}

// suiteMeter is a meter as in production, which refuses what a process may not record. One for all
// tests: each has a goroutine of its own.
var suiteMeter = meter.New("suite", zap.NewNop())

func newHarness(c *qt.C, agents int) *harness {
	h := &harness{c: c, now: time.Unix(5000, 0), sent: map[string][]messenger.Frame{}, sendErrors: map[string]error{}, store: faker.NewStore(), gauges: map[meter.Gauge]float64{}, counts: map[meter.Counter]int{}, durations: map[meter.Histogram]int{}}
	h.o = New(Config{
		Term: 1, Epoch: 10, OwnerKey: "owner", Store: h.store.Client(),
		Now: func() time.Time { return h.now }, WallClock: func() time.Time { return h.now },
		LeaseDuration: 5800 * time.Millisecond, UnextendedTTL: 2 * time.Second, ConfirmationTTL: 10 * time.Second, ConfirmationExtended: func() bool { return true }, ExtendedForAnyAgent: func() bool { return true }, JobRetention: time.Hour,
		OwnershipConfirmedAt: func() time.Time { return h.now }, HasStandby: func() bool { return true },
		Log: zap.NewNop(), Count: func(counter meter.Counter) {
			suiteMeter.Count(counter)
			h.counts[counter]++
		},
		ObserveDuration: func(histogram meter.Histogram, d time.Duration) {
			suiteMeter.ObserveDuration(histogram, d)
			h.durations[histogram]++
		},
		Gauge: func(g meter.Gauge, value float64) {
			suiteMeter.Set(g, value)
			h.gauges[g] = value
		},
	})
	c.Cleanup(func() { c.Check(suiteMeter.Refused(), qt.HasLen, 0) })
	h.o.cfg.ClaimedAt, h.o.cfg.ClaimSentAt = h.now, h.now
	h.o.takeOver(nil, nil, nil)
	for n := range agents {
		h.connectAgent(fmt.Sprint("a", n))
	}
	return h
}

// connectAgent connects an agent with an empty snapshot.
func (h *harness) connectAgent(id string) *agent {
	a := h.o.agent(id)
	a.link = &AgentLink{ID: id, Incarnation: "b", TrySend: func(f messenger.Frame) error {
		if err := h.sendErrors[id]; err != nil {
			return err
		}
		h.sent[id] = append(h.sent[id], f)
		return nil
	}}
	a.incarnation, a.inRoster = "b", true
	a.registration.Set(1, registrar.Registration{Open: true, Incarnation: "b"})
	h.sendSnapshot(id, &messenger.WorkerSnapshot{})
	return a
}

// sendSnapshot delivers a snapshot of an agent.
func (h *harness) sendSnapshot(id string, snapshot *messenger.WorkerSnapshot) {
	snapshot.Complete = true
	h.sendIncomplete(id, snapshot)
}

// sendIncomplete delivers a snapshot of an agent that does not know all runs of its worker.
func (h *harness) sendIncomplete(id string, snapshot *messenger.WorkerSnapshot) {
	snapshot.Term, snapshot.WorkerIncarnation, snapshot.CPU, snapshot.Memory, snapshot.Pool, snapshot.Reconciled, snapshot.MayStart = 1, "life-"+id, 8000, 16000, cmp.Or(h.pools[id], "pool"), true, true
	snapshot.Domain = h.domains[id]
	snapshot.Seq = h.o.agents[id].seq
	h.o.handleSnapshot(h.o.agents[id], snapshot)
}

// submit adds a job to the ledger.
func (h *harness) submit(spec sequencer.Spec) *job {
	h.jobCount++
	spec.ID = fmt.Sprintf("%016x", h.jobCount)
	spec.Pool, spec.Queue, spec.MaxAttempts, spec.AcceptedAt = "pool", "queue", 2, h.now
	raw, err := spec.Encode()
	h.c.Assert(err, qt.IsNil)
	h.o.handleInputs([]storer.Item{{Key: JobKey(spec.ID), Value: raw, Version: uint64(20 + h.jobCount)}})
	return h.o.jobs[spec.ID]
}

// commands returns the start and stop commands sent to an agent, in order.
func (h *harness) commands(id string) []string {
	var list []string
	for _, f := range h.sent[id] {
		switch {
		case f.Kind != messenger.KindCommand:
		case f.Command.Stop != nil:
			list = append(list, "stop "+f.Command.Stop.Task)
		case !f.Command.Start.AlreadyRunning:
			list = append(list, "start "+f.Command.Start.Task)
		}
	}
	return list
}

func step(count int, cpu int64) sequencer.Step {
	return sequencer.Step{Count: count, CPU: cpu, Memory: 10, Estimate: time.Second}
}

// reportRunning delivers a snapshot that lists all runs of an agent as running.
func (h *harness) reportRunning(id string, percent int) {
	h.sendSnapshot(id, &messenger.WorkerSnapshot{Runs: h.runStatuses(id, messenger.PhaseRunning, percent)})
}

// reportPhase delivers a snapshot that lists all runs of an agent in a phase.
func (h *harness) reportPhase(id string, phase messenger.Phase) {
	h.sendSnapshot(id, &messenger.WorkerSnapshot{Runs: h.runStatuses(id, phase, 0)})
}

func (h *harness) runStatuses(id string, phase messenger.Phase, percent int) []messenger.RunStatus {
	var statuses []messenger.RunStatus
	for _, r := range h.o.runsOf(h.o.agents[id]) {
		statuses = append(statuses, messenger.RunStatus{Task: r.key.task, Attempt: r.key.attempt, Phase: phase, ProgressPercent: percent, PacePercent: 100})
	}
	return statuses
}

// reportEnd delivers a snapshot that lists the end of a run.
func (h *harness) reportEnd(id string, seq uint64, task string, attempt uint64, status messenger.EndStatus) {
	h.sendSnapshot(id, &messenger.WorkerSnapshot{RunEnds: []messenger.RunEnd{{Seq: seq, Task: task, Attempt: attempt, Status: status}}})
}
