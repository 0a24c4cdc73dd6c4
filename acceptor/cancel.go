package acceptor

import (
	"context"
	"errors"
	"fmt"

	"go.uber.org/zap"

	"github.com/endivefall/endivefall/orchestrator"
	"github.com/endivefall/endivefall/retrier"
	"github.com/endivefall/endivefall/sequencer"
	"github.com/endivefall/endivefall/storer"
	"github.com/endivefall/endivefall/waiter"
)

// Cancel stores a job's cancel durably. It returns ErrNotFound if there is no such job:
// then an earlier submission of it that is still to be stored never runs.
func (a *Acceptor) Cancel(ctx context.Context, queue, id string) error {
	admitted := false // whether a tombstone of this call was counted
	inDoubt := false  // whether a write of this call may have taken effect
	for {
		item, err := a.readKey(ctx, orchestrator.JobKey(id))
		known := !errors.Is(err, ErrNotFound)
		if known && err != nil {
			if inDoubt {
				err = errors.Join(ErrUnknownOutcome, err)
			}
			return err
		}
		if !known && !admitted {
			if admitted = a.tombstones.AllowN(a.cfg.Now(), 1); !admitted {
				return &Rejection{Cause: retrier.TooManyCancels, Room: tombstoneRoom, err: fmt.Errorf("%w: too many cancels of jobs that are not known", ErrStateUnavailable)}
			}
		}
		var tx storer.Transaction
		if known {
			tx, err = a.cancelRecord(queue, id, item)
		} else {
			tx, err = a.tombstone(queue, id)
		}
		if err != nil {
			return err
		}
		_, err = a.cfg.Store.Commit(ctx, tx)
		var conflict *storer.ConflictError
		switch {
		case err == nil && known:
			a.cfg.Log.Info("cancel stored", zap.String("job", id))
			return nil
		case err == nil:
			a.cfg.Log.Info("cancel of an unknown job stored", zap.String("job", id), zap.String("queue", queue), zap.Bool("doubt", a.mayBeStored(id)))
			return ErrNotFound
		case errors.As(err, &conflict) && conflict.Item(orchestrator.CancelKey(id)).Version != 0 && conflict.Item(orchestrator.JobKey(id)).Version != 0:
			return nil // it was canceled before, perhaps by an earlier try of this call
		}
		inDoubt = inDoubt || errors.Is(err, storer.ErrUnknownOutcome)
		if waiter.Sleep(ctx, retryDelay); ctx.Err() != nil {
			return errors.Join(ErrUnknownOutcome, err)
		}
	}
}

// cancelRecord returns the transaction that cancels a stored job.
func (a *Acceptor) cancelRecord(queue, id string, item storer.Item) (storer.Transaction, error) {
	spec, err := decodeJob(id, item.Value)
	if err != nil {
		a.cfg.Log.Error("stored job can't be decoded", zap.String("job", id), zap.Error(err))
		return storer.Transaction{}, ErrStateUnavailable
	}
	if !a.has(queue, spec) {
		return storer.Transaction{}, ErrNotFound
	}
	key := orchestrator.CancelKey(id)
	return storer.Transaction{
		Checks: []storer.Check{{Key: key}, {Key: orchestrator.JobKey(id), Version: item.Version}},
		Writes: []storer.Write{{Key: key, Value: []byte(id)}},
	}, nil
}

// tombstone returns the transaction that stores a job which is not there together with its
// cancel. A submission whose write got no reply finds the key taken if it is carried out
// later, whichever entry it came from, and one that is repeated finds the job canceled. The
// owner deletes the tombstone like any ended job.
func (a *Acceptor) tombstone(queue, id string) (storer.Transaction, error) {
	spec := &sequencer.Spec{ID: id, Queue: queue, Path: a.pathOf(queue), AcceptedAt: a.cfg.WallClock(), Steps: []sequencer.Step{{Count: 1}}} // no job is without a step
	value, err := spec.Encode()
	if err != nil {
		return storer.Transaction{}, err
	}
	key, cancelKey := orchestrator.JobKey(id), orchestrator.CancelKey(id)
	return storer.Transaction{
		Checks: []storer.Check{{Key: key}},
		Writes: []storer.Write{{Key: key, Value: value}, {Key: cancelKey, Value: []byte(id)}},
	}, nil
}
