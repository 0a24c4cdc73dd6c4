package runner

import (
	"context"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"github.com/endivefall/endivefall/executor"
	"github.com/endivefall/endivefall/messenger"
)

// keptNote is what the worker keeps with a task, so that the agent's next
// process knows the grant that it runs under.
type keptNote struct {
	Shard  uint32 `cbor:"1,keyasint"`
	Epoch  uint64 `cbor:"2,keyasint"`
	Run    string `cbor:"3,keyasint"`
	Seq    uint64 `cbor:"4,keyasint"`
	Index  int    `cbor:"5,keyasint"`
	Keep   bool   `cbor:"6,keyasint,omitempty"`
	Repeat bool   `cbor:"7,keyasint,omitempty"`
}

func note(g messenger.Grant, index int) []byte {
	raw, err := cbor.Marshal(keptNote{g.Shard, g.Epoch, g.Run, g.Seq, index, g.Checkpointable, g.Idempotent})
	if err != nil {
		panic(err) // the struct has only plain fields
	}
	return raw
}

// Recover rebuilds what is held from the worker's list of tasks. It must
// return before anything is admitted. ctx bounds the lanes for good.
func (r *Runner) Recover(ctx context.Context) (executor.Report, error) {
	rep, err := r.cfg.Worker.Poll(ctx, executor.AnyVersion)
	if err != nil {
		return rep, err
	}
	r.mu.Lock()
	r.ctx, r.ready = ctx, r.cfg.Now().Add(startLease)
	r.mu.Unlock()
	r.take(rep)
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, t := range rep.Tasks {
		var n keptNote
		if err := cbor.Unmarshal(t.Metadata, &n); err != nil {
			r.cfg.Log.Warn("task of no grant", zap.String("task", t.ID))
			r.cfg.Reserver.Adopt("task:"+t.ID, t.Need)
			continue
		}
		r.adopt(n, t, rep)
	}
	return rep, nil
}

// adopt notes a task that an earlier process of the agent started.
func (r *Runner) adopt(n keptNote, t executor.Task, rep executor.Report) {
	g := messenger.Grant{
		Shard: n.Shard, Epoch: n.Epoch, Run: n.Run, Seq: n.Seq, From: n.Index, To: n.Index + 1,
		ExpiresAt: r.cfg.Now().Add(t.LeaseExpiresAt.Sub(rep.Now)), Need: t.Need, Payload: t.Payload, Checkpointable: n.Keep, Idempotent: n.Repeat,
	}
	if o := r.owners[n.Shard]; n.Epoch > o.epoch {
		r.owners[n.Shard] = owner{epoch: n.Epoch}
	}
	l := r.held[key{n.Run, n.Seq}]
	if l == nil {
		l = newLane(g)
		// A start of the next task may still be on its way to the worker.
		l.closed, l.mute = true, true
		r.held[l.key()] = l
	}
	if t.State != executor.Running {
		l.outcomes = append(l.outcomes, judge(messenger.Outcome{Index: n.Index}, t, t.Checkpoint))
		return
	}
	l.grant, l.until = g, g.ExpiresAt
	l.closed, l.mute = false, false
	l.next, l.task, l.began = n.Index, t.ID, r.cfg.Now()
	r.cfg.Reserver.Adopt(l.name(), g.Need)
	r.lanes.Go(func() { r.rejoin(r.ctx, l, t) })
	r.cfg.Log.Info("task adopted", zap.String("run", n.Run), zap.Int("task", n.Index), zap.Uint64("seq", n.Seq))
}

// rejoin is the goroutine of a lane whose task was found running.
func (r *Runner) rejoin(ctx context.Context, l *lane, t executor.Task) {
	defer r.close(l)
	o, ok := r.follow(ctx, l, t, messenger.Outcome{Index: l.grant.From})
	r.mu.Lock()
	defer r.mu.Unlock()
	if !ok {
		l.mute = true
		return
	}
	l.task = ""
	l.outcomes = append(l.outcomes, o)
	r.tell(l)
}
