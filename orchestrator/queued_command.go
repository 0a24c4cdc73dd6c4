package orchestrator

import "math"

// notSent is the number of a command that waits in the outbox of its agent.
const notSent = math.MaxUint64

// commandKind is what a queued command asks of the agent.
type commandKind uint8

const (
	startCommand commandKind = iota
	// specCommand conveys the spec of a run that the agent has adopted.
	specCommand
	stopCommand
)

// queuedCommand is a command in the outbox of an agent. It is built when it is sent.
type queuedCommand struct {
	kind commandKind
	run  *run // nil for the stop of a stray
	// stray and key identify a run that is not one of the agent's known runs.
	stray *stray
	key   runKey
}
