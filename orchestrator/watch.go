package orchestrator

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/endivefall/endivefall/estimator"
	"github.com/endivefall/endivefall/meter"
	"github.com/endivefall/endivefall/registrar"
	"github.com/endivefall/endivefall/sequencer"
	"github.com/endivefall/endivefall/storer"
	"github.com/endivefall/endivefall/waiter"
)

// watchLedger reads the ledger and then watches it for new inputs, until ctx ends.
func (o *Orchestrator) watchLedger(ctx context.Context) {
	for first := true; ctx.Err() == nil; {
		version, err := o.loadLedger(ctx, first)
		if err != nil {
			o.cfg.Log.Warn("ledger not read; retrying", zap.Error(err))
			waiter.Sleep(ctx, storeRetryDelay)
			continue
		}
		first = false
		for ctx.Err() == nil {
			page, err := o.cfg.Store.Watch(ctx, InputPrefix, version, time.Now().Add(watchTimeout))
			if errors.Is(err, storer.ErrCompacted) {
				o.cfg.Log.Info("ledger history was compacted; reading the ledger again", zap.Uint64("at", version))
				break
			}
			if err != nil {
				if ctx.Err() == nil {
					o.cfg.Log.Info("ledger watch failed", zap.Error(err))
					waiter.Sleep(ctx, storeRetryDelay)
				}
				break
			}
			version = max(version, page.Version)
			if len(page.Items) > 0 {
				o.enqueue(func() { o.handleInputsUntil(page) })
			}
		}
	}
}

// loadLedger reads the ledger and returns the version from which to watch. Progress
// and agents are read only the first time: the owner writes them, and learns from a conflict
// that an agent has closed its own registration.
func (o *Orchestrator) loadLedger(ctx context.Context, first bool) (uint64, error) {
	if !first {
		var unknown []storer.Item // a job is not added before its cancellation is read, which is on a later page
		version, err := o.cfg.Store.ListEach(ctx, InputPrefix, func(items []storer.Item) {
			o.enqueueAndWait(func() { unknown = append(unknown, o.unknownInputs(items)...) })
		})
		if err != nil {
			return 0, err
		}
		o.enqueue(func() { o.handleInputsUntil(storer.Page{Items: unknown, Version: version}) })
		return version, nil
	}
	// No earlier owner writes any more, so that the progress is that of the inputs that are read after it.
	progress, err := o.cfg.Store.List(ctx, progressPrefix)
	if err != nil {
		return 0, err
	}
	byJob := progressByJob(progress.Items)
	version, err := o.cfg.Store.ListEach(ctx, InputPrefix, func(items []storer.Item) {
		o.enqueueAndWait(func() { o.takeOverInputs(items, byJob) })
	})
	if err != nil {
		return 0, err
	}
	agents, err := o.cfg.Store.List(ctx, registrar.Prefix)
	if err != nil {
		return 0, err
	}
	lastRoster, err := o.cfg.Store.Get(ctx, rosterKey)
	if err != nil && !errors.Is(err, storer.ErrNotFound) {
		return 0, err
	}
	o.enqueue(func() {
		o.takeOverAgents(agents.Items)
		o.loadRoster(lastRoster)
		o.inputVersion = version
	})
	return version, nil
}

// enqueueAndWait passes an action to the owner's loop and waits until it is done, so that a page of the ledger is
// read only once the one before it need not be kept any more.
func (o *Orchestrator) enqueueAndWait(action func()) {
	done := make(chan struct{})
	o.enqueue(func() {
		defer close(done)
		action()
	})
	select {
	case <-done:
	case <-o.stopped:
	}
}

// takeOver initializes the state from the contents of the ledger.
func (o *Orchestrator) takeOver(inputs, progress, agents []storer.Item) {
	o.takeOverInputs(inputs, progressByJob(progress))
	o.takeOverAgents(agents)
}

func progressByJob(progress []storer.Item) map[string]storer.Item {
	byJob := map[string]storer.Item{}
	for _, item := range progress {
		byJob[strings.TrimPrefix(item.Key, progressPrefix)] = item
	}
	return byJob
}

// takeOverInputs adds the jobs of a page of the ledger, with their progress, and handles its cancellations, which
// come after all jobs. A page that is read again changes nothing.
func (o *Orchestrator) takeOverInputs(inputs []storer.Item, progress map[string]storer.Item) {
	for _, item := range inputs {
		id, ok := strings.CutPrefix(item.Key, InputPrefix+"j")
		if !ok || o.jobs[id] != nil || o.unreadableJobs[id] {
			continue
		}
		var p *sequencer.Progress
		stored, ok := progress[id]
		if ok {
			var err error
			if p, err = sequencer.DecodeProgress(stored.Value); err != nil {
				o.cfg.Log.Error("progress can't be decoded; the job is not scheduled", zap.String("job", id), zap.Error(err))
				o.cfg.Count(meter.UnreadableProgress)
				o.unreadableJobs[id] = true
				continue
			}
		}
		o.addJob(item, p, stored.Version)
	}
	o.handleInputs(inputs) // for the cancellations
}

