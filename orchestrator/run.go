package orchestrator

import (
	"time"

	"github.com/endivefall/endivefall/messenger"
	"github.com/endivefall/endivefall/sequencer"
)

// runKey identifies a run.
type runKey struct {
	task    string
	attempt uint64
}

// run is a run that may be active.
type run struct {
	key   runKey
	task  *sequencer.Task
	job   *job
	agent *agent
	// failures bounds the failed runs of the task before this one.
	failures sequencer.Failures
	// link and seq identify the command that started the run; seq is notSent while it
	// waits in the outbox. A nil link means that the run was adopted from the snapshot of
	// the agent.
	link  *AgentLink
	seq   uint64
	phase messenger.Phase
	// stopQueuedOn is the connection for which a stop command was last queued, stopSeq the
	// number of that command, or notSent. It is not queued again on that connection before
	// stopAgainAt.
	stopQueuedOn *AgentLink
	stopSeq      uint64
	stopAgainAt  time.Time
	// specQueuedOn and specSeq are the same for the command that conveys the task's spec.
	specQueuedOn *AgentLink
	specSeq      uint64
	// stopWantedAt is when the run was to be stopped first; zero while it is not.
	stopWantedAt    time.Time
	progressPercent int
	measurement     int64
	pacePercent     int
	startedAt       time.Time
	// pacedTime is the time that it would have taken at full pace for its work up to pacedUntil; the
	// latter is zero before the first snapshot with the run.
	// savedTime is that up to its last checkpoint.
	pacedTime, savedTime time.Duration
	pacedUntil           time.Time
	// progressedAt is the local time at which progressPercent last grew. It is also
	// advanced while the run is throttled, and while its end may be unlisted.
	progressedAt time.Time
	// throttled is set once the run was slowed; resumed is set for a run that began
	// from a checkpoint or was adopted.
	throttled, resumed bool
	// aliveAt is the local time of the last snapshot that showed it at work on a worker that
	// answers; progressed is set once it has saved a checkpoint or, if it runs long, is
	// fully at work.
	aliveAt    time.Time
	progressed bool
	// evict is set once the run is to be stopped.
	evict bool
}

// addPacedTime counts the time since it was last called at the pace since then.
func (r *run) addPacedTime(now time.Time) {
	from := r.pacedUntil
	if from.IsZero() {
		from = r.startedAt
	}
	r.pacedTime += now.Sub(from) * time.Duration(r.pacePercent) / 100
	r.pacedUntil = now
}
