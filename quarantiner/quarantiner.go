// Package quarantiner judges which tasks are likely to crash the workers that start them,
// and where a suspected task is tried next. It does no I/O.
//
// Load pattern: some tasks crash each worker soon after they start there. All other runs
// of the worker are lost with them, and start again elsewhere at the same moment.
//
// A task has the odds that it is such a task. A crash raises the odds of the runs that it
// ended, most for those that had worked for the shortest time, as crashes that no task
// causes come at any time. Work without a crash lowers them. Suspects are kept apart from
// each other, so that another crash tells which of them it was.
package quarantiner

import "time"

// Odds is the probability that a task crashes its workers divided by the probability that
// it does not. Zero stands for Prior.
type Odds float64

// Odds that decide.
const (
	// Prior are the odds of a task of which nothing is known.
	Prior Odds = 0.001
	// Suspect are the odds from which a task is kept apart from other suspects. They are
	// below the share of one in a hundred tasks that start on a worker in the same moment.
	Suspect Odds = 0.005
	// Likely are the odds from which a task is tried alone.
	Likely Odds = 0.1
	// Certain are the odds from which a task is given up.
	Certain Odds = 20
)

// Model of crashes.
const (
	// backgroundRate is the rate of crashes of one worker that no task causes, in 1/s. It
	// is that of an incident that crashes each worker every 20 s, so that tasks are not
	// blamed for one.
	backgroundRate = 0.05
	// togetherFactor is by how much that rate is higher for a crash at the moment of another
	// one: racks lose power, and workers with the same fault crash at once.
	togetherFactor = 10
	// timeToCrash is the median time for which a task works before it crashes its worker.
	timeToCrash = 50 * time.Millisecond
)

// ProvenAfter is how long a task has worked when it is unlikely to be the cause of a crash.
const ProvenAfter = 2 * timeToCrash

// survival returns the probability that a task that crashes its workers works for longer.
func survival(worked time.Duration) float64 {
	return timeToCrash.Seconds() / (timeToCrash + worked).Seconds()
}

// crashRate returns the density of the time after which such a task crashes its worker, in
// 1/s, averaged over the times that are possible.
func crashRate(minWorked, maxWorked time.Duration) float64 {
	if maxWorked-minWorked > time.Millisecond {
		return (survival(minWorked) - survival(maxWorked)) / (maxWorked - minWorked).Seconds()
	}
	s := survival(minWorked)
	return s * s / timeToCrash.Seconds()
}

// known returns the odds, or Prior if nothing is known.
func (o Odds) known() Odds { return max(o, Prior) }

// orNone returns the odds, or zero if they are no higher than Prior.
func (o Odds) orNone() Odds {
	if o <= Prior {
		return 0
	}
	return o
}

// AfterWork returns the odds once the task has worked for a time without a crash.
func (o Odds) AfterWork(worked time.Duration) Odds {
	return (o.known() * Odds(survival(max(worked, 0)))).orNone()
}

// Lost is a run that a crash ended.
type Lost struct {
	// Odds are those of its task before the run.
	Odds Odds
	// MinWorked and MaxWorked bound how long it had worked.
	MinWorked, MaxWorked time.Duration
}

// Verdict is what a crash tells of a task that was lost in it.
type Verdict struct {
	Odds Odds
	// Explained is set if another of the lost tasks is more likely than not the cause.
	Explained bool
}

// Judge returns what a crash tells of each of the tasks that were lost in it. It assumes
// that one of them caused it, or none. together is the number of other workers that
// crashed at the same moment.
func Judge(lost []Lost, together int) []Verdict {
	background := backgroundRate
	if together > 0 {
		background *= togetherFactor
	}
	weights, total := make([]float64, len(lost)), background
	for n, l := range lost {
		weights[n] = float64(l.Odds.known()) * crashRate(l.MinWorked, l.MaxWorked)
		total += weights[n]
	}
	verdicts := make([]Verdict, len(lost))
	for n, weight := range weights {
		others := total - weight
		verdicts[n] = Verdict{Odds: Odds(weight / others).orNone(), Explained: others-background > total/2}
	}
	return verdicts
}
