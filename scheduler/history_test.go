package scheduler_test

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"github.com/endivefall/endivefall/advancer"
	"github.com/endivefall/endivefall/checker"
	"github.com/endivefall/endivefall/faker"
	"github.com/endivefall/endivefall/logger"
	"github.com/endivefall/endivefall/parser"
	"github.com/endivefall/endivefall/recorder"
)

var (
	seedFlag  = flag.Uint64("seed", 0, "replay only this history")
	histories = flag.Uint64("histories", 300, "how many histories to try")
	verbose   = flag.Bool("narrate", false, "print the log of a replayed history")
)

// TestHistories runs seeded histories of jobs under crashes, cuts, outages,
// lost answers and cancels, and checks what the workers recorded.
func TestHistories(t *testing.T) {
	if *seedFlag != 0 {
		synctest.Test(t, func(t *testing.T) { history(t, *seedFlag) })
		return
	}
	const groups = 8
	for g := range uint64(groups) {
		t.Run(fmt.Sprintf("group-%d", g), func(t *testing.T) {
			t.Parallel()
			for seed := g + 1; seed <= *histories && !t.Failed(); seed += groups {
				synctest.Test(t, func(t *testing.T) { history(t, seed) })
			}
		})
	}
}

func newFleet(t *testing.T, seed uint64) *fleet {
	f := &fleet{
		t: t, seed: seed, thrown: map[string]int{}, log: zap.NewNop(), platform: faker.NewPlatform(), records: &faker.EventLog{},
		entries: map[string]*entryNode{}, agents: map[string]*agentNode{}, cut: map[string]bool{}, busy: map[string]bool{},
	}
	if *verbose {
		f.log, _ = zap.NewDevelopment()
	} else {
		f.log, _ = logger.New(&f.story, "info")
	}
	f.platform.Now = f.clock("platform")
	return f
}

// startWorkers starts two entries and three instances.
func (f *fleet) startWorkers(done chan struct{}) {
	f.startEntry("e1")
	f.startEntry("e2")
	for i := 1; i <= 3; i++ {
		k := faker.NewWorker(fmt.Sprintf("a%d", i), parser.Resources{Processors: 4, Memory: 8 << 30})
		k.Now, k.Events = f.clock(k.Name), f.records
		k.RecordClock = time.Now
		go k.Run(done)
		f.startAgent(k.Name, k)
	}
}

// end stops everything.
func (f *fleet) end(done chan struct{}) {
	for _, e := range f.entries {
		e.kill()
	}
	for _, a := range f.agents {
		a.kill()
	}
	close(done)
	advancer.Sleep(time.Minute) // lets calls that are on their way end
}

// spec is a random job.
func (f *fleet) spec(n int) (string, parser.Job) {
	dice := f.dice("spec")
	j := parser.Job{
		Name: "job", Tasks: 1 + dice.IntN(8), Deadline: time.Hour, Checkpoint: dice.IntN(3) > 0,
		Need:    parser.Resources{Processors: float64(1 + dice.IntN(3)), Memory: 1 << 30},
		Urgent:  dice.IntN(5) == 0,
		Payload: (50*time.Millisecond + time.Duration(dice.IntN(5000))*time.Millisecond).String(),
	}
	kind := []string{"once", "again", "idem"}[dice.IntN(3)]
	switch kind {
	case "again":
		j.Retries = 50
	case "idem":
		j.Idempotent, j.Retries = true, 3
	}
	return fmt.Sprintf("team%d/job/%s-%d", n%3, kind, n), j
}

// submit accepts a run at whichever entry owns it.
func (f *fleet) submit(id string, j parser.Job) bool {
	for range 3000 {
		for _, name := range []string{"e1", "e2"} {
			f.mu.Lock()
			e := f.entries[name]
			f.mu.Unlock()
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			_, err := e.sched.Submit(ctx, id, j)
			cancel()
			if err == nil {
				return true
			}
		}
		advancer.Sleep(200 * time.Millisecond)
	}
	return false
}

