package orchestrator

// pendingEnd is an end that the agent must keep until it is durable in the ledger.
type pendingEnd struct {
	seq  uint64
	task string
	// job is nil if nothing of the end is written to the ledger.
	job      *job
	revision uint64
}
