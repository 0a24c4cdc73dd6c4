package orchestrator

import "time"

// stray is a run that an agent lists and that is not one of its known runs.
type stray struct {
	// firstListedAt is when the agent listed it first; it is not asked to stop it again
	// before stopAgainAt.
	firstListedAt, stopAgainAt time.Time
	// stopSeq is the number of the last stop, notSent while it waits in the outbox, or 0.
	stopSeq uint64
}
