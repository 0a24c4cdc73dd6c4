package sequencer

// Failures bounds how many runs of a task may have failed: one more than that number, so that 0 means
// that no bound is known.
type Failures uint32

// AtMost returns the Failures of a number of runs.
func AtMost(n int) Failures { return Failures(n + 1) }

// Exceeds reports whether the number of runs may reach a limit.
func (f Failures) Exceeds(limit int) bool { return f == 0 || int(f)-1 >= limit }

// failed returns the attempts of the task that are known to have failed. Those of the members of a gang
// count to the first of them.
func (t *Task) failed() []uint64 {
	if t.StepSpec().Gang {
		return t.Job.Tasks(t.Occurrence, t.Step)[0].FailedAttempts
	}
	return t.FailedAttempts
}

// FailedBefore returns how many attempts before one are known to have failed.
func (t *Task) FailedBefore(attempt uint64) int {
	n := 0
	for _, failed := range t.failed() {
		if failed < attempt {
			n++
		}
	}
	return n
}

// KnownFailures returns how many attempts are known to have failed.
func (t *Task) KnownFailures() int { return len(t.failed()) }

// MaxFailures bounds how many runs of a located task may have failed, though an agent that has not been heard
// may list more of them than are known: those before the run that located it, as its starter knew, and
// those since, all of which are known.
func (t *Task) MaxFailures() Failures {
	if t.LocatedFailures == 0 {
		return 0
	}
	before := t.FailedBefore(t.LocatedAttempt)
	return max(t.LocatedFailures, AtMost(before)) + Failures(t.KnownFailures()-before)
}

// Locate records that an attempt was at work after the claim of this owner, or that no earlier owner knew
// that it was not, with the failures before it that its starter knew of.
func (t *Task) Locate(attempt uint64, failures Failures) {
	if !t.Located || t.LocatedFailures == 0 {
		t.LocatedAttempt, t.LocatedFailures = attempt, failures
	}
	t.Located = true
}
