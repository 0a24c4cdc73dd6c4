package messenger

import (
	"time"

	"github.com/endivefall/endivefall/parser"
)

// Role is the kind of process that a peer is.
type Role uint8

// Roles of a peer.
const (
	RoleAgent Role = 1
	RoleEntry Role = 2
)

// Hello opens a connection. Times are on the sender's monotonic clock.
type Hello struct {
	Version     int       `cbor:"1,keyasint"`
	Role        Role      `cbor:"2,keyasint"`
	ID          string    `cbor:"3,keyasint"`
	Incarnation string    `cbor:"4,keyasint"` // differs for each start of the process
	Secret      string    `cbor:"5,keyasint,omitempty"`
	Domain      string    `cbor:"6,keyasint,omitempty"`
	Rack        string    `cbor:"7,keyasint,omitempty"`
	Region      string    `cbor:"8,keyasint,omitempty"`
	Team        string    `cbor:"9,keyasint,omitempty"`
	Service     string    `cbor:"10,keyasint,omitempty"`
	Started     time.Time `cbor:"11,keyasint"`
	Heartbeat   Heartbeat `cbor:"12,keyasint"`
	// KeepsPayloads is set by an agent that keeps the payloads of jobs, so that the
	// owner sends each once.
	KeepsPayloads bool `cbor:"13,keyasint,omitempty"`
}

// Welcome answers a Hello.
type Welcome struct {
	Version        int    `cbor:"1,keyasint"`
	ID             string `cbor:"2,keyasint"`
	Incarnation    string `cbor:"3,keyasint"`
	RefusalReason  string `cbor:"4,keyasint,omitempty"`
	Peers          Addrs  `cbor:"5,keyasint,omitempty"`
	NeedsDocuments bool   `cbor:"6,keyasint,omitempty"` // the entry has not read the documents from the store yet and asks for the peer's copies
	TakesDeltas    bool   `cbor:"7,keyasint,omitempty"` // the entry restores snapshots that have only changes
}

// Heartbeat is sent periodically to a peer. An agent's heartbeat also carries its
// resources and load.
type Heartbeat struct {
	Sent          time.Time        `cbor:"1,keyasint"`
	Total         parser.Resources `cbor:"2,keyasint"`
	Free          parser.Resources `cbor:"3,keyasint"`
	Load          Load             `cbor:"4,keyasint"`
	Draining      bool             `cbor:"5,keyasint,omitempty"`
	UnderPressure bool             `cbor:"6,keyasint,omitempty"` // the contract is at risk; no new batch work is accepted
	Shards        []uint32         `cbor:"7,keyasint,omitempty"` // shards whose grants the agent holds
	// RoundTrip is the last measured round trip to the entry.
	RoundTrip time.Duration `cbor:"8,keyasint,omitempty"`
	// Evictable is the resources held by tasks that may be evicted for urgent work.
	Evictable parser.Resources `cbor:"9,keyasint"`
}

// HeartbeatReply answers a Heartbeat. It echoes the heartbeat's Sent, and Now is
// the sender's clock. Each renewal extends all grants of its shard at the agent.
type HeartbeatReply struct {
	Echo     time.Time      `cbor:"1,keyasint"`
	Now      time.Time      `cbor:"2,keyasint"`
	Renewals []LeaseRenewal `cbor:"3,keyasint,omitempty"`
}

// LeaseRenewal extends the expiry of a shard's grants at one agent. ExpiresAt is
// on the agent's clock.
type LeaseRenewal struct {
	Shard     uint32    `cbor:"1,keyasint"`
	Epoch     uint64    `cbor:"2,keyasint"`
	ExpiresAt time.Time `cbor:"3,keyasint"`
}

// Load is the load of an agent's target.
type Load struct {
	Running     int           `cbor:"1,keyasint,omitempty"`
	Waiting     int           `cbor:"2,keyasint,omitempty"`
	Slots       int           `cbor:"3,keyasint,omitempty"`
	ServiceTime time.Duration `cbor:"4,keyasint,omitempty"` // mean time for which a request holds a slot
}

// Docs carries team documents.
type Docs struct {
	Docs []Doc `cbor:"1,keyasint"`
}

// Doc is one version of a team's document.
type Doc struct {
	Team    string `cbor:"1,keyasint"`
	Version uint64 `cbor:"2,keyasint"`
	Source  []byte `cbor:"3,keyasint"`
}

// Peers lists the entries' peer addresses.
type Peers struct {
	Addrs Addrs `cbor:"1,keyasint"`
}

// Call starts a request at an agent. Deadline is on the agent's clock.
type Call struct {
	Request  string              `cbor:"1,keyasint"`
	Team     string              `cbor:"2,keyasint"`
	Service  string              `cbor:"3,keyasint"`
	Method   string              `cbor:"4,keyasint"`
	Path     string              `cbor:"5,keyasint"`
	Header   map[string][]string `cbor:"6,keyasint,omitempty"`
	Deadline time.Time           `cbor:"7,keyasint"`
	Priority int                 `cbor:"8,keyasint,omitempty"`
	Length   int64               `cbor:"9,keyasint"` // -1 when not known
}

// Response is the head of a target's response.
type Response struct {
	Status int                 `cbor:"1,keyasint"`
	Header map[string][]string `cbor:"2,keyasint,omitempty"`
	Length int64               `cbor:"3,keyasint"` // -1 when not known
	// Fault is set when there is no response because the target failed during
	// the request, which may have run.
	Fault string `cbor:"4,keyasint,omitempty"`
	Load  Load   `cbor:"5,keyasint"`
	// DeadlineExceeded is set along with Fault when the call's deadline ended the
	// request.
	DeadlineExceeded bool `cbor:"6,keyasint,omitempty"`
}

