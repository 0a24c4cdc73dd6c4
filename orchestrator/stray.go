package orchestrator

import "time"

// stray is a run that an agent lists and that is not one of its known runs.
type stray struct {
	// firstListedAt is when the agent listed it first; it is not asked to stop it again
	// before stopAgainAt.
	firstListedAt, stopAgainAt time.Time
}
