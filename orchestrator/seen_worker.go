package orchestrator

// seenWorker is a worker as a process of its agent has seen it.
type seenWorker struct {
	incarnation, agentIncarnation string
	draining                      bool
}
