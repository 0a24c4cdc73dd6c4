package runner

import (
	"context"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"github.com/endivefall/endivefall/executor"
	"github.com/endivefall/endivefall/messenger"
)

// taskMetadata is stored at the worker with each task, so that the agent's next process
// knows the grant of a running task.
type taskMetadata struct {
	Shard          uint32 `cbor:"1,keyasint"`
	Epoch          uint64 `cbor:"2,keyasint"`
	Run            string `cbor:"3,keyasint"`
	Seq            uint64 `cbor:"4,keyasint"`
	Index          int    `cbor:"5,keyasint"`
	Checkpointable bool   `cbor:"6,keyasint,omitempty"`
	Idempotent     bool   `cbor:"7,keyasint,omitempty"`
}

func encodeMetadata(g messenger.Grant, index int) []byte {
	raw, err := cbor.Marshal(taskMetadata{g.Shard, g.Epoch, g.Run, g.Seq, index, g.Checkpointable, g.Idempotent})
	if err != nil {
		panic(err) // the struct has only plain fields
	}
	return raw
}

// Recover rebuilds the held grants from the worker's list of tasks. It must return before
// any grant is admitted. All tasks run under ctx.
func (r *Runner) Recover(ctx context.Context) (executor.Report, error) {
	rep, err := r.cfg.Worker.Poll(ctx, executor.AnyVersion)
	if err != nil {
		return rep, err
	}
	r.mu.Lock()
	r.ctx, r.readyAt = ctx, r.cfg.Now().Add(startLease)
	r.mu.Unlock()
	r.applyReport(rep)
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, t := range rep.Tasks {
		var m taskMetadata
		if err := cbor.Unmarshal(t.Metadata, &m); err != nil {
			r.cfg.Log.Warn("worker runs a task without grant metadata", zap.String("task", t.ID))
			r.cfg.Reserver.Adopt("task:"+t.ID, t.Need)
			continue
		}
		r.adopt(m, t, rep)
	}
	return rep, nil
}

// adopt takes over a task that an earlier process of the agent started.
func (r *Runner) adopt(m taskMetadata, t executor.Task, rep executor.Report) {
	g := messenger.Grant{
		Shard: m.Shard, Epoch: m.Epoch, Run: m.Run, Seq: m.Seq, From: m.Index, To: m.Index + 1,
		ExpiresAt: r.cfg.Now().Add(t.LeaseExpiresAt.Sub(rep.Now)), Need: t.Need, Payload: t.Payload, Checkpointable: m.Checkpointable, Idempotent: m.Idempotent,
	}
	if o := r.owners[m.Shard]; m.Epoch > o.epoch {
		r.owners[m.Shard] = owner{epoch: m.Epoch}
	}
	h := r.held[grantKey{m.Run, m.Seq}]
	if h == nil {
		h = newHeldGrant(g)
		// A start of the grant's next task may still be on its way to the worker.
		h.closed, h.inDoubt = true, true
		r.held[h.key()] = h
	}
	if t.State != executor.Running {
		h.outcomes = append(h.outcomes, outcomeOf(messenger.Outcome{Index: m.Index}, t, t.Checkpoint, m.Idempotent))
		return
	}
	h.grant, h.deadline = g, g.ExpiresAt
	h.closed, h.inDoubt = false, false
	h.index, h.taskID, h.startedAt = m.Index, t.ID, r.cfg.Now()
	r.cfg.Reserver.Adopt(h.reservationName(), g.Need)
	r.wg.Go(func() { r.runAdopted(r.ctx, h, t) })
	r.cfg.Log.Info("task adopted", zap.String("run", m.Run), zap.Int("task", m.Index), zap.Uint64("seq", m.Seq))
}

// runAdopted is the goroutine of a grant whose task was running at the restart.
func (r *Runner) runAdopted(ctx context.Context, h *heldGrant, t executor.Task) {
	defer r.closeGrant(h)
	a := &attempt{r: r, h: h, outcome: messenger.Outcome{Index: h.grant.From}, task: t, started: true, startVersion: r.reportVersion()}
	o, err := a.run(ctx)
	if err != nil {
		r.abandon(h, err)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	h.taskID = ""
	h.outcomes = append(h.outcomes, o)
	r.sendReport(h)
}
