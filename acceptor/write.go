package acceptor

import (
	"context"
	"errors"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/endivefall/endivefall/orchestrator"
	"github.com/endivefall/endivefall/retrier"
	"github.com/endivefall/endivefall/sequencer"
	"github.com/endivefall/endivefall/storer"
	"github.com/endivefall/endivefall/waiter"
)

// submission is a job that waits to be stored.
type submission struct {
	spec  *sequencer.Spec
	value []byte
	// deadline is when the caller stops waiting.
	deadline time.Time
	// receivedAt is when the job was submitted.
	receivedAt time.Time
	// inDoubt is set once a write of the job has had an unknown outcome.
	inDoubt bool
	// done receives the outcome; its buffer holds one, so sending never blocks.
	done chan error
}

// writeLoop writes the queued submissions in batches.
func (a *Acceptor) writeLoop(ctx context.Context) {
	for {
		var batch []*submission
		select {
		case <-ctx.Done():
			return
		case sub := <-a.submissions:
			batch = append(batch, sub)
		}
		for more := true; more && len(batch) < maxBatchJobs; {
			select {
			case sub := <-a.submissions:
				batch = append(batch, sub)
			default:
				more = false
			}
		}
		for len(batch) > 0 && ctx.Err() == nil {
			batch = a.writeBatch(ctx, batch)
		}
		for _, sub := range batch {
			sub.done <- a.failureError(sub)
		}
	}
}

// failureError returns the error for a job that is not known to be stored.
func (a *Acceptor) failureError(sub *submission) error {
	if sub.inDoubt {
		return ErrUnknownOutcome
	}
	return a.rejectionError(sub.spec.ID, retrier.StoreUnavailable, 0, "the store did not accept the write")
}

// writeBatch sends one transaction and returns the submissions to send in the next.
func (a *Acceptor) writeBatch(ctx context.Context, batch []*submission) []*submission {
	var tx storer.Transaction
	seenIDs := map[string]bool{}
	var later []*submission
	for _, sub := range batch {
		if seenIDs[sub.spec.ID] {
			later = append(later, sub)
			continue
		}
		seenIDs[sub.spec.ID] = true
		key := orchestrator.JobKey(sub.spec.ID)
		tx.Checks = append(tx.Checks, storer.Check{Key: key})
		tx.Writes = append(tx.Writes, storer.Write{Key: key, Value: sub.value})
	}
	_, err := a.cfg.Store.Commit(ctx, tx)
	var conflict *storer.ConflictError
	switch {
	case err == nil:
		a.downSince.Store(0)
		for _, sub := range batch {
			if !slices.Contains(later, sub) {
				sub.done <- nil
			}
		}
		return later
	case errors.As(err, &conflict):
		a.downSince.Store(0)
		return a.answerStored(batch, conflict)
	}
	a.downSince.CompareAndSwap(0, a.cfg.Now().UnixNano())
	outcomeUnknown := !errors.Is(err, storer.ErrUnavailable)
	now := a.cfg.Now()
	var rest, failed []*submission
	var inDoubt []string
	for _, sub := range batch {
		if outcomeUnknown && !sub.inDoubt {
			sub.inDoubt = true
			inDoubt = append(inDoubt, sub.spec.ID)
		}
		limit := sub.receivedAt.Add(unavailableRetryLimit)
		if sub.inDoubt {
			limit = sub.receivedAt.Add(inDoubtRetryLimit)
		}
		if now.Before(limit) && now.Before(sub.deadline.Add(-replyMargin)) {
			rest = append(rest, sub)
			continue
		}
		a.cfg.Log.Info("job not stored", zap.String("job", sub.spec.ID), zap.String("queue", sub.spec.Queue), zap.Bool("doubt", sub.inDoubt), zap.Duration("waited", now.Sub(sub.receivedAt)), zap.Error(err))
		failed = append(failed, sub)
	}
	if len(inDoubt) > 0 { // before any of their callers can retry
		a.markOwnInDoubt(inDoubt)
		a.cfg.BroadcastInDoubt(inDoubt)
	}
	for _, sub := range failed {
		sub.done <- a.failureError(sub)
	}
	if len(rest) > 0 {
		waiter.Sleep(ctx, retryDelay)
	}
	return rest
}

// answerStored answers the submissions whose keys exist, and returns the others. An earlier
// write has stored the job, unless the key has a record that isn't one of the job: that
// may have replaced one that was started.
func (a *Acceptor) answerStored(batch []*submission, conflict *storer.ConflictError) []*submission {
	var rest, replaced []*submission
	var inDoubt []string
	for _, sub := range batch {
		item := conflict.Item(orchestrator.JobKey(sub.spec.ID))
		if item.Version == 0 {
			rest = append(rest, sub)
			continue
		}
		if _, err := decodeJob(sub.spec.ID, item.Value); err != nil {
			a.cfg.Log.Error("stored job can't be decoded", zap.String("job", sub.spec.ID), zap.Error(err))
			replaced, inDoubt = append(replaced, sub), append(inDoubt, sub.spec.ID)
			continue
		}
		sub.done <- nil
	}
	if len(replaced) > 0 { // before any of their callers can retry
		a.markOwnInDoubt(inDoubt)
		a.cfg.BroadcastInDoubt(inDoubt)
	}
	for _, sub := range replaced {
		sub.done <- ErrUnknownOutcome
	}
	return rest
}
