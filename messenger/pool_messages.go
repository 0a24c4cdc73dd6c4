package messenger

import "time"

// Command is an instruction of the pool's owner to an agent. Exactly one of
// Start and Stop is set.
type Command struct {
	// Seq numbers the commands on one connection, from 1.
	Seq uint64 `cbor:"1,keyasint"`
	// Term is the owner's term. An agent refuses commands of a lower term.
	Term  uint64    `cbor:"2,keyasint"`
	Start *RunStart `cbor:"3,keyasint,omitempty"`
	Stop  *RunStop  `cbor:"4,keyasint,omitempty"`
}

// RunStart tells an agent to start a task.
type RunStart struct {
	Task       string   `cbor:"1,keyasint"`
	Attempt    uint64   `cbor:"2,keyasint"`
	Payload    string   `cbor:"3,keyasint,omitempty"`
	Checkpoint string   `cbor:"4,keyasint,omitempty"` // checkpoint to resume from; empty for none
	Spec       TaskSpec `cbor:"5,keyasint"`
	Ticket     string   `cbor:"6,keyasint,omitempty"`
	// AlreadyRunning is set for a run that the agent has already started. The
	// command then only conveys its Spec.
	AlreadyRunning bool `cbor:"7,keyasint,omitempty"`
	// Interference holds the coefficients of the task's image with the images of
	// the latency-critical tasks at the agent.
	Interference []Interference `cbor:"8,keyasint,omitempty"`
	// PayloadKept is set if an earlier start of the job on the connection had the
	// payload, which the agent keeps.
	PayloadKept bool `cbor:"9,keyasint,omitempty"`
	// Failures is one more than the most earlier runs of the task that may have failed, 0 if that is
	// not known. The agent repeats it with the state and the end of the run.
	Failures uint32 `cbor:"10,keyasint,omitempty"`
	// StartByMs is when the agent must not start the task any more, in Unix ms on the worker's clock; 0 for no
	// such time. The owner derives it from the SentAt of the last snapshot.
	StartByMs int64 `cbor:"11,keyasint,omitempty"`
}

// Interference is how much a best-effort image reduces the spare rate of a serving
// image when it uses the CPU of a whole worker, in 1/s, with its standard error. The
// spare rate is the inverse of the tail latency.
type Interference struct {
	BestEffortImage string  `cbor:"1,keyasint"`
	ServingImage    string  `cbor:"2,keyasint"`
	Coefficient     float32 `cbor:"3,keyasint"`
	StdErr          float32 `cbor:"4,keyasint"`
}

// TaskSpec holds the properties of a task that an agent needs to protect its
// worker.
type TaskSpec struct {
	CPU        int64  `cbor:"1,keyasint,omitempty"` // thousandths of a core
	Memory     int64  `cbor:"2,keyasint,omitempty"` // MB
	GPU        int64  `cbor:"3,keyasint,omitempty"`
	BestEffort bool   `cbor:"4,keyasint,omitempty"` // runs on what others leave unused
	Image      string `cbor:"5,keyasint,omitempty"`
	// LatencyTargetMs bounds the tail latency of a latency-critical task; 0 for none.
	LatencyTargetMs int64 `cbor:"6,keyasint,omitempty"`
	LongRunning     bool  `cbor:"7,keyasint,omitempty"`
}

// RunStop tells an agent to stop a run.
type RunStop struct {
	Task    string `cbor:"1,keyasint"`
	Attempt uint64 `cbor:"2,keyasint"`
}

