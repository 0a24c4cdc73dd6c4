package messenger

import (
	"net/netip"
	"time"

	"github.com/endivefall/endivefall/parser"
)

// Role tells what kind of process a peer is.
type Role uint8

// Roles of a peer.
const (
	RoleAgent Role = 1
	RoleEntry Role = 2
)

// Hello opens a connection. Times are on the sender's steady clock.
type Hello struct {
	Version     int       `cbor:"1,keyasint"`
	Role        Role      `cbor:"2,keyasint"`
	ID          string    `cbor:"3,keyasint"`
	Incarnation string    `cbor:"4,keyasint"` // a new word for each start of the process
	Secret      string    `cbor:"5,keyasint,omitempty"`
	Domain      string    `cbor:"6,keyasint,omitempty"`
	Rack        string    `cbor:"7,keyasint,omitempty"`
	Region      string    `cbor:"8,keyasint,omitempty"`
	Team        string    `cbor:"9,keyasint,omitempty"`
	Service     string    `cbor:"10,keyasint,omitempty"`
	Started     time.Time `cbor:"11,keyasint"`
	Heartbeat   Heartbeat `cbor:"12,keyasint"`
}

// Welcome answers a Hello.
type Welcome struct {
	Version        int              `cbor:"1,keyasint"`
	ID             string           `cbor:"2,keyasint"`
	Incarnation    string           `cbor:"3,keyasint"`
	RefusalReason  string           `cbor:"4,keyasint,omitempty"`
	Peers          []netip.AddrPort `cbor:"5,keyasint,omitempty"`
	NeedsDocuments bool             `cbor:"6,keyasint,omitempty"` // the entry has no documents; send yours
}

// Heartbeat is an agent's heartbeat and digest.
type Heartbeat struct {
	Sent          time.Time        `cbor:"1,keyasint"`
	Total         parser.Resources `cbor:"2,keyasint"`
	Free          parser.Resources `cbor:"3,keyasint"`
	Load          Load             `cbor:"4,keyasint"`
	Draining      bool             `cbor:"5,keyasint,omitempty"`
	UnderPressure bool             `cbor:"6,keyasint,omitempty"` // the contract is at risk; send no new batch work
	Shards        []uint32         `cbor:"7,keyasint,omitempty"` // shards whose grants the agent holds
	// RoundTrip is the last measured round trip to the entry.
	RoundTrip time.Duration `cbor:"8,keyasint,omitempty"`
	// Evictable is what tasks hold that may be evicted for urgent work.
	Evictable parser.Resources `cbor:"9,keyasint"`
}

// HeartbeatReply answers a Beat. Until is on the agent's clock and extends every grant
// that the agent holds of the shard.
type HeartbeatReply struct {
	Echo     time.Time      `cbor:"1,keyasint"`
	Now      time.Time      `cbor:"2,keyasint"`
	Renewals []LeaseRenewal `cbor:"3,keyasint,omitempty"`
}

// LeaseRenewal moves the deadline of a shard's grants at one agent.
type LeaseRenewal struct {
	Shard     uint32    `cbor:"1,keyasint"`
	Epoch     uint64    `cbor:"2,keyasint"`
	ExpiresAt time.Time `cbor:"3,keyasint"`
}

// Load is what an agent tells of its target.
type Load struct {
	Running     int           `cbor:"1,keyasint,omitempty"`
	Waiting     int           `cbor:"2,keyasint,omitempty"`
	Slots       int           `cbor:"3,keyasint,omitempty"`
	ServiceTime time.Duration `cbor:"4,keyasint,omitempty"` // mean time that a slot is held
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
	Addrs []netip.AddrPort `cbor:"1,keyasint"`
}

// Call starts a request at an agent. Until is on the agent's clock.
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

// Response is the head of a target's answer.
type Response struct {
	Status int                 `cbor:"1,keyasint"`
	Header map[string][]string `cbor:"2,keyasint,omitempty"`
	Length int64               `cbor:"3,keyasint"` // -1 when not known
	// Fault is set when there is no answer: the target broke off, and the
	// request may have run.
	Fault string `cbor:"4,keyasint,omitempty"`
	Load  Load   `cbor:"5,keyasint"`
	// DeadlineExceeded is set beside Fault when the call's deadline broke it off.
	DeadlineExceeded bool `cbor:"6,keyasint,omitempty"`
}