// takeOverAgents adds the agents of the ledger, after all of its jobs. Tasks may start from then on.
func (o *Orchestrator) takeOverAgents(agents []storer.Item) {
	for _, item := range agents {
		id := strings.TrimPrefix(item.Key, registrar.Prefix)
		a := o.agent(id)
		o.loadRegistration(a, item, true)
		a.hasUnknownRuns = !a.reconciled
		// An earlier owner may have renewed its lease until the confirmation of its
		// own ownership expired.
		a.leaseExpiresAt = later(a.leaseExpiresAt, o.renewedUntil(a).Add(o.maxLeaseElapsed()))
	}
	o.loaded, o.planDue = true, true
	o.cfg.Log.Info("ledger loaded", zap.Uint64("term", o.cfg.Term), zap.Int("jobs", len(o.jobs)), zap.Int("open", len(o.openJobs)), zap.Int("agents", len(agents)), zap.Duration("after", o.cfg.Now().Sub(o.cfg.ClaimedAt)))
	for _, a := range o.agents {
		if a.snapshot != nil {
			o.applySnapshot(a, a.snapshot)
		}
	}
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// maxLeaseElapsed returns how long after a renewal by the owner the runs of a
// worker have certainly ended.
func (o *Orchestrator) maxLeaseElapsed() time.Duration {
	return estimator.MaxLocalElapsed(o.cfg.LeaseDuration) + leaseMargin
}

// handleInputsUntil processes the unknown inputs of a list, or a page of a watch, which has all inputs up to its
// version that no earlier page had. A list that was read while jobs were deleted may still
// show them, and lack their cancellations.
func (o *Orchestrator) handleInputsUntil(page storer.Page) {
	items := slices.DeleteFunc(page.Items, func(item storer.Item) bool {
		id, isJob := strings.CutPrefix(item.Key, InputPrefix+"j")
		return isJob && item.Version <= o.inputVersion && o.jobs[id] == nil
	})
	o.handleInputs(items)
	o.inputVersion = max(o.inputVersion, page.Version)
}

// unknownInputs returns those inputs of a list that are no jobs which are known.
func (o *Orchestrator) unknownInputs(items []storer.Item) []storer.Item {
	var unknown []storer.Item
	for _, item := range items {
		id, isJob := strings.CutPrefix(item.Key, InputPrefix+"j")
		if !isJob || o.jobs[id] == nil && !o.unreadableJobs[id] {
			unknown = append(unknown, item)
		}
	}
	return unknown
}

// handleInputs processes accepted jobs and cancellations from the ledger. A later owner
// starts jobs that are newer than its claim at once, so they are none of this one's.
func (o *Orchestrator) handleInputs(items []storer.Item) {
	for _, item := range items {
		if item.Key == ClaimKey && item.Version > o.cfg.Epoch {
			o.stopReason = ErrOwnershipLost
			return
		}
	}
	for _, item := range items {
		id, isJob := strings.CutPrefix(item.Key, InputPrefix+"j")
		if isJob && !item.Deleted && id != "" && o.jobs[id] == nil && !o.unreadableJobs[id] {
			o.addJob(item, nil, 0)
		}
	}
	// A job and its cancel may be stored together, and listed in any order.
	for _, item := range items {
		if id, isCancel := strings.CutPrefix(item.Key, InputPrefix+"x"); isCancel && !item.Deleted {
			o.cancelJob(id)
		}
	}
}

// addJob adds a job from the ledger.
func (o *Orchestrator) addJob(item storer.Item, progress *sequencer.Progress, progressVersion uint64) {
	spec, err := sequencer.DecodeSpec(item.Value)
	if err == nil && JobKey(spec.ID) != item.Key {
		err = fmt.Errorf("%w: it is job %s", sequencer.ErrInvalid, spec.ID)
	}
	if err != nil {
		o.cfg.Log.Error("job can't be decoded", zap.String("key", item.Key), zap.Error(err))
		o.cfg.Count(meter.UnreadableJobs)
		return
	}
	j := &job{Job: sequencer.NewJob(spec, item.Version, progress), liveRuns: map[runKey]*run{}, grantRevisions: map[*sequencer.Task]uint64{}, results: map[int]*results{}}
	j.ProgressVersion = progressVersion
	j.suspected = progress != nil && slices.ContainsFunc(progress.Tasks, func(r sequencer.TaskRecord) bool { return r.CrashOdds > 0 })
	o.jobs[spec.ID] = j
	if j.Ended() {
		j.endedAt = o.cfg.Now()
		spec.Shrink()
		return
	}
	o.openJobs[spec.ID] = j
	o.loadGrants(j)
	o.followQueue(j)
	o.planDue = true
	o.cfg.Log.Info("job added", zap.String("job", spec.ID), zap.String("queue", spec.Queue), zap.Uint64("version", item.Version), zap.Array("steps", loggedSteps(spec.Steps)), zap.Int("priority", spec.Priority), zap.Duration("age", o.cfg.WallClock().Sub(spec.AcceptedAt)))
}

// loggedSteps formats steps for a log line.
type loggedSteps []sequencer.Step

// MarshalLogArray appends a description of each step.
func (s loggedSteps) MarshalLogArray(enc zapcore.ArrayEncoder) error {
	for n := range s {
		enc.AppendString(s[n].String())
	}
	return nil
}

// cancelJob ends a job whose cancellation is durable. While its end is being written, the
// outcome of that write decides which of the two came first.
func (o *Orchestrator) cancelJob(id string) {
	j := o.jobs[id]
	if j != nil && j.endWriting {
		j.cancelWaiting = true
		return
	}
	if j == nil || j.Ended() {
		return
	}
	j.Canceled, j.DurableState = true, sequencer.Canceled
	o.cfg.Log.Info("job canceled", zap.String("job", id), zap.Int("runs", len(j.liveRuns)))
	o.closeJob(j)
}

// closeJob removes an ended job from scheduling and stops its runs.
func (o *Orchestrator) closeJob(j *job) {
	delete(o.openJobs, j.Spec.ID)
	o.forgetPolicy(j)
	for _, r := range j.liveRuns {
		o.stopRun(r, "job has ended")
	}
	o.planDue = true
}
