package orchestrator

import (
	"go.uber.org/zap"

	"github.com/endivefall/endivefall/messenger"
	"github.com/endivefall/endivefall/meter"
	"github.com/endivefall/endivefall/sequencer"
)

// attemptsPerTerm separates the attempt numbers of successive owners: one owner starts a
// task less often than this.
const attemptsPerTerm = 100000

// startTask starts the next attempt of a task, or has it granted first, and reports whether it
// takes room at the agent.
func (o *Orchestrator) startTask(t *sequencer.Task, j *job, a *agent) bool {
	if t.NeedsGrant() && !j.granted(t, a) {
		o.grant(t, j, a)
		return true
	}
	return o.startRun(t, j, a, o.nextAttempt(t))
}

// nextAttempt returns the number of a task's next attempt.
func (o *Orchestrator) nextAttempt(t *sequencer.Task) uint64 {
	return max(t.Attempt, (o.cfg.Term-1)*attemptsPerTerm) + 1
}

// startRun records the run of an attempt, sends or queues its start, and reports whether
// the agent is still connected.
func (o *Orchestrator) startRun(t *sequencer.Task, j *job, a *agent, attempt uint64) bool {
	return o.sendStart(o.addRun(t, j, a, attempt))
}

// addRun records the run of an attempt, nothing of which has been sent.
func (o *Orchestrator) addRun(t *sequencer.Task, j *job, a *agent, attempt uint64) *run {
	r := &run{
		key: runKey{t.Name(), attempt}, task: t, job: j, agent: a, failures: o.failuresOf(t), link: a.link, seq: notSent,
		phase: messenger.PhaseStarting, pacePercent: 100, startedAt: o.cfg.Now(), resumed: t.Checkpoint != "",
	}
	o.runs[r.key], j.liveRuns[r.key], a.runs[r.key] = r, r, r
	t.LiveRuns++
	return r
}

// failuresOf bounds the runs of a task that may have failed, before it is started: no more than those that are
// known, unless an agent that is not reconciled may list the end of another one.
func (o *Orchestrator) failuresOf(t *sequencer.Task) sequencer.Failures {
	if t.Located && t.Job.Version < o.cfg.Epoch {
		for _, a := range o.agents {
			if a.mayHold(t) {
				return t.MaxFailures()
			}
		}
	}
	return sequencer.AtMost(t.KnownFailures())
}

// sendStart sends or queues the start of a run, and reports whether the agent is still
// connected.
func (o *Orchestrator) sendStart(r *run) bool {
	t, a := r.task, r.agent
	if !o.queueCommand(a, queuedCommand{kind: startCommand, run: r}) {
		o.removeRun(r)
		return false
	}
	t.Attempt = r.key.attempt
	delete(o.claims, t)
	o.cfg.Count(meter.Starts)
	o.cfg.Log.Info("starting run", zap.String("task", r.key.task), zap.Uint64("attempt", r.key.attempt), zap.String("agent", a.id),
		zap.Duration("waited", r.startedAt.Sub(t.WaitingSince)), zap.Duration("free", freeFor(t, r.startedAt)), zap.Duration("table_age", r.startedAt.Sub(a.lastSnapshotAt)), zap.Bool("resumes", t.Checkpoint != ""))
	return true
}

// Approximate sizes of a start, in bytes.
const (
	startBaseBytes    = 120
	interferenceBytes = 35
	// maxStartBytes is the size of most starts with the payload of their job.
	maxStartBytes = 1024
)

// startBytes returns the approximate size of a start.
func startBytes(start *messenger.RunStart) int {
	return startBaseBytes + len(start.Payload) + len(start.Checkpoint) + len(start.Ticket) + len(start.Interference)*interferenceBytes
}

// runStart returns what an agent needs to start a run, or to manage one that
// already runs.
func (o *Orchestrator) runStart(r *run, alreadyRunning bool) *messenger.RunStart {
	step := r.task.StepSpec()
	start := &messenger.RunStart{
		Task: r.key.task, Attempt: r.key.attempt, AlreadyRunning: alreadyRunning,
		Spec: messenger.TaskSpec{
			CPU: step.CPU, Memory: step.Memory, GPU: step.GPU, BestEffort: step.BestEffort, Image: step.Image, LatencyTargetMs: step.LatencyTargetMs,
			LongRunning: step.LongRunning,
		},
		Failures: uint32(r.failures),
	}
	if alreadyRunning {
		return start
	}
	start.Checkpoint, start.Ticket, start.Interference = r.task.Checkpoint, o.ticketFor(r.task, r.agent), o.knownInterference(r.agent, step.Image)
	if start.PayloadKept = r.agent.link.KeepsPayloads && r.agent.payloads.Keeps(r.job.Spec.ID); !start.PayloadKept {
		start.Payload = r.job.Spec.Payload
	}
	return start
}
