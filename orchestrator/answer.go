package orchestrator

import (
	"context"

	"github.com/endivefall/endivefall/messenger"
	"github.com/endivefall/endivefall/sequencer"
)

// Query answers a question about a job or a queue. It fails when the owner
// has not read the ledger yet or has ended.
func (o *Orchestrator) Query(ctx context.Context, ask messenger.StateQuery) (messenger.StateReply, error) {
	answer := make(chan messenger.StateReply, 1)
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
			return t, ErrOwnershipLost
		}
		return t, nil
	case <-ctx.Done():
		return messenger.StateReply{}, ctx.Err()
	case <-o.stopped:
		return messenger.StateReply{}, ErrOwnershipLost
	}
}

func (o *Orchestrator) answer(ask messenger.StateQuery) messenger.StateReply {
	if ask.Job != "" {
		j := o.jobs[ask.Job]
		if j == nil {
			return messenger.StateReply{}
		}
		return messenger.StateReply{Found: true, Queue: j.Spec.Queue, State: string(shown(j.Job))}
	}
	t := messenger.StateReply{Found: true}
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
