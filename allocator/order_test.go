package allocator

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivefall/endivefall/sequencer"
)

// order is what jobs are ranked by.
type order func(j *sequencer.Job, corrections *Corrections, now time.Time) Rank

// byDue is the order before tasks left were counted.
func byDue(j *sequencer.Job, _ *Corrections, now time.Time) Rank {
	rank := RankJob(j, nil, now)
	rank.Waiting = 0
	return rank
}

func byArrival(j *sequencer.Job, _ *Corrections, _ time.Time) Rank {
	return Rank{Due: j.Spec.AcceptedAt}
}

// byTasksLeft orders the jobs of a class by the number of tasks left alone.
func byTasksLeft(j *sequencer.Job, _ *Corrections, now time.Time) Rank {
	rank := RankJob(j, nil, now)
	rank.Due = time.Time{}
	return rank
}

// withoutLearning learns nothing from ended tasks.
func withoutLearning(j *sequencer.Job, _ *Corrections, now time.Time) Rank {
	return RankJob(j, nil, now)
}

// burstJob is a wide best-effort job.
type burstJob struct {
	*sequencer.Job
	corrections Corrections
	takes       time.Duration // of each task
	objective   time.Duration
	endsAt      map[*sequencer.Task]time.Time
	took        time.Duration // 0 before it is done
}

// burst replays jobs of two steps of about 20 tasks, up to 80, of which 2.6 times as many as
// can be done arrive for 6 s and somewhat fewer before and after, on slots that run one task
// each. Estimates have a log-normal error with a sigma of 0.9.
func burst(seed uint64, rank order) []*burstJob {
	const (
		slots    = 260
		tick     = 50 * time.Millisecond
		rate     = 3.31
		arriving = 40 * time.Second
	)
	r := rand.New(rand.NewPCG(seed, 7))
	around := func(mean, sigma float64) float64 { return mean * math.Exp(sigma*r.NormFloat64()-sigma*sigma/2) }
	var jobs, open []*burstJob
	free := slots
	for at := time.Duration(0); at < arriving || len(open) > 0; at += tick {
		now, times := now.Add(at), 1.0
		if at >= 8*time.Second && at < 14*time.Second {
			times = 2.6
		}
		for p := r.ExpFloat64(); at < arriving && p < rate*times*tick.Seconds(); p += r.ExpFloat64() {
			j := &burstJob{takes: time.Duration(around(1.7, 0.47) * float64(time.Second)), endsAt: map[*sequencer.Task]time.Time{}}
			estimate := time.Duration(float64(j.takes) * math.Exp(0.9*r.NormFloat64()))
			count := min(max(int(around(20, 0.55)), 1), 80)
			step := sequencer.Step{Count: count, Estimate: estimate, BestEffort: true}
			last := step
			last.DependsOn = []int{0}
			j.Job = sequencer.NewJob(&sequencer.Spec{ID: fmt.Sprintf("%04d", len(jobs)), Steps: []sequencer.Step{step, last}, StretchFactor: 2, LatencyAllowance: time.Second, AcceptedAt: now}, 1, nil)
			j.objective = 4*j.takes + time.Second
			jobs, open = append(jobs, j), append(open, j)
		}
		for _, j := range open {
			for t, end := range j.endsAt {
				if !now.Before(end) {
					delete(j.endsAt, t)
					t.LiveRuns--
					free++
					j.MarkDone(t)
					j.corrections.Learn(t.Step, t.StepSpec().Estimate, j.takes)
				}
			}
			if j.Done() {
				j.took = now.Sub(j.Spec.AcceptedAt)
			}
		}
		open = slices.DeleteFunc(open, func(j *burstJob) bool { return j.took > 0 })
		ranks := map[*burstJob]Rank{}
		for _, j := range open {
			ranks[j] = rank(j.Job, &j.corrections, now)
		}
		slices.SortStableFunc(open, func(a, b *burstJob) int { return ranks[a].Compare(ranks[b]) })
		for _, j := range open {
			for _, t := range j.Runnable(now) {
				if free == 0 {
					break
				}
				free--
				t.LiveRuns++
				j.endsAt[t] = now.Add(j.takes)
			}
		}
	}
	return jobs
}

// result is what the callers of bursts got.
type result struct {
	// inTime and ofUse are shares of the jobs: within their objective, and within three times it.
	inTime, ofUse float64
	// wide is ofUse of the jobs with at least wideCount tasks a step.
	wide float64
	// value is the mean value of the jobs, which grows with their work.
	value   float64
	longest time.Duration
}

// wideCount is the number of tasks of a step that a fourth of the jobs exceed.
const wideCount = 26

func replay(seeds int, rank order) result {
	var r result
	jobs, wide, worths := 0.0, 0.0, 0.0
	for seed := range seeds {
		for _, j := range burst(uint64(seed), rank) {
			worth := min(0.3+0.7*float64(j.Spec.Steps[0].Count)*j.takes.Seconds()/34, 4)
			jobs, worths = jobs+1, worths+worth
			isWide := j.Spec.Steps[0].Count >= wideCount
			if isWide {
				wide++
			}
			if j.took <= j.objective {
				r.inTime++
				r.value += worth
			} else if j.took <= maxLatenessFactor*j.objective {
				r.value += 0.15 * worth
			}
			if j.took <= maxLatenessFactor*j.objective {
				r.ofUse++
				if isWide {
					r.wide++
				}
			}
			r.longest = max(r.longest, j.took)
		}
	}
	r.inTime, r.ofUse, r.wide, r.value = r.inTime/jobs, r.ofUse/jobs, r.wide/wide, r.value/worths
	return r
}

