package scheduler

import (
	"context"
	"fmt"
	"strings"

	"go.uber.org/zap"

	"github.com/endivefall/endivefall/parser"
	"github.com/endivefall/endivefall/recorder"
)

// Submit accepts a run of a job; it is durable when Submit returns. The same
// id again returns the run that was accepted first.
func (s *Scheduler) Submit(ctx context.Context, id string, spec parser.Job) (*recorder.Run, error) {
	sh, err := s.ofRun(id)
	if err != nil {
		return nil, err
	}
	if r := sh.rec.Runs()[id]; r != nil {
		return r, nil
	}
	if largest, fits := s.cfg.Placer.Largest(spec.Need); !fits && largest != (parser.Resources{}) {
		return nil, fmt.Errorf("%w: a task needs %s, the largest instance has %s", ErrTooLarge, describe(spec.Need), describe(largest))
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
	sh.nudge()
	s.cfg.Log.Info("job accepted", zap.String("run", id), zap.Int("tasks", spec.Tasks))
	return sh.rec.Runs()[id], nil
}

// kindOf names tasks of like size: the team and the job, without the run.
func kindOf(run string) string { return run[:max(strings.LastIndex(run, "/"), 0)] }

func describe(n parser.Resources) string {
	return fmt.Sprintf("%g processors, %s memory, %d accelerators", n.Processors, n.Memory, n.Accelerators)
}

// Get returns a run as it stands.
func (s *Scheduler) Get(id string) (*recorder.Run, error) {
	sh, err := s.ofRun(id)
	if err != nil {
		return nil, err
	}
	if r := sh.rec.Runs()[id]; r != nil {
		return r, nil
	}
	return nil, fmt.Errorf("%s: %w", id, ErrRunNotFound)
}

// List returns a team's runs.
func (s *Scheduler) List(team string) ([]*recorder.Run, error) {
	sh, err := s.ofRun(team)
	if err != nil {
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

// Cancel ends a run for good: nothing of it starts after Cancel returns but
// what an agent was already starting, and that is stopped.
func (s *Scheduler) Cancel(ctx context.Context, id string) (*recorder.Run, error) {
	sh, err := s.ofRun(id)
	if err != nil {
		return nil, err
	}
	err = sh.rec.Update(ctx, func(tx *recorder.Tx) error {
		r := tx.Run(id)
		if r == nil {
			return fmt.Errorf("%s: %w", id, ErrRunNotFound)
		}
		if !r.End(recorder.Cancelled, "cancelled", tx.Now) {
			return recorder.ErrUnchanged
		}
		return nil
	})
	if err != nil {
		return nil, err
	}
	sh.nudge()
	s.cfg.Log.Info("job cancelled", zap.String("run", id))
	return sh.rec.Runs()[id], nil
}

// Explanation is where a run stands and why its last grant went where it did.
type Explanation struct {
	Run           *recorder.Run `json:"run"`
	LastPlacement *Placement    `json:"last,omitempty"`
}

// Explain tells why a run's tasks are where they are.
func (s *Scheduler) Explain(id string) (Explanation, error) {
	r, err := s.Get(id)
	if err != nil {
		return Explanation{}, err
	}
	sh, err := s.ofRun(id)
	if err != nil {
		return Explanation{}, err
	}
	sh.mu.Lock()
	defer sh.mu.Unlock()
	e := Explanation{Run: r}
	if p, ok := sh.explained[id]; ok {
		e.LastPlacement = &p
	}
	return e, nil
}
