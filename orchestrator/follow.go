package orchestrator

import (
	"context"
	"errors"
	"strings"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/endivefall/endivefall/estimator"
	"github.com/endivefall/endivefall/sequencer"
	"github.com/endivefall/endivefall/storer"
	"github.com/endivefall/endivefall/waiter"
)

// follow reads the ledger, then its changes, until ctx ends.
func (o *Orchestrator) follow(ctx context.Context) {
	for first := true; ctx.Err() == nil; {
		at, err := o.load(ctx, first)
		if err != nil {
			o.cfg.Log.Warn("ledger not read", zap.Error(err))
			waiter.Sleep(ctx, retryPause)
			continue
		}
		first = false
		for ctx.Err() == nil {
			page, err := o.cfg.Store.Watch(ctx, InputPrefix, at, time.Now().Add(watchWait))
			if errors.Is(err, storer.ErrCompacted) {
				o.cfg.Log.Info("history of the ledger is gone; reading it again", zap.Uint64("at", at))
				break
			}
			if err != nil {
				if ctx.Err() == nil {
					o.cfg.Log.Info("watch of the ledger broke", zap.Error(err))
					waiter.Sleep(ctx, retryPause)
				}
				break
			}
			at = max(at, page.Version)
			if len(page.Items) > 0 {
				o.hand(func() { o.take(page.Items) })
			}
		}
	}
}

// load reads the ledger and returns the version from which to watch. Progress
// and agents are read only the first time: nobody but the owner writes them.
func (o *Orchestrator) load(ctx context.Context, first bool) (uint64, error) {
	in, err := o.cfg.Store.List(ctx, InputPrefix)
	if err != nil {
		return 0, err
	}
	if !first {
		o.hand(func() { o.take(in.Items) })
		return in.Version, nil
	}
	out, err := o.cfg.Store.List(ctx, outPrefix)
	if err != nil {
		return 0, err
	}
	agents, err := o.cfg.Store.List(ctx, agentPrefix)
	if err != nil {
		return 0, err
	}
	o.hand(func() { o.begin(in.Items, out.Items, agents.Items) })
	return in.Version, nil
}

// begin takes the ledger over.
func (o *Orchestrator) begin(in, out, agents []storer.Item) {
	progress := map[string]storer.Item{}
	for _, item := range out {
		progress[strings.TrimPrefix(item.Key, outPrefix)] = item
	}
	for _, item := range in {
		id, ok := strings.CutPrefix(item.Key, InputPrefix+"j")
		if !ok {
			continue
		}
		var p *sequencer.Progress
		kept := progress[id]
		if kept.Version != 0 {
			var err error
			if p, err = sequencer.DecodeProgress(kept.Value); err != nil {
				o.cfg.Log.Error("progress can't be read; the job stays as it is", zap.String("job", id), zap.Error(err))
				o.barred[id] = true
				continue
			}
		}
		o.admit(item, p, kept.Version)
	}
	for _, item := range agents {
		id := strings.TrimPrefix(item.Key, agentPrefix)
		a := o.agent(id)
		o.enrolled(a, item.Version, item.Value)
		a.missing = !a.surveyed
		// An earlier owner may have vouched for it until its proof ended.
		a.vouched = later(a.vouched, o.claimed.Add(o.cfg.PreviousOwnerTTL+o.leaseBound()))
	}
	o.take(in) // cancels
	o.loaded, o.plan = true, true
	o.cfg.Log.Info("ledger read", zap.Uint64("term", o.cfg.Term), zap.Int("jobs", len(o.jobs)), zap.Int("open", len(o.open)), zap.Int("agents", len(agents)), zap.Duration("after", o.cfg.Now().Sub(o.claimed)))
	for _, a := range o.agents {
		if a.table != nil {
			o.compare(a, a.table)
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

// leaseBound is how long after a word of the owner a worker's runs have
// surely ended.
func (o *Orchestrator) leaseBound() time.Duration {
	return estimator.MaxLocalElapsed(o.cfg.LeaseDuration) + margin
}

// take takes jobs and cancels as the store shows them.
func (o *Orchestrator) take(items []storer.Item) {
	for _, item := range items {
		rest := strings.TrimPrefix(item.Key, InputPrefix)
		switch {
		case item.Deleted || len(rest) < 2:
		case rest[0] == 'j':
			if id := rest[1:]; o.jobs[id] == nil && !o.barred[id] {
				o.admit(item, nil, 0)
			}
		case rest[0] == 'x':
			o.cancel(rest[1:])
		}
	}
}

// admit takes a job of the ledger.
func (o *Orchestrator) admit(item storer.Item, p *sequencer.Progress, kept uint64) {
	spec, err := sequencer.DecodeSpec(item.Value)
	if err != nil {
		o.cfg.Log.Error("job can't be read", zap.String("key", item.Key), zap.Error(err))
		return
	}
	j := &job{Job: sequencer.NewJob(spec, item.Version, p), live: map[runKey]*run{}}
	j.ProgressVersion = kept
	o.jobs[spec.ID] = j
	if j.Ended() {
		j.over = o.cfg.Now()
		return
	}
	o.open[spec.ID] = j
	o.plan = true
	o.cfg.Log.Info("job taken", zap.String("job", spec.ID), zap.String("queue", spec.Queue), zap.Uint64("version", item.Version), zap.Array("steps", shapes(spec.Steps)), zap.Int("priority", spec.Priority), zap.Duration("age", o.cfg.WallClock().Sub(spec.AcceptedAt)))
}

// shapes tells steps in a log line.
type shapes []sequencer.Step

// MarshalLogArray writes each step's shape.
func (s shapes) MarshalLogArray(to zapcore.ArrayEncoder) error {
	for n := range s {
		to.AppendString(s[n].String())
	}
	return nil
}

// cancel ends a job whose cancel is durable.
func (o *Orchestrator) cancel(id string) {
	j := o.jobs[id]
	if j == nil || j.Ended() {
		return
	}
	j.Canceled, j.DurableState = true, sequencer.Canceled
	o.cfg.Log.Info("job canceled", zap.String("job", id), zap.Int("runs", len(j.live)))
	o.close(j)
}

// close takes a job that is over out of the work: its runs are stopped.
func (o *Orchestrator) close(j *job) {
	delete(o.open, j.Spec.ID)
	o.forgetAdvice(j)
	for _, r := range j.live {
		o.stop(r, "job is over")
	}
	o.plan = true
}
