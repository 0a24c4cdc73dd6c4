// Package demonstrator shows the main job on embedded stand-ins: bookings in
// bursts beside batch work, while an instance is lost and the platform is down.
package demonstrator

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/endivefall/endivefall/checker"
	"github.com/endivefall/endivefall/recorder"
)

// document is what the demo's team runs.
const document = `team: association
services:
  - name: booking
    slots: 8
    connections: 64
    need: {processors: 4, memory: 8GiB}
    contract: {percentile: 99, bound: 250ms}
    deadline: 2s
    priority: 9
    idempotent: [GET]
jobs:
  - {name: rolls, tasks: 120, need: {processors: 1, memory: 1GiB}, retries: 5, deadline: 10m, checkpoint: true, run: 1s}
  - {name: badges, tasks: 200, need: {processors: 1, memory: 1GiB}, idempotent: true, retries: 5, deadline: 10m, run: 300ms}
`

// bound is the contract of the document above.
const bound = 250 * time.Millisecond

// Times of the demo's events, from its start.
const (
	loseAt   = 4 * time.Second
	downAt   = 8 * time.Second
	upAt     = 13 * time.Second
	stopLoad = 17 * time.Second
	patience = time.Minute
)

// ErrInvariantViolated says that a promise was broken.
var ErrInvariantViolated = errors.New("a promise was broken")

// Demonstrator runs the demo.
type Demonstrator struct {
	// Out gets the progress and the table.
	Out io.Writer
	Log *zap.Logger
	f   *fleet
}

// Run runs the demo and returns ErrBroken if a promise did not hold.
func (d *Demonstrator) Run(ctx context.Context) error {
	f, err := start(d.Log, 2, 4)
	d.f = f
	defer f.end()
	if err != nil {
		return err
	}
	d.say("2 entries and 4 instances start, on embedded stand-ins of the platform")
	if err := d.prepare(ctx); err != nil {
		return err
	}
	began := time.Now()
	callers := newCallers(f)
	callers.start()
	steps := []struct {
		at   time.Duration
		text string
		do   func()
	}{
		{loseAt, "an instance is lost, with its target and all its tasks", f.instances[0].lose},
		{downAt, "the platform's store goes down", func() { d.fault(true) }},
		{upAt, "the store is back", func() { d.fault(false) }},
		{stopLoad, "the last bookings are sent", func() {}},
	}
	for _, s := range steps {
		d.wait(ctx, callers, began, s.at)
		s.do()
		d.say("%5.1f s  %s", time.Since(began).Seconds(), s.text)
	}
	callers.end()
	runs, err := d.finish(ctx)
	if err != nil {
		return err
	}
	return d.table(callers, runs, time.Since(began))
}

func (d *Demonstrator) say(format string, args ...any) { fmt.Fprintf(d.Out, format+"\n", args...) }

// wait shows progress until a time since the start.
func (d *Demonstrator) wait(ctx context.Context, c *callers, began time.Time, at time.Duration) {
	for time.Since(began) < at && ctx.Err() == nil {
		next := min(2*time.Second, at-time.Since(began))
		select {
		case <-ctx.Done():
		case <-time.After(next):
		}
		if time.Since(began) < at {
			d.say("%5.1f s  %d bookings done, %d not run, %d unknown", time.Since(began).Seconds(), c.count("done"), c.count("not-run"), c.count("unknown"))
		}
	}
}

func (d *Demonstrator) fault(down bool) {
	d.f.platform.SetFaults(faults(down))
}

// prepare applies the document and submits the jobs, again until the fleet is
// up.
func (d *Demonstrator) prepare(ctx context.Context) error {
	url := "http://" + d.f.entries[0].String()
	if err := eventually(ctx, func() error {
		return send(ctx, http.MethodPut, url+"/v1/teams/association", document, map[string]string{"If-None-Match": "*"}, nil)
	}); err != nil {
		return fmt.Errorf("applying the document: %w", err)
	}
	d.say("the association's document is in force")
	if err := eventually(ctx, d.targets); err != nil {
		return err
	}
	for _, job := range []string{"rolls", "badges"} {
		if err := eventually(ctx, func() error {
			return send(ctx, http.MethodPost, url+"/v1/jobs/association/"+job, "", map[string]string{"Idempotency-Key": "demo"}, nil)
		}); err != nil {
			return fmt.Errorf("submitting %s: %w", job, err)
		}
	}
	d.say("batch jobs rolls (120 tasks, never in two places) and badges (200, may run again) are accepted")
	return nil
}

var errTargets = errors.New("not every entry sees every target")

// targets says whether every entry sees every target.
func (d *Demonstrator) targets() error {
	for _, addr := range d.f.entries {
		var s struct {
			Services map[string][]struct{ ID string }
		}
		if err := send(context.Background(), http.MethodGet, "http://"+addr.String()+"/v1/status", "", nil, &s); err != nil {
			return err
		}
		if len(s.Services["association/booking"]) != len(d.f.instances) {
			return errTargets
		}
	}
	return nil
}

// finish waits for the end of the jobs.
func (d *Demonstrator) finish(ctx context.Context) ([]recorder.Run, error) {
	var runs []recorder.Run
	err := eventually(ctx, func() error {
		runs = nil
		if err := send(ctx, http.MethodGet, "http://"+d.f.entries[0].String()+"/v1/jobs/association", "", nil, &runs); err != nil {
			return err
		}
		for _, r := range runs {
			if r.State == recorder.Running {
				return fmt.Errorf("%s still runs, %d of %d tasks done", r.ID, r.Done.Count(), r.Spec.Tasks)
			}
		}
		return nil
	})
	return runs, err
}

// table prints what came out, and says whether all promises held.
func (d *Demonstrator) table(c *callers, runs []recorder.Run, took time.Duration) error {
	tasks, evictions, ended := 0, 0, true
	for _, r := range runs {
		tasks += r.Done.Count()
		evictions += r.Evictions
		ended = ended && r.State == recorder.Done
	}
	bad := checker.Check(append(d.f.records(), c.told.All()...), checker.Rules{
		Exclusive:  func(task string) bool { return strings.Contains(task, ":rolls:") },
		FinishOnce: func(string) bool { return false },
	})
	met, windows := c.windows()
	d.say("")
	d.say("%-44s %s", "bookings done / not run / unknown", fmt.Sprintf("%d / %d / %d", c.count("done"), c.count("not-run"), c.count("unknown")))
	d.say("%-44s %s", "latency p50 / p99 (contract p99 "+bound.String()+")", fmt.Sprintf("%v / %v", c.quantile(0.5), c.quantile(0.99)))
	d.say("%-44s %d of %d", "seconds in which the contract was met", met, windows)
	d.say("%-44s %d in %.0f s (%.1f a second)", "batch tasks done", tasks, took.Seconds(), float64(tasks)/took.Seconds())
	d.say("%-44s %d", "evictions", evictions)
	for _, p := range []string{checker.Overcommitted, checker.RanConcurrently, checker.ResumedWrong, checker.RanTwice, checker.NotRunRan, checker.WrongAnswer} {
		d.say("%-60s %s", p, held(bad, p))
	}
	if len(bad) > 0 || !ended || c.quantile(0.99) > bound {
		for _, v := range bad {
			d.say("! %s", v)
		}
		if !ended {
			d.say("! a batch job did not end well")
		}
		return ErrInvariantViolated
	}
	return nil
}

func held(bad []checker.Violation, promise string) string {
	for _, v := range bad {
		if v.Invariant == promise {
			return "BROKEN"
		}
	}
	return "held"
}
