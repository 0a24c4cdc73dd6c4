package acceptor

import (
	"context"
	"errors"
	"fmt"

	"go.uber.org/zap"

	"github.com/endivefall/endivefall/messenger"
	"github.com/endivefall/endivefall/orchestrator"
	"github.com/endivefall/endivefall/sequencer"
	"github.com/endivefall/endivefall/storer"
	"github.com/endivefall/endivefall/waiter"
)

// State returns a job's state as the owner knows it, or else from the store.
func (a *Acceptor) State(ctx context.Context, queue, id string) (sequencer.State, error) {
	queryCtx, cancel := context.WithTimeout(ctx, stateQueryTimeout)
	reply, err := a.cfg.AskOwner(queryCtx, messenger.StateQuery{Job: id})
	cancel()
	if err == nil && reply.Found {
		if !a.has(queue, &sequencer.Spec{Queue: reply.Queue, Path: reply.Path}) {
			return "", ErrNotFound
		}
		return sequencer.State(reply.State), nil
	}
	return a.storedState(ctx, queue, id)
}

// storedState reads a job's state from the store.
func (a *Acceptor) storedState(ctx context.Context, queue, id string) (sequencer.State, error) {
	item, err := a.readKey(ctx, orchestrator.JobKey(id))
	if errors.Is(err, ErrNotFound) && a.mayBeStored(id) {
		return "", fmt.Errorf("%w: a write of the job has an unknown outcome", ErrStateUnavailable)
	}
	if err != nil {
		return "", err
	}
	spec, err := decodeJob(id, item.Value)
	if err != nil {
		a.cfg.Log.Error("stored job can't be decoded", zap.String("job", id), zap.Error(err))
		return "", ErrStateUnavailable
	}
	if !a.has(queue, spec) {
		return "", ErrNotFound
	}
	stored := sequencer.Queued
	progressItem, err := a.readKey(ctx, orchestrator.ProgressKey(id))
	if err == nil {
		progress, err := sequencer.DecodeProgress(progressItem.Value)
		if err != nil { // the job may have ended before it was canceled
			a.cfg.Log.Error("stored progress can't be decoded", zap.String("job", id), zap.Error(err))
			return "", ErrStateUnavailable
		}
		if progress.State.Final() {
			return progress.State, nil
		}
		stored = progress.State
	} else if !errors.Is(err, ErrNotFound) {
		return "", err
	}
	switch _, cancelErr := a.readKey(ctx, orchestrator.CancelKey(id)); {
	case cancelErr == nil:
		return sequencer.Canceled, nil
	case !errors.Is(cancelErr, ErrNotFound):
		return "", cancelErr
	case stored == sequencer.Queued:
		return sequencer.Queued, nil
	}
	return sequencer.Running, nil
}

// decodeJob reads the job with the ID; a record of another job says nothing about it.
func decodeJob(id string, raw []byte) (*sequencer.Spec, error) {
	spec, err := sequencer.DecodeSpec(raw)
	if err == nil && spec.ID != id {
		err = fmt.Errorf("%w: it is job %s", sequencer.ErrInvalid, spec.ID)
	}
	return spec, err
}

// readKey reads a key and retries until the store answers or ctx ends.
func (a *Acceptor) readKey(ctx context.Context, key string) (storer.Item, error) {
	for {
		item, err := a.cfg.Store.Get(ctx, key)
		if err == nil {
			return item, nil
		}
		if errors.Is(err, storer.ErrNotFound) {
			return item, ErrNotFound
		}
		if waiter.Sleep(ctx, retryDelay); ctx.Err() != nil {
			return item, errors.Join(ErrStateUnavailable, err)
		}
	}
}

// Pending returns how many accepted jobs of a queue have not started any task.
// Only the owner knows the number, and not during a takeover.
func (a *Acceptor) Pending(ctx context.Context, queue string) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, pendingTimeout)
	defer cancel()
	for {
		reply, err := a.cfg.AskOwner(ctx, messenger.StateQuery{Queue: queue, Path: a.pathOf(queue)})
		if err == nil && reply.Found {
			return reply.Pending, nil
		}
		if waiter.Sleep(ctx, retryDelay); ctx.Err() != nil {
			return 0, errors.Join(ErrStateUnavailable, err)
		}
	}
}
