package orchestrator

import "github.com/endivefall/endivefall/sequencer"

// jobWrite is a version of a job's progress in a batch.
type jobWrite struct {
	job      *job
	revision uint64
	state    sequencer.State
}
