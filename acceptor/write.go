package acceptor

import (
	"context"
	"errors"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/endivefall/endivefall/orchestrator"
	"github.com/endivefall/endivefall/sequencer"
	"github.com/endivefall/endivefall/storer"
	"github.com/endivefall/endivefall/waiter"
)

// submission is a job on its way to the store.
type submission struct {
	spec  *sequencer.Spec
	value []byte
	// until is when the caller stops waiting.
	until time.Time
	// begun is when it came.
	begun time.Time
	// doubt is set once a write that may have it got no answer.
	doubt bool
	// done gets the outcome; it has room for it.
	done chan error
}

// writeLoop writes what waits, several jobs at a time.
func (a *Acceptor) writeLoop(ctx context.Context) {
	for {
		var batch []*submission
		select {
		case <-ctx.Done():
			return
		case s := <-a.in:
			batch = append(batch, s)
		}
		for more := true; more && len(batch) < batchJobs; {
			select {
			case s := <-a.in:
				batch = append(batch, s)
			default:
				more = false
			}
		}
		for len(batch) > 0 && ctx.Err() == nil {
			batch = a.write(ctx, batch)
		}
		for _, s := range batch {
			s.done <- a.outcome(s)
		}
	}
}

// outcome is what a caller is told of a job that was not seen stored.
func (a *Acceptor) outcome(s *submission) error {
	if s.doubt {
		return ErrUnknownOutcome
	}
	return a.refuse(s.spec.ID, "the store did not take it")
}

// write sends one transaction and returns the submissions that need another.
func (a *Acceptor) write(ctx context.Context, batch []*submission) []*submission {
	var change storer.Transaction
	seen := map[string]bool{}
	var later []*submission
	for _, s := range batch {
		if seen[s.spec.ID] {
			later = append(later, s)
			continue
		}
		seen[s.spec.ID] = true
		key := orchestrator.JobKey(s.spec.ID)
		change.Checks = append(change.Checks, storer.Check{Key: key})
		change.Writes = append(change.Writes, storer.Write{Key: key, Value: s.value})
	}
	_, err := a.cfg.Store.Commit(ctx, change)
	var clash *storer.ConflictError
	switch {
	case err == nil:
		a.down.Store(0)
		for _, s := range batch {
			if !slices.Contains(later, s) {
				s.done <- nil
			}
		}
		return later
	case errors.As(err, &clash):
		a.down.Store(0)
		var rest []*submission
		for _, s := range batch {
			if clash.Item(orchestrator.JobKey(s.spec.ID)).Version != 0 {
				s.done <- nil // it is stored already
				continue
			}
			rest = append(rest, s)
		}
		return rest
	}
	a.down.CompareAndSwap(0, a.cfg.Now().UnixNano())
	unsettled := !errors.Is(err, storer.ErrUnavailable)
	now := a.cfg.Now()
	var rest, given []*submission
	var doubts []string
	for _, s := range batch {
		if unsettled && !s.doubt {
			s.doubt = true
			doubts = append(doubts, s.spec.ID)
		}
		limit := s.begun.Add(patience)
		if s.doubt {
			limit = s.begun.Add(doubtPatience)
		}
		if now.Before(limit) && now.Before(s.until.Add(-replyMargin)) {
			rest = append(rest, s)
			continue
		}
		a.cfg.Log.Info("job not stored", zap.String("job", s.spec.ID), zap.String("queue", s.spec.Queue), zap.Bool("doubt", s.doubt), zap.Duration("waited", now.Sub(s.begun)), zap.Error(err))
		given = append(given, s)
	}
	if len(doubts) > 0 { // before any of their callers can come back
		a.MarkInDoubt(doubts)
		a.cfg.BroadcastInDoubt(doubts)
	}
	for _, s := range given {
		s.done <- a.outcome(s)
	}
	if len(rest) > 0 {
		waiter.Sleep(ctx, retryPause)
	}
	return rest
}