// WorkerSnapshot is the state of an agent's worker: complete, or with Delta set what
// has changed since the previous snapshot of the connection.
type WorkerSnapshot struct {
	// Term is the highest term that the agent has seen.
	Term uint64 `cbor:"1,keyasint"`
	// Seq is the last command that Runs and RunEnds reflect.
	Seq               uint64 `cbor:"2,keyasint"`
	WorkerIncarnation string `cbor:"3,keyasint,omitempty"` // empty while no worker is known
	// SentAt is the worker's clock when the snapshot was sent. The owner's
	// acknowledgement renews the lease from that time.
	SentAt           time.Time   `cbor:"4,keyasint"`
	CPU              int64       `cbor:"5,keyasint,omitempty"` // capacity, thousandths of a core
	Memory           int64       `cbor:"6,keyasint,omitempty"` // MB
	GPU              int64       `cbor:"7,keyasint,omitempty"`
	Labels           []string    `cbor:"8,keyasint,omitempty"`
	Pool             string      `cbor:"9,keyasint,omitempty"`
	Draining         bool        `cbor:"10,keyasint,omitempty"`
	DrainRemainingMs int64       `cbor:"11,keyasint,omitempty"` // minimum time until a draining worker exits
	Unreachable      bool        `cbor:"12,keyasint,omitempty"` // the worker does not answer
	Runs             []RunStatus `cbor:"13,keyasint,omitempty"`
	RunEnds          []RunEnd    `cbor:"14,keyasint,omitempty"`
	Reconciled       bool        `cbor:"15,keyasint,omitempty"` // Runs has been compared with the worker's list
	WarmupMs         int64       `cbor:"16,keyasint,omitempty"` // ms for which the worker is still slow
	MayStart         bool        `cbor:"17,keyasint,omitempty"` // the agent may start tasks
	// MeasurementUpdates counts the updates of the measurements in Runs.
	MeasurementUpdates uint64 `cbor:"18,keyasint,omitempty"`
	// Delta is set if the snapshot has only new and changed Runs, new RunEnds, and no
	// property of the worker. MeasurementUpdates is then 0 if it has not changed.
	Delta bool `cbor:"19,keyasint,omitempty"`
	// FirstEnd is the oldest end that the agent still keeps; 0 if it keeps none.
	FirstEnd uint64 `cbor:"20,keyasint,omitempty"`
	// Gone has the Ref of each run that is no longer in Runs.
	Gone []uint64 `cbor:"21,keyasint,omitempty"`
	// Complete is set if every run of the worker whose end is not acknowledged is in Runs
	// or RunEnds: no other run works there or has ended there. Without it, nothing follows
	// from the absence of a run.
	Complete bool `cbor:"22,keyasint,omitempty"`
	// EndsUnlisted is set while the worker may have ends that its last list lacked: a run
	// that makes no progress may have ended.
	EndsUnlisted bool `cbor:"23,keyasint,omitempty"`
	// Current is set if each run in Runs that has begun was started under Term, or is known to
	// have been at work after the agent had heard of that term.
	Current bool `cbor:"25,keyasint,omitempty"`
	// Leaving is set once the agent is to end. It starts nothing more, and waits until the
	// ledger no longer says that it may run any task.
	Leaving bool `cbor:"24,keyasint,omitempty"`
	// WorkerlessMs is for how long, in ms and at least 1, this process of the agent has known no worker, so that
	// nobody has renewed the lease of one there; 0 while it knows one. Earlier processes have ended before.
	WorkerlessMs int64 `cbor:"26,keyasint,omitempty"`
	// Domain is the failure domain that the worker reports; empty if it reports none.
	Domain string `cbor:"27,keyasint,omitempty"`
}

// RunStatus is the state of a run at an agent's worker. In a Delta, a run that was in
// an earlier snapshot has only its Ref in place of Task and Attempt.
type RunStatus struct {
	Task            string `cbor:"1,keyasint,omitempty"`
	Attempt         uint64 `cbor:"2,keyasint,omitempty"`
	Phase           Phase  `cbor:"3,keyasint"`
	Checkpoint      string `cbor:"4,keyasint,omitempty"`
	ProgressPercent int    `cbor:"5,keyasint,omitempty"`
	// Measurement is the current tail latency in ms, 0 while unknown, or
	// without a latency target the processor in use, in thousandths of a core.
	Measurement int64 `cbor:"6,keyasint,omitempty"`
	PacePercent int   `cbor:"7,keyasint,omitempty"` // pace limit of the task, in percent
	SpecUnknown bool  `cbor:"8,keyasint,omitempty"` // the agent does not know the task's spec
	// Ref identifies the run on the connection.
	Ref uint64 `cbor:"9,keyasint,omitempty"`
	// Failures is that of its RunStart, 0 if an earlier process of the agent got that.
	Failures uint32 `cbor:"10,keyasint,omitempty"`
}

// Phase is the phase of a run that has not ended.
type Phase uint8

// Phases of a run.
const (
	PhaseStarting Phase = 1 // the worker has not confirmed the start
	PhaseRunning  Phase = 2
	PhaseStopping Phase = 3
)

// EndStatus is how a run ended.
type EndStatus uint8

// Statuses of an ended run.
const (
	EndDone           EndStatus = 1
	EndFailed         EndStatus = 2
	EndStopped        EndStatus = 3
	EndLeaseExpired   EndStatus = 4
	EndGangMemberLost EndStatus = 5 // another member of its gang ended
	EndGangIncomplete EndStatus = 6 // the other members of its gang did not start
	EndNotStarted     EndStatus = 7 // it did not start
	EndWorkerLost     EndStatus = 8 // its worker was lost or no longer lists it
)

// RunEnd reports a run that has ended. Seq grows during one incarnation of an
// agent.
type RunEnd struct {
	Seq             uint64    `cbor:"1,keyasint"`
	Task            string    `cbor:"2,keyasint"`
	Attempt         uint64    `cbor:"3,keyasint"`
	Status          EndStatus `cbor:"4,keyasint"`
	Checkpoint      string    `cbor:"5,keyasint,omitempty"`
	Reason          string    `cbor:"6,keyasint,omitempty"` // the agent's reason; empty if the worker reported the end
	WorkerUnhealthy bool      `cbor:"7,keyasint,omitempty"` // the worker was unhealthy and refused the start
	// Crash is set for a run that was lost in a crash of its worker, rather than one that
	// was emptied, drained or cut off.
	Crash *Crash `cbor:"8,keyasint,omitempty"`
	// UntoldTerm is the term of which the agent had heard when it first sent the end. It is set
	// only if the run was at work in this process of the agent, and the lease was not over from
	// then until the agent heard of the term: every owner of an earlier term counts the run as
	// one that may be at work. It never changes.
	UntoldTerm uint64 `cbor:"9,keyasint,omitempty"`
	// Failures is that of the run's RunStart, 0 if an earlier process of the agent got that.
	Failures uint32 `cbor:"10,keyasint,omitempty"`
}

