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
	seedFlag  = flag.Uint64("seed", 0, "replay only the history with this seed")
	histories = flag.Uint64("histories", 300, "number of histories to run")
	verbose   = flag.Bool("narrate", false, "print the log of a replayed history")
)

// TestHistories runs seeded histories of jobs under crashes, network partitions,
// outages, lost replies and cancellations, and checks the workers' records.
func TestHistories(t *testing.T) {
	if *seedFlag != 0 {
		synctest.Test(t, func(t *testing.T) { runHistory(t, *seedFlag) })
		return
	}
	const groups = 8
	for g := range uint64(groups) {
		t.Run(fmt.Sprintf("group-%d", g), func(t *testing.T) {
			t.Parallel()
			for seed := g + 1; seed <= *histories && !t.Failed(); seed += groups {
				synctest.Test(t, func(t *testing.T) { runHistory(t, seed) })
			}
		})
	}
}

func newFleet(t *testing.T, seed uint64) *fleet {
	f := &fleet{
		t: t, seed: seed, draws: map[string]int{}, log: zap.NewNop(), platform: faker.NewPlatform(), records: &faker.EventLog{},
		entries: map[string]*entryNode{}, agents: map[string]*agentNode{}, cut: map[string]bool{}, replacing: map[string]bool{},
	}
	if *verbose {
		f.log, _ = zap.NewDevelopment()
	} else {
		f.log, _ = logger.New(&f.logs, "info")
	}
	f.platform.Now = f.clock("platform")
	return f
}

// startAll starts two entries and three workers with their agents.
func (f *fleet) startAll(done chan struct{}) {
	f.startEntry("e1")
	f.startEntry("e2")
	for i := 1; i <= 3; i++ {
		w := faker.NewWorker(fmt.Sprintf("a%d", i), parser.Resources{Processors: 4, Memory: 8 << 30})
		w.Now, w.Events = f.clock(w.Name), f.records
		w.RecordClock = time.Now
		go w.Run(done)
		f.startAgent(w.Name, w)
	}
}

// stopAll stops all processes and workers.
func (f *fleet) stopAll(done chan struct{}) {
	for _, e := range f.entries {
		e.kill()
	}
	for _, a := range f.agents {
		a.kill()
	}
	close(done)
	advancer.Sleep(time.Minute) // lets calls in flight end
}

// randomJob returns the run id and specification of a random job. The id holds
// the kind of its tasks: once (never retried), again (retried after failures) or
// idem (idempotent, so that they may run in two places at once).
func (f *fleet) randomJob(n int) (string, parser.Job) {
	rng := f.rng("spec")
	j := parser.Job{
		Name: "job", Tasks: 1 + rng.IntN(8), Deadline: time.Hour, Checkpoint: rng.IntN(3) > 0,
		Need:    parser.Resources{Processors: float64(1 + rng.IntN(3)), Memory: 1 << 30},
		Urgent:  rng.IntN(5) == 0,
		Payload: (50*time.Millisecond + time.Duration(rng.IntN(5000))*time.Millisecond).String(),
	}
	kind := []string{"once", "again", "idem"}[rng.IntN(3)]
	switch kind {
	case "again":
		j.Retries = 50
	case "idem":
		j.Idempotent, j.Retries = true, 3
	}
	return fmt.Sprintf("team%d/job/%s-%d", n%3, kind, n), j
}

// submit submits a run to the entries in turn until its owner accepts it.
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

// getRun returns the owner's state of a run, or nil if no entry has it.
func (f *fleet) getRun(id string) *recorder.Run {
	for _, name := range []string{"e1", "e2"} {
		f.mu.Lock()
		e := f.entries[name]
		f.mu.Unlock()
		if r, err := e.sched.Get(context.Background(), id); err == nil {
			return r
		}
	}
	return nil
}

// logBuffer keeps the log of a history, to print if it fails.
type logBuffer struct {
	mu    sync.Mutex
	lines []string
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lines = append(b.lines, string(p))
	return len(p), nil
}

// tail returns the last maxLoggedLines lines of the log.
func (b *logBuffer) tail() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return strings.Join(b.lines[max(0, len(b.lines)-maxLoggedLines):], "")
}

// maxLoggedLines is the number of log lines printed for a failed history.
const maxLoggedLines = 150

// runHistory runs one seeded history on a fleet: jobs are submitted and some are
// cancelled, while faults are injected for 60 s.
func runHistory(t *testing.T, seed uint64) {
	c := qt.New(t)
	f := newFleet(t, seed)
	done := make(chan struct{})
	f.startAll(done)
	ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
	specs := map[string]parser.Job{}
	for n := range 3 + f.rng("jobs").IntN(4) {
		id, j := f.randomJob(n)
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
					for _, e := range []*entryNode{f.randomEntry(), f.randomEntry()} {
						cancelCtx, stopCancel := context.WithTimeout(context.Background(), 5*time.Second)
						_, _ = e.sched.Cancel(cancelCtx, id)
						stopCancel()
					}
				}
				return
			}
			accepted <- ""
		}()
	}
	var injected []string
	injectorDone := make(chan struct{})
	for range 2 { // up to two faults are active at once
		go func() {
			for ctx.Err() == nil {
				f.pause(ctx, 500*time.Millisecond, 12*time.Second)
				fault := faults[f.rng("which").IntN(len(faults))]
				f.mu.Lock()
				injected = append(injected, fault.name)
				f.mu.Unlock()
				f.log.Info("inject fault: " + fault.name)
				fault.do(f, ctx)
			}
			injectorDone <- struct{}{}
		}()
	}
	<-injectorDone
	<-injectorDone
	cancel()
	failures := []string{}
	for range specs {
		if <-accepted == "" {
			failures = append(failures, "a job was never accepted")
		}
	}
	if len(failures) == 0 {
		failures = f.unsettled(specs)
	}
	f.stopAll(done)
	violations := checker.Check(f.records.All(), checker.Rules{
		Exclusive:  func(task string) bool { return !strings.Contains(task, "idem") },
		FinishOnce: func(task string) bool { return strings.Contains(task, "once") },
	})
	if len(violations)+len(failures) > 0 {
		c.Logf("%s", f.logs.tail())
	}
	comment := qt.Commentf("replay with -seed %d; injected faults: %v", seed, injected)
	c.Assert(violations, qt.HasLen, 0, comment)
	c.Assert(failures, qt.HasLen, 0, comment)
}

// unsettled waits until every run has ended and every grant is closed, and returns
// a description of each run that did not end as it should.
func (f *fleet) unsettled(specs map[string]parser.Job) []string {
	var failures []string
	end := time.Now().Add(20 * time.Minute)
	for id, j := range specs {
		r := f.getRun(id)
		for ; r == nil || r.State == recorder.Running || len(r.Grants) > 0; r = f.getRun(id) {
			if time.Now().After(end) {
				raw, _ := json.Marshal(r)
				return append(failures, fmt.Sprintf("%s never ends: %s", id, raw))
			}
			advancer.Sleep(time.Second)
		}
		// Only a run whose tasks may not be retried ends without all of them done.
		incomplete := r.State == recorder.Done && r.Done.Count() != j.Tasks
		if incomplete || (r.State == recorder.Failed && !strings.Contains(id, "once")) {
			failures = append(failures, fmt.Sprintf("%s ended as %+v", id, r))
		}
	}
	return failures
}