// Refusal reports that a call has not run and will not run.
type Refusal struct {
	Reason     string    `cbor:"1,keyasint"`
	RetryAt    time.Time `cbor:"2,keyasint"` // when to try again, on the agent's clock
	Now        time.Time `cbor:"3,keyasint"` // the agent's clock
	Load       Load      `cbor:"4,keyasint"`
	TargetDown bool      `cbor:"5,keyasint,omitempty"` // the target itself is failing
}

// End ends a stream's body. An empty Fault means that the body is complete.
type End struct {
	Fault string `cbor:"1,keyasint,omitempty"`
	Load  Load   `cbor:"2,keyasint"`
}

// Grant lets an agent run tasks From up to To of a run, one after another, on one
// reservation. ExpiresAt is on the agent's clock.
type Grant struct {
	Shard          uint32           `cbor:"1,keyasint"`
	Epoch          uint64           `cbor:"2,keyasint"`
	Run            string           `cbor:"3,keyasint"`
	Seq            uint64           `cbor:"4,keyasint"`
	From           int              `cbor:"5,keyasint"`
	To             int              `cbor:"6,keyasint"`
	ExpiresAt      time.Time        `cbor:"7,keyasint"`
	Need           parser.Resources `cbor:"8,keyasint"`
	Payload        string           `cbor:"9,keyasint,omitempty"`
	Checkpoints    map[int]string   `cbor:"10,keyasint,omitempty"` // checkpoints to resume from
	Checkpointable bool             `cbor:"11,keyasint,omitempty"` // the tasks can be checkpointed
	Idempotent     bool             `cbor:"12,keyasint,omitempty"` // the tasks are idempotent and may outlive the grant
	Reason         string           `cbor:"13,keyasint,omitempty"` // why declined or revoked
	Evict          bool             `cbor:"14,keyasint,omitempty"` // a revocation that keeps a checkpoint
	Urgent         bool             `cbor:"15,keyasint,omitempty"` // may evict other tasks at the agent
}

// AttemptStatus is how an attempt of a task ended.
type AttemptStatus uint8

// Statuses of an ended attempt.
const (
	AttemptFinished AttemptStatus = 1
	AttemptFailed   AttemptStatus = 2
	AttemptEvicted  AttemptStatus = 3 // stopped; resumes from the checkpoint
	AttemptLost     AttemptStatus = 4 // no longer runs; its progress is unknown
)

// Outcome is the end of one task's attempt.
type Outcome struct {
	Index      int           `cbor:"1,keyasint"`
	Status     AttemptStatus `cbor:"2,keyasint"`
	Checkpoint string        `cbor:"3,keyasint,omitempty"`
	Reason     string        `cbor:"4,keyasint,omitempty"`
	// Peak is the task's measured peak usage.
	Peak parser.Resources `cbor:"5,keyasint"`
	// Crashed is set for a lost attempt whose worker answers, but has lost the task: it
	// crashed after it had confirmed the start.
	Crashed bool `cbor:"6,keyasint,omitempty"`
}

// Report tells the shard's owner how tasks of a grant ended. The agent repeats it
// until the owner acknowledges that it has stored it durably. Closed means that
// the agent runs no more tasks of the grant: tasks without an outcome have not
// started.
type Report struct {
	Shard    uint32    `cbor:"1,keyasint"`
	Run      string    `cbor:"2,keyasint"`
	Seq      uint64    `cbor:"3,keyasint"`
	Outcomes []Outcome `cbor:"4,keyasint,omitempty"`
	Closed   bool      `cbor:"5,keyasint,omitempty"`
	Epoch    uint64    `cbor:"6,keyasint,omitempty"`
}

// GrantInventory tells an agent the epoch of a shard and asks which grants the
// agent holds. From then on, the agent accepts no grant or renewal of a lower
// epoch. The reply is the same message with Grants filled in. It follows the
// agent's reports that are not acknowledged yet.
type GrantInventory struct {
	Shard  uint32     `cbor:"1,keyasint"`
	Epoch  uint64     `cbor:"2,keyasint"`
	Grants []GrantRef `cbor:"3,keyasint,omitempty"`
	// Seq numbers the owner's messages. The reply repeats it and covers only
	// grants with a lower number.
	Seq uint64 `cbor:"4,keyasint,omitempty"`
}

// GrantRef identifies a grant that an agent holds.
type GrantRef struct {
	Run string `cbor:"1,keyasint"`
	Seq uint64 `cbor:"2,keyasint"`
}

// Claim asks an agent to reserve an idempotency key for one execution, or records
// how the execution ended.
type Claim struct {
	Key         string    `cbor:"1,keyasint"`
	Nonce       string    `cbor:"2,keyasint"`
	NotBefore   time.Time `cbor:"3,keyasint"` // no earlier claim of the key can exist; on the agent's clock
	State       string    `cbor:"4,keyasint,omitempty"`
	Status      int       `cbor:"5,keyasint,omitempty"`
	Body        []byte    `cbor:"6,keyasint,omitempty"`
	ContentType string    `cbor:"7,keyasint,omitempty"`
}

// ClaimReply answers a Claim.
type ClaimReply struct {
	Nonce         string `cbor:"1,keyasint"`
	Granted       bool   `cbor:"2,keyasint,omitempty"`
	Indeterminate bool   `cbor:"3,keyasint,omitempty"` // the agent cannot rule out an earlier claim
	Existing      *Claim `cbor:"4,keyasint,omitempty"` // the claim that holds the key
}
