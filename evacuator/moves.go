package evacuator

import "time"

const (
	// minRemaining is how long a task that resumes from a checkpoint must be expected to run on for a
	// move to pay: it waits for room, restores its state for 600 ms, and estimates are off by a
	// factor of 2.5 on average.
	minRemaining = 3 * time.Second
	// maxCheckpointAge is how old the checkpoint may be that a moved task resumes from, so that a
	// move repeats little work. Tasks save one each 0.5 to 1 s.
	maxCheckpointAge = 500 * time.Millisecond
)

// Step is what is known of the tasks of a long-running step.
type Step struct {
	// MaxUnavailable is how many of them may be unavailable at once; 0 if no limit was given.
	MaxUnavailable int
	// Unavailable is the number of tasks that the system has stopped, that wait, or that are not fully
	// at work. Choose adds those that it moves.
	Unavailable int
}

// Run is a run on a worker in an evacuated domain.
type Run struct {
	// Step is set for long-running tasks. Runs of one step share it.
	Step *Step
	// AtWork is set if a long-running task is not one of the unavailable ones.
	AtWork bool
	// Contended is set while other tasks of its pool wait for room.
	Contended bool
	// Gang is set for members of gangs, Checkpointable for tasks that resume from a checkpoint.
	Gang, Checkpointable bool
	// Remaining is for how long it is expected to run on.
	Remaining time.Duration
	// Saved is set if it has a checkpoint, which is CheckpointAge old.
	Saved         bool
	CheckpointAge time.Duration
}

// Action is what becomes of a run.
type Action int

// Actions.
const (
	// Move stops the run once there is room elsewhere.
	Move Action = iota
	// AwaitTurn lets it go on until other tasks of its step are at work again.
	AwaitTurn
	// AwaitRoom lets it go on until no other work waits: a long-running task that moves takes the
	// room of that work for as long as it runs, and loses nothing where it is.
	AwaitRoom
	// AwaitCheckpoint lets it go on until it has saved its state.
	AwaitCheckpoint
	// Finish lets it end where it is.
	Finish
)

// String returns the name of the action in logs.
func (a Action) String() string {
	return [...]string{"move", "await_turn", "await_room", "await_checkpoint", "finish"}[a]
}

// Choose returns what becomes of a run now. If a long-running task is to move but finds no room,
// Keep has to be called.
func Choose(r Run) Action {
	switch {
	case r.Gang:
		return Finish
	case r.Step != nil:
		if r.Contended {
			return AwaitRoom
		}
		if r.Step.othersUnavailable(r.AtWork) >= max(r.Step.MaxUnavailable, 1) {
			return AwaitTurn
		}
		if r.AtWork {
			r.Step.Unavailable++
		}
		return Move
	case !r.Checkpointable || r.Remaining < minRemaining:
		return Finish
	case !r.Saved || r.CheckpointAge > maxCheckpointAge:
		return AwaitCheckpoint
	}
	return Move
}

// othersUnavailable returns how many tasks of the step are unavailable beside one.
func (s *Step) othersUnavailable(atWork bool) int {
	if atWork {
		return s.Unavailable
	}
	return s.Unavailable - 1
}

// Keep takes back that Choose has counted a run as unavailable.
func (r Run) Keep() {
	if r.Step != nil && r.AtWork {
		r.Step.Unavailable--
	}
}
