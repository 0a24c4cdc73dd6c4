// Package demonstrator runs a demo on embedded fakes: bursts of bookings and batch
// jobs share instances while one instance is lost and the platform's store is down.
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

// teamDocument is the document of the demo's team.
const teamDocument = `team: association
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

// latencyLimit is the latency limit of the contract in teamDocument.
const latencyLimit = 250 * time.Millisecond

// Times of the demo's events since its start, and the time limit of eventually.
const (
	instanceLossAt  = 4 * time.Second
	storeOutageAt   = 8 * time.Second
	storeRecoveryAt = 13 * time.Second
	lastBookingAt   = 17 * time.Second
	retryTimeout    = time.Minute
)

// ErrInvariantViolated is returned by Run if a check of its results failed.
var ErrInvariantViolated = errors.New("an invariant was violated")

// Demonstrator runs the demo.
type Demonstrator struct {
	// Out receives the progress and the table of results.
	Out   io.Writer
	Log   *zap.Logger
	fleet *localFleet
}

// Run runs the demo. It returns ErrInvariantViolated if an invariant was violated,
// the latency contract was missed or a batch job did not complete.
func (d *Demonstrator) Run(ctx context.Context) error {
	f, err := startFleet(d.Log, 2, 4)
	d.fleet = f
	defer f.stop()
	if err != nil {
		return err
	}
	d.printf("2 entries and 4 instances start, on embedded stand-ins of the platform")
	if err := d.prepare(ctx); err != nil {
		return err
	}
	startedAt := time.Now()
	callers := newCallers(f)
	callers.start()
	steps := []struct {
		at   time.Duration
		text string
		do   func()
	}{
		{instanceLossAt, "an instance is lost, with its target and all its tasks", f.instances[0].crash},
		{storeOutageAt, "the platform's store goes down", func() { d.setStoreDown(true) }},
		{storeRecoveryAt, "the store is back", func() { d.setStoreDown(false) }},
		{lastBookingAt, "the last bookings are sent", func() {}},
	}
	for _, step := range steps {
		d.waitUntil(ctx, callers, startedAt, step.at)
		step.do()
		d.printf("%5.1f s  %s", time.Since(startedAt).Seconds(), step.text)
	}
	callers.stop()
	runs, err := d.awaitJobs(ctx)
	if err != nil {
		return err
	}
	return d.report(callers, runs, time.Since(startedAt))
}

func (d *Demonstrator) printf(format string, args ...any) { fmt.Fprintf(d.Out, format+"\n", args...) }

// waitUntil prints progress until the given offset from the start.
func (d *Demonstrator) waitUntil(ctx context.Context, c *callers, startedAt time.Time, offset time.Duration) {
	for time.Since(startedAt) < offset && ctx.Err() == nil {
		next := min(2*time.Second, offset-time.Since(startedAt))
		select {
		case <-ctx.Done():
		case <-time.After(next):
		}
		if time.Since(startedAt) < offset {
			d.printf("%5.1f s  %d bookings done, %d not run, %d unknown", time.Since(startedAt).Seconds(), c.count("done"), c.count("not-run"), c.count("unknown"))
		}
	}
}

func (d *Demonstrator) setStoreDown(down bool) {
	d.fleet.platform.SetFaults(platformFaults(down))
}

// prepare applies the document and submits the jobs, retrying until the fleet is
// ready.
func (d *Demonstrator) prepare(ctx context.Context) error {
	url := "http://" + d.fleet.entries[0].String()
	if err := eventually(ctx, func() error {
		return callEntry(ctx, http.MethodPut, url+"/v1/teams/association", teamDocument, map[string]string{"If-None-Match": "*"}, nil)
	}); err != nil {
		return fmt.Errorf("applying the document: %w", err)
	}
	d.printf("the association's document is in force")
	if err := eventually(ctx, d.checkTargets); err != nil {
		return err
	}
	for _, job := range []string{"rolls", "badges"} {
		if err := eventually(ctx, func() error {
			return callEntry(ctx, http.MethodPost, url+"/v1/jobs/association/"+job, "", map[string]string{"Idempotency-Key": "demo"}, nil)
		}); err != nil {
			return fmt.Errorf("submitting %s: %w", job, err)
		}
	}
	d.printf("batch jobs rolls (120 tasks, never in two places) and badges (200, may run again) are accepted")
	return nil
}

var errMissingTargets = errors.New("not every entry sees every target")

// checkTargets returns an error unless every entry sees every target.
func (d *Demonstrator) checkTargets() error {
	for _, addr := range d.fleet.entries {
		var status struct {
			Services map[string][]struct{ ID string }
		}
		if err := callEntry(context.Background(), http.MethodGet, "http://"+addr.String()+"/v1/status", "", nil, &status); err != nil {
			return err
		}
		if len(status.Services["association/booking"]) != len(d.fleet.instances) {
			return errMissingTargets
		}
	}
	return nil
}

// awaitJobs waits until no job is running and returns the runs.
func (d *Demonstrator) awaitJobs(ctx context.Context) ([]recorder.Run, error) {
	var runs []recorder.Run
	err := eventually(ctx, func() error {
		runs = nil
		if err := callEntry(ctx, http.MethodGet, "http://"+d.fleet.entries[0].String()+"/v1/jobs/association", "", nil, &runs); err != nil {
			return err
		}
		for _, r := range runs {
			if r.State == recorder.Running {
				return fmt.Errorf("%s is still running, %d of %d tasks done", r.ID, r.Done.Count(), r.Spec.Tasks)
			}
		}
		return nil
	})
	return runs, err
}

// report prints the table of results and returns ErrInvariantViolated if a check
// failed.
func (d *Demonstrator) report(c *callers, runs []recorder.Run, elapsed time.Duration) error {
	tasks, evictions, allDone := 0, 0, true
	for _, r := range runs {
		tasks += r.Done.Count()
		evictions += r.Evictions
		allDone = allDone && r.State == recorder.Done
	}
	violations := checker.Check(append(d.fleet.events(), c.replies.All()...), checker.Rules{
		Exclusive:  func(task string) bool { return strings.Contains(task, ":rolls:") },
		FinishOnce: func(string) bool { return false },
	})
	met, total := c.secondsWithinContract()
	d.printf("")
	d.printf("%-44s %s", "bookings done / not run / unknown", fmt.Sprintf("%d / %d / %d", c.count("done"), c.count("not-run"), c.count("unknown")))
	d.printf("%-44s %s", "latency p50 / p99 (contract p99 "+latencyLimit.String()+")", fmt.Sprintf("%v / %v", c.quantile(0.5), c.quantile(0.99)))
	d.printf("%-44s %d of %d", "seconds in which the contract was met", met, total)
	d.printf("%-44s %d in %.0f s (%.1f a second)", "batch tasks done", tasks, elapsed.Seconds(), float64(tasks)/elapsed.Seconds())
	d.printf("%-44s %d", "evictions", evictions)
	for _, invariant := range []string{checker.Overcommitted, checker.RanConcurrently, checker.WronglyResumed, checker.RanTwice, checker.NotRunRan, checker.WrongAnswer} {
		d.printf("%-60s %s", invariant, checkResult(violations, invariant))
	}
	if len(violations) > 0 || !allDone || c.quantile(0.99) > latencyLimit {
		for _, v := range violations {
			d.printf("! %s", v)
		}
		if !allDone {
			d.printf("! a batch job did not complete successfully")
		}
		return ErrInvariantViolated
	}
	return nil
}

func checkResult(violations []checker.Violation, invariant string) string {
	for _, v := range violations {
		if v.Invariant == invariant {
			return "BROKEN"
		}
	}
	return "held"
}
