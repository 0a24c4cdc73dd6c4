package orchestrator

import "github.com/endivefall/endivefall/messenger"

// AgentLink is a connection to an agent.
type AgentLink struct {
	ID, Incarnation string
	// TrySend queues a frame without blocking.
	TrySend func(messenger.Frame) error
	// Close ends the connection; the agent then connects again.
	Close func(reason string)
	// KeepsPayloads is set if the agent keeps the payloads of jobs.
	KeepsPayloads bool
	// ended is set once a command could not be sent on the connection. Only the goroutine
	// of Orchestrator.Serve uses it.
	ended bool
}