// Crash is the crash of a worker from the view of a run that was lost in it. Its times are
// on the clock of the agent.
type Crash struct {
	Worker string `cbor:"1,keyasint"` // the incarnation that crashed
	// StartedAt is when the start of the run was sent. It is no later than LostAt.
	StartedAt time.Time `cbor:"2,keyasint"`
	// AliveAt is the last time at which the worker is known to have worked, LostAt the
	// first at which it is known to have crashed.
	AliveAt time.Time `cbor:"3,keyasint"`
	LostAt  time.Time `cbor:"4,keyasint"`
	// Confirmed is set if the worker had confirmed the run. Otherwise the start may not
	// have reached it.
	Confirmed bool `cbor:"5,keyasint,omitempty"`
}

// MinWorked returns the least time that the run may have worked before the crash.
func (c *Crash) MinWorked() time.Duration { return max(c.AliveAt.Sub(c.StartedAt), 0) }

// MaxWorked returns the most time that the run may have worked before the crash.
func (c *Crash) MaxWorked() time.Duration { return max(c.LostAt.Sub(c.StartedAt), 0) }

// SnapshotAck is the owner's acknowledgement of a WorkerSnapshot.
type SnapshotAck struct {
	Term uint64 `cbor:"1,keyasint"`
	// EchoSentAt echoes the snapshot's SentAt. The zero time renews no lease.
	EchoSentAt time.Time `cbor:"2,keyasint"`
	// AckedEnd is the highest Seq of the ends that the agent may forget, together
	// with all lower ones.
	AckedEnd uint64 `cbor:"3,keyasint"`
	// WorkerIncarnation echoes the snapshot's. EchoSentAt and AppliedSentAt are on that
	// incarnation's clock.
	WorkerIncarnation string `cbor:"4,keyasint,omitempty"`
	// Interference holds the coefficients that changed since the last
	// acknowledgement.
	Interference []Interference `cbor:"5,keyasint,omitempty"`
	// AppliedSentAt echoes the SentAt of a snapshot from which the owner has updated its
	// state. The zero time means that it has not read the ledger yet, or may have been
	// replaced.
	AppliedSentAt time.Time `cbor:"6,keyasint"`
}

// StateQuery asks the owner for the state of a job or of a queue.
type StateQuery struct {
	Job   string `cbor:"1,keyasint,omitempty"`
	Queue string `cbor:"2,keyasint,omitempty"`
	Path  string `cbor:"4,keyasint,omitempty"` // host and prefix of the queue
	// Extended is the confirmation that the sender extends, if any.
	Extended *ConfirmationRef `cbor:"3,keyasint,omitempty"`
}

// ConfirmationRef identifies a confirmation of ownership, and when the owner asked for its
// extension.
type ConfirmationRef struct {
	Term uint64 `cbor:"1,keyasint"`
	At   int64  `cbor:"2,keyasint"`           // Unix nanoseconds on the owner's clock
	Sent int64  `cbor:"6,keyasint,omitempty"` // the same
	// Rostered is set if the owner renews the leases of no agents on the extension but those that it
	// has recorded as reached.
	Rostered bool `cbor:"7,keyasint,omitempty"`
}

// OwnerConfirmation is what an owner tells another entry of its newest confirmation.
type OwnerConfirmation struct {
	ConfirmationRef
	// RemainingMs is how long the owner may act on it from Sent on if it is extended, in ms.
	RemainingMs int64 `cbor:"3,keyasint"`
	// Ask is set if the owner asks for an extension.
	Ask bool `cbor:"5,keyasint,omitempty"`
}

// StateReply answers a StateQuery. Found is false if the owner has no such job.
type StateReply struct {
	Found   bool   `cbor:"1,keyasint,omitempty"`
	Queue   string `cbor:"2,keyasint,omitempty"`
	Path    string `cbor:"7,keyasint,omitempty"` // of the queue as the job was accepted
	State   string `cbor:"3,keyasint,omitempty"`
	Pending int    `cbor:"4,keyasint,omitempty"`
	// Confirmation is set in replies of an owner to pings.
	Confirmation *OwnerConfirmation `cbor:"5,keyasint,omitempty"`
	// StoreVersion is a version that the store had reached before the reply, 0 if none is known.
	StoreVersion uint64 `cbor:"6,keyasint,omitempty"`
}

// InDoubt lists jobs that are subject to a write with unknown outcome, which may
// still take effect. No entry may report that such a job was not accepted.
type InDoubt struct {
	Jobs []string `cbor:"1,keyasint"`
}

// String returns the name of the status, as logs and metrics show it.
func (s EndStatus) String() string {
	if int(s) < len(endStatusNames) {
		return endStatusNames[s]
	}
	return "unknown"
}

var endStatusNames = [...]string{"unknown", "done", "failed", "stopped", "lapsed", "broken", "alone", "never", "gone"}
