package supervisor

import (
	"time"

	"github.com/endivefall/endivefall/messenger"
)

// run is a run at the worker. Supervisor.mu guards all its fields.
type run struct {
	task    string
	attempt uint64
	spec    messenger.TaskSpec
	// failures is that of its messenger.RunStart, 0 while it is not known.
	failures uint32
	// phase is messenger.PhaseRunning once the worker has shown or confirmed the run, and
	// messenger.PhaseStarting before.
	phase           messenger.Phase
	checkpoint      string
	progressPercent int
	// measurement is the newest ActiveRun.Measurement of the run.
	measurement int64
	// pacePercent is the share of its full speed at which the task is to work, workerPace
	// the one that the worker has confirmed, or unknownPace.
	pacePercent, workerPace int
	// pacedSince is the local time of the last pace change.
	pacedSince time.Time
	// paceCalling is set while a set pace call is in flight; the next one is sent no
	// earlier than at nextPaceAt.
	paceCalling bool
	nextPaceAt  time.Time
	// tailLatencyMs is the current tail latency of a latency-critical task; 0 while
	// it is not known.
	tailLatencyMs int64
	// confirmedAt is when the worker confirmed the run, on its clock. If a later
	// list reply lacks the run, the run has ended. Until one has shown the run, that clock may
	// be the one of the next incarnation, and the list must be requested after startRepliedAt.
	confirmedAt time.Time
	// startSentAt is the local time of the last start call; zero for a run that an earlier
	// process of the agent started.
	startSentAt time.Time
	// crash is the crash of the incarnation to which a run with an unknown outcome may
	// have been started.
	crash *messenger.Crash
	// startBy is the local time from which on no start call is sent; zero for no such time.
	startBy time.Time
	// startFence is the fence of the last start call; 0 before it.
	startFence uint64
	// unansweredFence is the fence of a start with an unknown outcome, which a list
	// reply under a higher fence settles; 0 while there is none. It is set only in
	// messenger.PhaseStarting.
	unansweredFence uint64
	// listed is set once a list reply of the current incarnation has shown the run.
	listed bool
	// seenTerm is the highest term that had been received when the run was started, or when
	// the last list that showed it was requested.
	seenTerm uint64
	// workedAt is the local time after which the run was last known to be at work, zero if it
	// never was.
	workedAt time.Time
	// startRepliedAt is the local time of the reply to the start, which does not tell which
	// incarnation carried it out; zero without one.
	startRepliedAt time.Time
	// specUnknown is set for a run that an earlier process of the agent started,
	// until the owner sends its spec.
	specUnknown bool
	// stopRequested is set once the owner has sent a stop, which arrived at the local time
	// stopRequestedAt.
	stopRequested   bool
	stopRequestedAt time.Time
	// stopCalling is set while a stop call is in flight; the next one is sent no earlier
	// than at nextStopAt.
	stopCalling bool
	nextStopAt  time.Time
	// endIgnored is set once an ignored end of the run has been logged.
	endIgnored bool
	// ended is set when the run has been removed from Supervisor.runs.
	ended bool
}

// unknownPace is the pace of a run that another process of the agent may have set, or that
// a call without a reply may have changed.
const unknownPace = -1

// pacePending reports whether the worker has yet to confirm the pace of the run.
func (r *run) pacePending() bool { return r.workerPace != r.pacePercent }

func (r *run) status() messenger.RunStatus {
	phase := r.phase
	if phase == messenger.PhaseRunning && r.stopRequested {
		phase = messenger.PhaseStopping
	}
	measurement := r.measurement
	if r.spec.LatencyTargetMs > 0 {
		measurement = r.tailLatencyMs
	}
	return messenger.RunStatus{
		Task: r.task, Attempt: r.attempt, Phase: phase, Checkpoint: r.checkpoint,
		ProgressPercent: r.progressPercent, Measurement: measurement, PacePercent: r.pacePercent, SpecUnknown: r.specUnknown, Failures: r.failures,
	}
}

// runKey identifies a run.
type runKey struct {
	task    string
	attempt uint64
}

// pendingEnd is an ended run that the owner has not yet stored durably.
type pendingEnd struct {
	messenger.RunEnd
	// workerSeq is the worker's number of the end; 0 if the worker has not listed it.
	workerSeq uint64
	// workedAt is the local time after which this process last knew the run to be at work; zero
	// if it never did.
	workedAt time.Time
	// sent is set once a snapshot with the end may have been sent. Until then the end of a
	// lasting task is held back while the owner has not answered since knownAt, on the local
	// clock.
	sent, lasting bool
	knownAt       time.Time
}
