package orchestrator

import (
	"context"

	"github.com/endivefall/endivefall/messenger"
	"github.com/endivefall/endivefall/sequencer"
)

// Query returns the state of a job or the number of pending jobs of a queue. It
// fails if the owner has not read the ledger yet or has stopped.
func (o *Orchestrator) Query(ctx context.Context, query messenger.StateQuery) (messenger.StateReply, error) {
	replies := make(chan messenger.StateReply, 1)
	o.enqueue(func() {
		if o.loaded {
			replies <- o.reply(query)
		} else {
			close(replies)
		}
	})
	select {
	case reply, ok := <-replies:
		if !ok {
			return reply, ErrOwnershipLost
		}
		return reply, nil
	case <-ctx.Done():
		return messenger.StateReply{}, ctx.Err()
	case <-o.stopped:
		return messenger.StateReply{}, ErrOwnershipLost
	}
}

func (o *Orchestrator) reply(query messenger.StateQuery) messenger.StateReply {
	if query.Job != "" {
		j := o.jobs[query.Job]
		if j == nil {
			return messenger.StateReply{}
		}
		return messenger.StateReply{Found: true, Queue: j.Spec.Queue, Path: j.Spec.Path, State: string(visibleState(j.Job))}
	}
	reply := messenger.StateReply{Found: true}
	for _, j := range o.openJobs {
		if j.Spec.Of(query.Queue, query.Path) && !j.Started {
			reply.Pending++
		}
	}
	return reply
}

// visibleState returns the state that callers may see. A final state is visible
// only once it is durable.
func visibleState(j *sequencer.Job) sequencer.State {
	switch {
	case j.DurableState.Final():
		return j.DurableState
	case j.Started:
		return sequencer.Running
	}
	return sequencer.Queued
}
