package acceptor

import (
	"context"
	"errors"

	"go.uber.org/zap"

	"github.com/endivefall/endivefall/messenger"
	"github.com/endivefall/endivefall/orchestrator"
	"github.com/endivefall/endivefall/sequencer"
	"github.com/endivefall/endivefall/storer"
	"github.com/endivefall/endivefall/waiter"
)

// State returns a job's state: the owner's word, or else the store's.
func (a *Acceptor) State(ctx context.Context, queue, id string) (sequencer.State, error) {
	bound, cancel := context.WithTimeout(ctx, askTimeout)
	t, err := a.cfg.AskOwner(bound, messenger.StateQuery{Job: id})
	cancel()
	if err == nil && t.Found {
		if t.Queue != queue {
			return "", ErrNotFound
		}
		return sequencer.State(t.State), nil
	}
	return a.stored(ctx, queue, id)
}

// stored reads a job's state from the store.
func (a *Acceptor) stored(ctx context.Context, queue, id string) (sequencer.State, error) {
	item, err := a.read(ctx, orchestrator.JobKey(id))
	if err != nil {
		return "", err
	}
	spec, err := sequencer.DecodeSpec(item.Value)
	if err != nil {
		a.cfg.Log.Error("stored job can't be read", zap.String("job", id), zap.Error(err))
		return "", ErrStateUnavailable
	}
	if spec.Queue != queue {
		return "", ErrNotFound
	}
	out, err := a.read(ctx, orchestrator.ProgressKey(id))
	if err == nil {
		p, err := sequencer.DecodeProgress(out.Value)
		if err != nil {
			a.cfg.Log.Error("stored progress can't be read", zap.String("job", id), zap.Error(err))
			return "", ErrStateUnavailable
		}
		if p.State.Final() {
			return p.State, nil
		}
	} else if !errors.Is(err, ErrNotFound) {
		return "", err
	}
	switch _, canceled := a.read(ctx, orchestrator.CancelKey(id)); {
	case canceled == nil:
		return sequencer.Canceled, nil
	case !errors.Is(canceled, ErrNotFound):
		return "", canceled
	case err == nil:
		return sequencer.Running, nil
	}
	return sequencer.Queued, nil
}

// read reads a key, again while the store does not answer and ctx lasts.
func (a *Acceptor) read(ctx context.Context, key string) (storer.Item, error) {
	for {
		item, err := a.cfg.Store.Get(ctx, key)
		if err == nil {
			return item, nil
		}
		if errors.Is(err, storer.ErrNotFound) {
			return item, ErrNotFound
		}
		if waiter.Sleep(ctx, retryPause); ctx.Err() != nil {
			return item, errors.Join(ErrStateUnavailable, err)
		}
	}
}

// Cancel makes a job's cancel durable.
func (a *Acceptor) Cancel(ctx context.Context, queue, id string) error {
	item, err := a.read(ctx, orchestrator.JobKey(id))
	if err != nil {
		return err
	}
	spec, err := sequencer.DecodeSpec(item.Value)
	if err != nil || spec.Queue != queue {
		return ErrNotFound
	}
	key := orchestrator.CancelKey(id)
	change := storer.Transaction{
		Checks: []storer.Check{{Key: key}, {Key: orchestrator.JobKey(id), Version: item.Version}},
		Writes: []storer.Write{{Key: key, Value: []byte(id)}},
	}
	for {
		_, err := a.cfg.Store.Commit(ctx, change)
		var clash *storer.ConflictError
		switch {
		case err == nil:
			a.cfg.Log.Info("cancel stored", zap.String("job", id))
			return nil
		case errors.As(err, &clash):
			if clash.Item(key).Version != 0 {
				return nil
			}
			return ErrNotFound // the job was forgotten meanwhile
		}
		if waiter.Sleep(ctx, retryPause); ctx.Err() != nil {
			return errors.Join(ErrUnknownOutcome, err)
		}
	}
}

// Pending returns how many accepted jobs of a queue no task has started of. Only
// the owner knows; one that has just lost or taken ownership does not.
func (a *Acceptor) Pending(ctx context.Context, queue string) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, countTimeout)
	defer cancel()
	for {
		t, err := a.cfg.AskOwner(ctx, messenger.StateQuery{Queue: queue})
		if err == nil && t.Found {
			return t.Pending, nil
		}
		if waiter.Sleep(ctx, retryPause); ctx.Err() != nil {
			return 0, errors.Join(ErrStateUnavailable, err)
		}
	}
}