// On the hardest day 35 of 150 wide jobs were in time: room was spread over all of them. Jobs with
// few tasks left must go first, while each job ends, and wide ones have their turn.
func TestJobsWithFewTasksLeftGoFirstUnderABurst(t *testing.T) {
	c := qt.New(t)
	const seeds = 20
	results := map[string]result{}
	for name, rank := range map[string]order{"built": RankJob, "due": byDue, "arrival": byArrival, "guessing": withoutLearning, "tasks left": byTasksLeft} {
		r := replay(seeds, rank)
		results[name] = r
		t.Logf("%-10s in time %.3f, of use %.3f, wide ones of use %.3f, value %.3f, longest %v", name, r.inTime, r.ofUse, r.wide, r.value, r.longest)
	}
	for _, simpler := range []string{"due", "arrival"} {
		c.Check(results["built"].inTime > results[simpler].inTime, qt.IsTrue, qt.Commentf(simpler))
		c.Check(results["built"].value > results[simpler].value, qt.IsTrue, qt.Commentf(simpler))
	}
	c.Check(results["built"].wide > results["tasks left"].wide, qt.IsTrue)
	c.Check(results["built"].longest <= results["due"].longest, qt.IsTrue)
}

// bestEffort returns a job of two steps of a number of tasks, accepted some time ago.
func bestEffort(count int, estimate, ago time.Duration) *sequencer.Job {
	step := sequencer.Step{Count: count, Estimate: estimate, BestEffort: true}
	last := step
	last.DependsOn = []int{0}
	return sequencer.NewJob(&sequencer.Spec{ID: "j", Steps: []sequencer.Step{step, last}, StretchFactor: 2, LatencyAllowance: time.Second, AcceptedAt: now.Add(-ago)}, 1, nil)
}

// A job whose last tasks are about to start waited behind ones that had just arrived.
func TestATaskThatRunsIsNotLeftToStart(t *testing.T) {
	c := qt.New(t)
	j := bestEffort(20, time.Second, 0)
	c.Assert(RankJob(j, nil, now).Waiting, qt.Equals, 40)
	for n, task := range j.Tasks(0, 0) {
		if n < 15 {
			task.LiveRuns++
		} else {
			j.MarkDone(task)
		}
	}
	c.Assert(RankJob(j, nil, now).Waiting, qt.Equals, 20)
	fresh := RankJob(bestEffort(20, time.Second, time.Second), nil, now)
	c.Assert(RankJob(j, nil, now).Compare(fresh) < 0, qt.IsTrue, qt.Commentf("though it is due a second later"))
}

// A stream of narrow jobs must not keep a wide one from its turn.
func TestAWideJobHasItsTurn(t *testing.T) {
	c := qt.New(t)
	wide := RankJob(bestEffort(80, 20*time.Second, 0), nil, now)
	narrow := func(later time.Duration) Rank { return RankJob(bestEffort(1, 20*time.Second, -later), nil, now) }
	c.Assert(narrow(0).Compare(wide) < 0, qt.IsTrue)
	c.Assert(wide.Compare(narrow(2*80*turnPerTask)) < 0, qt.IsTrue)
}

// Jobs without value must not be ordered by width: the widest would never start.
func TestJobsWithoutValueGoByTheirDates(t *testing.T) {
	c := qt.New(t)
	rank := RankJob(bestEffort(80, time.Second, time.Minute), nil, now)
	c.Assert(rank.Class, qt.Equals, Worthless)
	c.Assert(rank.Compare(RankJob(bestEffort(1, time.Second, time.Minute-time.Second), nil, now)) < 0, qt.IsTrue)
}

// Jobs with a reservation hold what they get for moments: their order stays that of their dates.
func TestReservedJobsGoByTheirDates(t *testing.T) {
	c := qt.New(t)
	c.Assert(rankOf(0, time.Second, 0, sequencer.Step{}).Waiting, qt.Equals, 0)
}

// An estimate that was off by a factor of five either way ranked a job by a date that was not its own, also
// after its first tasks had ended.
func TestEndedTasksCorrectTheRank(t *testing.T) {
	for name, tc := range map[string]struct {
		estimate, took, ago time.Duration
		before, after       Class
	}{
		"takes longer, and so has an objective further off": {time.Second, 5 * time.Second, 5 * time.Second, Late, Filling},
		"takes less, and is late":                           {5 * time.Second, time.Second, 10 * time.Second, Filling, Late},
		"as estimated":                                      {time.Second, time.Second, time.Second, Filling, Filling},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			j := bestEffort(4, tc.estimate, tc.ago)
			var corrections Corrections
			c.Assert(RankJob(j, &corrections, now).Class, qt.Equals, tc.before)
			j.MarkDone(j.Task(0, 0, 0))
			corrections.Learn(0, tc.estimate, tc.took)
			c.Assert(RankJob(j, &corrections, now).Class, qt.Equals, tc.after)
		})
	}
}

// Times and estimates come from callers and workers: none may overflow a date or turn it round.
func TestCorrectionsAreBounded(t *testing.T) {
	c := qt.New(t)
	for _, estimate := range []time.Duration{-time.Second, 0, 1, time.Second, 1000 * time.Hour} {
		for _, took := range []time.Duration{-time.Second, 0, 1, time.Second, math.MaxInt64} {
			var corrections Corrections
			corrections.Learn(0, estimate, took)
			for step := range 2 {
				corrected := corrections.Correct(step, time.Hour)
				c.Check(corrected >= time.Hour/21 && corrected <= 21*time.Hour, qt.IsTrue, qt.Commentf("%v", corrected))
			}
		}
	}
	var none *Corrections
	c.Check(none.Correct(0, time.Second), qt.Equals, time.Second)
}
