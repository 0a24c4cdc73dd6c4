package preemptor

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestOrder(t *testing.T) {
	run := func(name string, change func(*Run)) Run {
		r := Run{Name: name, Priority: 2, CPU: 7000, Unsaved: time.Second, Left: 2 * time.Second}
		change(&r)
		return r
	}
	// In the order in which they are stopped.
	want := []Run{
		run("lower priority", func(r *Run) { r.Priority = 3 }),
		run("just begun", func(r *Run) { r.Unsaved = 50 * time.Millisecond }),
		run("narrow", func(r *Run) { r.CPU = 500 }),
		run("just saved", func(r *Run) { r.Saved, r.Unsaved = true, 100*time.Millisecond }),
		run("a second of work", func(*Run) {}),
		run("saved a second ago", func(r *Run) { r.Saved = true }),
		run("higher priority", func(r *Run) { r.Priority, r.Unsaved = 1, 0 }),
		run("no progress since its last stop", func(r *Run) { r.Unprogressed, r.Unsaved = true, 0 }),
		run("about to end", func(r *Run) { r.Left = endingSoon - time.Millisecond }),
	}
	c := qt.New(t)
	for seed := range 20 {
		runs := slices.Clone(want)
		r := rand.New(rand.NewPCG(uint64(seed), 0))
		r.Shuffle(len(runs), func(i, j int) { runs[i], runs[j] = runs[j], runs[i] })
		var names []string
		for _, n := range Order(runs) {
			names = append(names, runs[n].Name)
		}
		for n := range want {
			c.Assert(names[n], qt.Equals, want[n].Name)
		}
	}
}

// task is a task of the replay.
type task struct {
	name        string
	total       time.Duration
	done, saved time.Duration // of total
	restore     time.Duration // left to read of its checkpoint
	stopped     bool          // and nothing saved since
	firstAt     time.Duration // when it started first
}

// outcome is what a replay comes to.
type outcome struct {
	lost           time.Duration // work thrown away
	ended, useless int           // tasks, and stops of tasks without progress since the one before
	longest        time.Duration // from the first start of a task to its end
}

// replay keeps runs on slots for two minutes. Each half second, a task that may not wait takes the slot of
// the run that choose names for 300 ms; the task of that run starts again when a slot is free.
func replay(seed uint64, choose func([]*task, []Run) int) outcome {
	const (
		slots    = 20
		tick     = 50 * time.Millisecond
		save     = time.Second
		interval = 500 * time.Millisecond
		away     = 300 * time.Millisecond
	)
	r := rand.New(rand.NewPCG(seed, 0))
	created := 0
	var o outcome
	var running, waiting []*task
	var takenUntil []time.Duration
	for at := time.Duration(0); at < 2*time.Minute; at += tick {
		takenUntil = slices.DeleteFunc(takenUntil, func(until time.Duration) bool { return until <= at })
		for len(running)+len(takenUntil) < slots {
			if len(waiting) == 0 {
				created++
				waiting = append(waiting, &task{name: fmt.Sprint(created), firstAt: at, total: time.Duration((0.5 + 2.4*r.Float64()) * float64(time.Second))})
			}
			running, waiting = append(running, waiting[0]), waiting[1:]
		}
		for _, t := range running {
			if t.restore > 0 {
				t.restore -= tick
				continue
			}
			t.done += tick
			if t.done-t.saved >= save {
				t.saved, t.stopped = t.done, false
			}
			if t.done >= t.total {
				o.ended++
				o.longest = max(o.longest, at-t.firstAt)
			}
		}
		running = slices.DeleteFunc(running, func(t *task) bool { return t.done >= t.total })
		if at%interval != 0 || len(running) == 0 {
			continue
		}
		runs := make([]Run, len(running))
		for n, t := range running {
			runs[n] = Run{Name: t.name, Priority: 2, CPU: 1000, Unsaved: t.done - t.saved, Left: t.total - t.done + t.restore, Saved: t.saved > 0, Unprogressed: t.stopped}
		}
		n := choose(running, runs)
		t := running[n]
		o.lost += time.Duration(runs[n].Loss() * float64(time.Second))
		if t.stopped {
			o.useless++
		}
		if t.done = t.saved; t.saved > 0 {
			t.restore = restoreTime
		}
		t.stopped = true
		running, waiting = slices.Delete(running, n, n+1), append(waiting, t)
		takenUntil = append(takenUntil, at+away)
	}
	return o
}

// leastProgress is the choice before: a run that has begun last may have been stopped just before.
func leastProgress(tasks []*task, _ []Run) int {
	best := 0
	for n, t := range tasks {
		if float64(t.done)/float64(t.total) < float64(tasks[best].done)/float64(tasks[best].total) {
			best = n
		}
	}
	return best
}

// 1,861 of 13,393 runs were stopped on the hardest day, those with the least progress first: some of them
// each time they started, so that their jobs waited for them. No task may be stopped twice without
// progress, and that must not cost more work.
func TestStopsThrowAwayLittle(t *testing.T) {
	c := qt.New(t)
	random := rand.New(rand.NewPCG(9, 9))
	results := map[string]*outcome{}
	for name, choose := range map[string]func([]*task, []Run) int{
		"built":          func(_ []*task, runs []Run) int { return Order(runs)[0] },
		"least progress": leastProgress,
		"random":         func(_ []*task, runs []Run) int { return random.IntN(len(runs)) },
	} {
		sum := &outcome{}
		for seed := range 10 {
			o := replay(uint64(seed), choose)
			sum.lost, sum.ended, sum.useless, sum.longest = sum.lost+o.lost, sum.ended+o.ended, sum.useless+o.useless, max(sum.longest, o.longest)
		}
		results[name] = sum
		t.Logf("%-15s %5.0f s thrown away, %d tasks ended, %d stops without progress in between, longest task %v", name, sum.lost.Seconds(), sum.ended, sum.useless, sum.longest)
	}
	built := results["built"]
	c.Check(built.useless, qt.Equals, 0)
	c.Check(built.longest < results["least progress"].longest, qt.IsTrue)
	c.Check(built.lost < results["least progress"].lost, qt.IsTrue)
	c.Check(built.lost < results["random"].lost/2, qt.IsTrue)
}
