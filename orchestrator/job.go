package orchestrator

import (
	"time"

	"github.com/endivefall/endivefall/allocator"
	"github.com/endivefall/endivefall/sequencer"
)

// job is a job in the ledger.
type job struct {
	*sequencer.Job
	// revision counts the changes of the progress; durableRevision is the newest
	// revision in the ledger.
	revision, durableRevision uint64
	dirty                     bool // it is in dirtyJobs
	// apart is set once the ledger has rejected a write of it: until one takes effect, it is written
	// apart from all other changes. While it is in heldWrites, that is not before writeFrom.
	apart     bool
	writeFrom time.Time
	// endWriting is set while a write of a final state is in flight, cancelWaiting once a
	// cancellation has been read meanwhile.
	endWriting, cancelWaiting bool
	liveRuns                  map[runKey]*run
	// grantDue is set while it is in dirtyJobs with a new grant; grantRevisions has the revision
	// with which the agent of a task was set, if this owner did so.
	grantDue       bool
	grantRevisions map[*sequencer.Task]uint64
	// results has those of each step, by its index.
	results map[int]*results
	// corrections has what its ended tasks have shown this owner of its estimates.
	corrections allocator.Corrections
	// suspected is set once a task of it was suspected of crashing workers.
	suspected bool
	// checkpointsSavedAt is the local time at which new checkpoints were last
	// queued for writing.
	checkpointsSavedAt time.Time
	// endedAt is the local time at which the job's final state became durable or,
	// for a job that was canceled or ended before, was first noticed.
	endedAt time.Time
}
