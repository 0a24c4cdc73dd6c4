package orchestrator

import (
	"bytes"
	"slices"
	"strings"

	"github.com/endivefall/endivefall/storer"
)

// batch is a transaction with the state that it writes.
type batch struct {
	transaction storer.Transaction
	jobs        []jobWrite
	// openedAgents and closedAgents are agents whose registrations are written.
	openedAgents, closedAgents []*agent
	// removedAgents are agents whose registrations are deleted.
	removedAgents []*agent
	// hasRoster is set if the roster is written, with rosterAgents.
	hasRoster    bool
	rosterAgents []*agent
	// deletedJobs are jobs whose keys are deleted.
	deletedJobs []*job
}

// keyCount returns the number of keys that the batch writes or deletes.
func (b *batch) keyCount() int { return len(b.transaction.Writes) + len(b.transaction.Deletes) }

// agents returns the agents whose registrations the batch changes.
func (b *batch) agents() []*agent {
	return slices.Concat(b.openedAgents, b.closedAgents, b.removedAgents)
}

// appliedVersion returns the version of the batch if the state that refuses it shows that an earlier
// attempt has taken effect.
func (b *batch) appliedVersion(conflict *storer.ConflictError) (uint64, bool) {
	for _, w := range b.transaction.Writes {
		item := conflict.Item(w.Key)
		owners := w.Key == rosterKey || strings.HasPrefix(w.Key, progressPrefix) // nobody else writes these
		if owners && bytes.Equal(item.Value, w.Value) && !slices.Contains(b.transaction.Checks, storer.Check{Key: w.Key, Version: item.Version}) {
			return item.Version, true
		}
	}
	return 0, false
}