// Refusal says that a call did not run, and never will.
type Refusal struct {
	Reason     string    `cbor:"1,keyasint"`
	RetryAt    time.Time `cbor:"2,keyasint"` // when to come back, on the agent's clock
	Now        time.Time `cbor:"3,keyasint"` // the agent's clock
	Load       Load      `cbor:"4,keyasint"`
	TargetDown bool      `cbor:"5,keyasint,omitempty"` // the target itself is unwell
}

// End closes a stream. An empty fault means that the body is whole.
type End struct {
	Fault string `cbor:"1,keyasint,omitempty"`
	Load  Load   `cbor:"2,keyasint"`
}

// Grant lets an agent run tasks From up to To of a job, one after another, on
// one reservation. Until is on the agent's clock.
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
	Checkpointable bool             `cbor:"11,keyasint,omitempty"` // may be checkpointed
	Idempotent     bool             `cbor:"12,keyasint,omitempty"` // idempotent: may outlive its grant
	Reason         string           `cbor:"13,keyasint,omitempty"` // why declined or revoked
	Evict          bool             `cbor:"14,keyasint,omitempty"` // a revoke that keeps a checkpoint
	Urgent         bool             `cbor:"15,keyasint,omitempty"` // may evict others at the agent
}

// AttemptStatus is how a task's attempt ended.
type AttemptStatus uint8

// Verdicts of an attempt.
const (
	AttemptFinished AttemptStatus = 1
	AttemptFailed   AttemptStatus = 2
	AttemptEvicted  AttemptStatus = 3 // stopped, to resume from Point
	AttemptLost     AttemptStatus = 4 // it no longer runs, and how far it came is unknown
)

// Outcome is the end of one task's attempt.
type Outcome struct {
	Index      int           `cbor:"1,keyasint"`
	Status     AttemptStatus `cbor:"2,keyasint"`
	Checkpoint string        `cbor:"3,keyasint,omitempty"`
	Reason     string        `cbor:"4,keyasint,omitempty"`
	// Peak is the most that the task used, as far as it was measured.
	Peak parser.Resources `cbor:"5,keyasint"`
}

// Report tells the owner how tasks of a grant ended. The agent repeats it until
// the owner has settled it durably. Closed means that the agent runs no more
// tasks of the grant: what has no outcome never started.
type Report struct {
	Shard    uint32    `cbor:"1,keyasint"`
	Run      string    `cbor:"2,keyasint"`
	Seq      uint64    `cbor:"3,keyasint"`
	Outcomes []Outcome `cbor:"4,keyasint,omitempty"`
	Closed   bool      `cbor:"5,keyasint,omitempty"`
	Epoch    uint64    `cbor:"6,keyasint,omitempty"`
}

// GrantInventory tells an agent the epoch of a shard, after which the agent takes no
// grant or extension of a lower one, and asks which grants it holds. The answer
// is the same message with Held filled in. It comes after the reports of what
// the agent has not had settled.
type GrantInventory struct {
	Shard  uint32     `cbor:"1,keyasint"`
	Epoch  uint64     `cbor:"2,keyasint"`
	Grants []GrantRef `cbor:"3,keyasint,omitempty"`
	// Seq numbers the owner's messages; the answer repeats it, and so tells
	// only of grants with a lower number.
	Seq uint64 `cbor:"4,keyasint,omitempty"`
}

// GrantRef is a grant that an agent holds.
type GrantRef struct {
	Run string `cbor:"1,keyasint"`
	Seq uint64 `cbor:"2,keyasint"`
}

// Claim asks an agent to keep a key for one execution, or records how it ended.
type Claim struct {
	Key         string    `cbor:"1,keyasint"`
	Nonce       string    `cbor:"2,keyasint"`
	NotBefore   time.Time `cbor:"3,keyasint"` // no claim can be older, on the agent's clock
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
	Existing      *Claim `cbor:"4,keyasint,omitempty"` // the claim that stands
}
