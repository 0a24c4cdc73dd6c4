package overseer

import (
	"context"

	"github.com/endivefall/endivefall/messenger"
	"github.com/endivefall/endivefall/sequencer"
)

// Query answers a question about a job or a queue. It fails when the owner
// has not read the ledger yet or has ended.
func (o *Overseer) Query(ctx context.Context, ask messenger.Ask) (messenger.Tell, error) {
	answer := make(chan messenger.Tell, 1)
	o.hand(func() {
		if o.loaded {
			answer <- o.answer(ask)
		} else {
			close(answer)
		}
	})
	select {
	case t, ok := <-answer:
		if !ok {
			return t, ErrDeposed
		}
		return t, nil
	case <-ctx.Done():
		return messenger.Tell{}, ctx.Err()
	case <-o.stopped:
		return messenger.Tell{}, ErrDeposed
	}
}

func (o *Overseer) answer(ask messenger.Ask) messenger.Tell {
	if ask.Job != "" {
		j := o.jobs[ask.Job]
		if j == nil {
			return messenger.Tell{}
		}
		return messenger.Tell{Found: true, Queue: j.Spec.Queue, State: string(shown(j.Job))}
	}
	t := messenger.Tell{Found: true}
	for _, j := range o.open {
		if j.Spec.Queue == ask.Queue && !j.Started {
			t.Pending++
		}
	}
	return t
}

// shown is the state that callers may see: final only once it is durable.
func shown(j *sequencer.Job) sequencer.State {
	switch {
	case j.DurableState.Final():
		return j.DurableState
	case j.Started:
		return sequencer.Running
	}
	return sequencer.Queued
}