// look returns a run as its owner has it.
func (f *fleet) look(id string) *recorder.Run {
	for _, name := range []string{"e1", "e2"} {
		f.mu.Lock()
		e := f.entries[name]
		f.mu.Unlock()
		if r, err := e.sched.Get(id); err == nil {
			return r
		}
	}
	return nil
}

// story keeps the log of a history for the case that it fails.
type story struct {
	mu    sync.Mutex
	lines []string
}

func (s *story) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lines = append(s.lines, string(p))
	return len(p), nil
}

// last returns the end of the story.
func (s *story) last() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return strings.Join(s.lines[max(0, len(s.lines)-told):], "")
}

// told is how many lines of a failed history are printed.
const told = 150

// history is one seeded run of the fleet.
func history(t *testing.T, seed uint64) {
	c := qt.New(t)
	f := newFleet(t, seed)
	done := make(chan struct{})
	f.startWorkers(done)
	ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
	specs := map[string]parser.Job{}
	for n := range 3 + f.dice("jobs").IntN(4) {
		id, j := f.spec(n)
		specs[id] = j
	}
	accepted := make(chan string, len(specs))
	for id, j := range specs {
		go func() {
			advancer.Sleep(f.between(id, 0, 20*time.Second))
			if f.submit(id, j) {
				accepted <- id
				if f.chance(id, 0.15) {
					advancer.Sleep(f.between(id, 0, 10*time.Second))
					for _, e := range []*entryNode{f.entry(), f.entry()} {
						short, stop := context.WithTimeout(context.Background(), 5*time.Second)
						_, _ = e.sched.Cancel(short, id)
						stop()
					}
				}
				return
			}
			accepted <- ""
		}()
	}
	var happened []string
	troubles := make(chan struct{})
	for range 2 { // two faults may be in force at once
		go func() {
			for ctx.Err() == nil {
				f.pause(ctx, 500*time.Millisecond, 12*time.Second)
				one := trouble[f.dice("which").IntN(len(trouble))]
				f.mu.Lock()
				happened = append(happened, one.name)
				f.mu.Unlock()
				f.log.Info("TROUBLE " + one.name)
				one.do(f, ctx)
			}
			troubles <- struct{}{}
		}()
	}
	<-troubles
	<-troubles
	cancel()
	faults := []string{}
	for range specs {
		if <-accepted == "" {
			faults = append(faults, "a job was never accepted")
		}
	}
	if len(faults) == 0 {
		faults = f.settled(specs)
	}
	f.end(done)
	bad := checker.Check(f.records.All(), checker.Rules{
		Exclusive:  func(task string) bool { return !strings.Contains(task, "idem") },
		FinishOnce: func(task string) bool { return strings.Contains(task, "once") },
	})
	if len(bad)+len(faults) > 0 {
		c.Logf("%s", f.story.last())
	}
	note := qt.Commentf("replay with -seed %d; what happened: %v", seed, happened)
	c.Assert(bad, qt.HasLen, 0, note)
	c.Assert(faults, qt.HasLen, 0, note)
}

// settled waits until every run has ended and every grant is back, and returns
// what did not come about.
func (f *fleet) settled(specs map[string]parser.Job) []string {
	var faults []string
	end := time.Now().Add(20 * time.Minute)
	for id, j := range specs {
		r := f.look(id)
		for ; r == nil || r.State == recorder.Running || len(r.Grants) > 0; r = f.look(id) {
			if time.Now().After(end) {
				raw, _ := json.Marshal(r)
				return append(faults, fmt.Sprintf("%s never ends: %s", id, raw))
			}
			advancer.Sleep(time.Second)
		}
		// Only a run that may not run again ends without all its tasks.
		short := r.State == recorder.Done && r.Done.Count() != j.Tasks
		if short || (r.State == recorder.Failed && !strings.Contains(id, "once")) {
			faults = append(faults, fmt.Sprintf("%s ended as %+v", id, r))
		}
	}
	return faults
}
