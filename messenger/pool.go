package messenger

import (
	"time"
)

// Command is an instruction of the pool's owner to an agent. Exactly one of
// Start and Stop is set.
type Command struct {
	// Seq numbers the orders on one connection, from 1.
	Seq uint64 `cbor:"1,keyasint"`
	// Term is the owner's; an agent refuses orders of a lower one.
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
	// AlreadyRunning says that the run goes on already; only its traits are told.
	AlreadyRunning bool `cbor:"7,keyasint,omitempty"`
	// Interference is what the owner knows of the task's image beside those that serve
	// at the agent.
	Interference []Interference `cbor:"8,keyasint,omitempty"`
}

// Interference is what a filling image takes from the spare rate of a serving one where
// it uses a whole worker, in 1/s, with its standard error.
type Interference struct {
	BestEffortImage string  `cbor:"1,keyasint"`
	ServingImage    string  `cbor:"2,keyasint"`
	Coefficient     float32 `cbor:"3,keyasint"`
	StdErr          float32 `cbor:"4,keyasint"`
}

// TaskSpec is what an agent must know of a task to guard its worker.
type TaskSpec struct {
	CPU        int64  `cbor:"1,keyasint,omitempty"` // thousandths of a core
	Memory     int64  `cbor:"2,keyasint,omitempty"` // MB
	GPU        int64  `cbor:"3,keyasint,omitempty"`
	BestEffort bool   `cbor:"4,keyasint,omitempty"` // runs on what others leave unused
	Image      string `cbor:"5,keyasint,omitempty"`
	// LatencyTargetMs bounds the tail latency of a task that serves, in ms; 0 for none.
	LatencyTargetMs int64 `cbor:"6,keyasint,omitempty"`
}

// RunStop tells an agent to stop a run.
type RunStop struct {
	Task    string `cbor:"1,keyasint"`
	Attempt uint64 `cbor:"2,keyasint"`
}

// WorkerSnapshot is all that an agent knows of its worker. Each replaces the one before.
type WorkerSnapshot struct {
	// Term is the highest that the agent has heard of.
	Term uint64 `cbor:"1,keyasint"`
	// Seq is the last order that is reflected in Runs and Ends.
	Seq               uint64 `cbor:"2,keyasint"`
	WorkerIncarnation string `cbor:"3,keyasint"` // life of the worker; empty while none is known
	// SentAt is the worker's clock when the table was sent; the owner's answer
	// extends the lease from there.
	SentAt           time.Time   `cbor:"4,keyasint"`
	CPU              int64       `cbor:"5,keyasint"` // capacity, thousandths of a core
	Memory           int64       `cbor:"6,keyasint"` // MB
	GPU              int64       `cbor:"7,keyasint,omitempty"`
	Labels           []string    `cbor:"8,keyasint,omitempty"`
	Pool             string      `cbor:"9,keyasint"`
	Draining         bool        `cbor:"10,keyasint,omitempty"`
	DrainRemainingMs int64       `cbor:"11,keyasint,omitempty"` // ms that a draining worker has at least
	Unreachable      bool        `cbor:"12,keyasint,omitempty"` // the worker does not answer
	Runs             []RunStatus `cbor:"13,keyasint,omitempty"`
	RunEnds          []RunEnd    `cbor:"14,keyasint,omitempty"`
	Reconciled       bool        `cbor:"15,keyasint,omitempty"` // Runs has been compared with the worker's list
	WarmupMs         int64       `cbor:"16,keyasint,omitempty"` // ms for which the worker is still slow
	MayStart         bool        `cbor:"17,keyasint,omitempty"` // the agent may start tasks
	// MeasurementUpdates counts how often the figures of Runs were renewed.
	MeasurementUpdates uint64 `cbor:"18,keyasint,omitempty"`
}

// RunStatus is a run at an agent's worker.
type RunStatus struct {
	Task            string `cbor:"1,keyasint"`
	Attempt         uint64 `cbor:"2,keyasint"`
	Phase           Phase  `cbor:"3,keyasint"`
	Checkpoint      string `cbor:"4,keyasint,omitempty"`
	ProgressPercent int    `cbor:"5,keyasint,omitempty"`
	// Measurement is the present tail latency in ms, 0 while it is not known, or the
	// processor in use.
	Measurement int64 `cbor:"6,keyasint,omitempty"`
	PacePercent int   `cbor:"7,keyasint,omitempty"` // percent at which the task may work
	SpecUnknown bool  `cbor:"8,keyasint,omitempty"` // the agent does not know the task's traits
}

// Phase is how far a run has come.
type Phase uint8

// Phases of a run.
const (
	PhaseStarting Phase = 1 // the worker has not confirmed it
	PhaseRunning  Phase = 2
	PhaseStopping Phase = 3
)

// EndStatus tells how a run ended.
type EndStatus uint8

// Ends of a run.
const (
	EndDone           EndStatus = 1
	EndFailed         EndStatus = 2
	EndStopped        EndStatus = 3
	EndLeaseExpired   EndStatus = 4
	EndGangMemberLost EndStatus = 5 // another member of its gang ended
	EndGangIncomplete EndStatus = 6 // the other members of its gang did not come
	EndNotStarted     EndStatus = 7 // it never began
	EndWorkerLost     EndStatus = 8 // it went with its worker
)

// RunEnd is a run that has ended. Numbers grow over one process of an agent.
type RunEnd struct {
	Seq             uint64    `cbor:"1,keyasint"`
	Task            string    `cbor:"2,keyasint"`
	Attempt         uint64    `cbor:"3,keyasint"`
	Status          EndStatus `cbor:"4,keyasint"`
	Checkpoint      string    `cbor:"5,keyasint,omitempty"`
	Reason          string    `cbor:"6,keyasint,omitempty"` // why it never began
	WorkerUnhealthy bool      `cbor:"7,keyasint,omitempty"` // the worker was unhealthy and did nothing
}

// SnapshotAck is an owner's answer to a Table.
type SnapshotAck struct {
	Term uint64 `cbor:"1,keyasint"`
	// EchoSentAt echoes the table's; the zero time vouches for nothing.
	EchoSentAt time.Time `cbor:"2,keyasint"`
	// AckedEnd is the last end, with all before it, that may be forgotten.
	AckedEnd uint64 `cbor:"3,keyasint"`
	// WorkerIncarnation echoes the table's; Asked is on that life's clock.
	WorkerIncarnation string `cbor:"4,keyasint,omitempty"`
	// Interference is what the owner has learned since it was told last.
	Interference []Interference `cbor:"5,keyasint,omitempty"`
}

// StateQuery is an entry's question to the owner: of a job, or of a queue.
type StateQuery struct {
	Job   string `cbor:"1,keyasint,omitempty"`
	Queue string `cbor:"2,keyasint,omitempty"`
}

// StateReply answers an Ask. Known is false where the owner has no such job.
type StateReply struct {
	Found   bool   `cbor:"1,keyasint,omitempty"`
	Queue   string `cbor:"2,keyasint,omitempty"`
	State   string `cbor:"3,keyasint,omitempty"`
	Pending int    `cbor:"4,keyasint,omitempty"`
}

// InDoubt tells entries of jobs whose write got no answer and may yet take effect:
// none of them may say that such a job was not accepted.
type InDoubt struct {
	Jobs []string `cbor:"1,keyasint"`
}

// String names the end.
func (h EndStatus) String() string {
	if int(h) < len(hows) {
		return hows[h]
	}
	return "unknown"
}

var hows = [...]string{"unknown", "done", "failed", "stopped", "lapsed", "broken", "alone", "never", "gone"}
