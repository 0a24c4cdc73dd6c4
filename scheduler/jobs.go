package scheduler

import (
	"context"
	"errors"
	"fmt"
	"strings"

	"go.uber.org/zap"

	"github.com/endivefall/endivefall/parser"
	"github.com/endivefall/endivefall/recorder"
)

// Submit accepts a run of a job; it is durable when Submit returns. Submitting
// an id again returns the run that was accepted first. While no agent is known, no
// job is rejected as too large.
func (s *Scheduler) Submit(ctx context.Context, id string, spec parser.Job) (*recorder.Run, error) {
	sh, err := s.shardOfRun(id)
	if err != nil {
		return nil, err
	}
	if r := sh.rec.Runs()[id]; r != nil {
		return r, nil
	}
	if largest, fits := s.cfg.Placer.Largest(spec.Need); !fits && largest != (parser.Resources{}) {
		return nil, fmt.Errorf("%w: a task needs %s, the largest instance has %s", ErrTooLarge, formatResources(spec.Need), formatResources(largest))
	}
	if sh.rec.Full() {
		return nil, ErrShardFull
	}
	err = sh.rec.Update(ctx, func(tx *recorder.Tx) error {
		if tx.Run(id) != nil {
			return recorder.ErrUnchanged
		}
		tx.Add(&recorder.Run{ID: id, Spec: spec, State: recorder.Running, Submitted: tx.Now, Deadline: tx.Now.Add(spec.Deadline)})
		return nil
	})
	if err != nil {
		return nil, err
	}
	sh.wakePlanner()
	s.cfg.Log.Info("job accepted", zap.String("run", id), zap.Int("tasks", spec.Tasks))
	return sh.rec.Runs()[id], nil
}

// jobOf returns the team and job of a run id, under which the sizer groups tasks
// of similar size.
func jobOf(run string) string { return run[:max(strings.LastIndex(run, "/"), 0)] }

func formatResources(n parser.Resources) string {
	return fmt.Sprintf("%g processors, %s memory, %d accelerators", n.Processors, n.Memory, n.Accelerators)
}

// Get returns the current state of a run. It reads the store before it reports a run as
// unknown: another entry may have claimed the shard and accepted the run.
func (s *Scheduler) Get(ctx context.Context, id string) (*recorder.Run, error) {
	sh, err := s.shardOfRun(id)
	if err != nil {
		return nil, err
	}
	if r := sh.rec.Runs()[id]; r != nil {
		return r, nil
	}
	return nil, sh.notFound(ctx, id)
}

// notFound returns ErrRunNotFound for a run, or why the shard may have it all the same.
func (sh *shard) notFound(ctx context.Context, id string) error {
	if err := sh.rec.Verify(ctx); err != nil {
		return err
	}
	return fmt.Errorf("%s: %w", id, ErrRunNotFound)
}

// List returns a team's runs, once the store has shown that the shard is still this entry's.
func (s *Scheduler) List(ctx context.Context, team string) ([]*recorder.Run, error) {
	sh, err := s.shardOfRun(team)
	if err != nil {
		return nil, err
	}
	if err := sh.rec.Verify(ctx); err != nil {
		return nil, err
	}
	var list []*recorder.Run
	for id, r := range sh.rec.Runs() {
		if strings.HasPrefix(id, team+"/") {
			list = append(list, r)
		}
	}
	return list, nil
}

// Cancel ends a run. After it returns, no task of the run starts except those
// that an agent is already starting, and these are stopped.
func (s *Scheduler) Cancel(ctx context.Context, id string) (*recorder.Run, error) {
	sh, err := s.shardOfRun(id)
	if err != nil {
		return nil, err
	}
	err = sh.rec.Update(ctx, func(tx *recorder.Tx) error {
		r := tx.Run(id)
		if r == nil {
			return ErrRunNotFound
		}
		if !r.End(recorder.Cancelled, "cancelled", tx.Now) {
			return recorder.ErrUnchanged
		}
		return nil
	})
	if errors.Is(err, ErrRunNotFound) {
		return nil, sh.notFound(ctx, id)
	}
	if err != nil {
		return nil, err
	}
	sh.wakePlanner()
	s.cfg.Log.Info("job cancelled", zap.String("run", id))
	return sh.rec.Runs()[id], nil
}

// Explanation holds the state of a run and the last placement decision for it.
type Explanation struct {
	Run           *recorder.Run `json:"run"`
	LastPlacement *Placement    `json:"last,omitempty"`
}

// Explain returns the state of a run and its last placement.
func (s *Scheduler) Explain(ctx context.Context, id string) (Explanation, error) {
	r, err := s.Get(ctx, id)
	if err != nil {
		return Explanation{}, err
	}
	sh, err := s.shardOfRun(id)
	if err != nil {
		return Explanation{}, err
	}
	sh.mu.Lock()
	defer sh.mu.Unlock()
	e := Explanation{Run: r}
	if p, ok := sh.lastPlacement[id]; ok {
		e.LastPlacement = &p
	}
	return e, nil
}
