package supervisor

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/endivefall/endivefall/messenger"
	"github.com/endivefall/endivefall/waiter"
)

// Times of the connection to the owner.
const (
	// beatEvery is how often the table is sent when nothing changes; the owner
	// extends the lease with each.
	beatEvery = 500 * time.Millisecond
	// gather is how long changes are gathered before the table is sent.
	gather = 5 * time.Millisecond
	// ownerSilence is how long the owner may answer nothing before another one
	// is looked for: two beats and a slow answer.
	ownerSilence = 1200 * time.Millisecond
	// findPause is the wait between two looks for an owner.
	findPause = 150 * time.Millisecond
)

// linkLoop keeps a connection to the pool's owner.
func (w *Supervisor) linkLoop(ctx context.Context) {
	lost := false
	for ctx.Err() == nil {
		err := w.link(ctx)
		if ctx.Err() != nil {
			return
		}
		if !lost {
			w.cfg.Log.Warn("owner lost", zap.Error(err))
		}
		lost = err != nil
		waiter.Sleep(ctx, findPause)
	}
}

// link finds the owner and serves one connection to it.
func (w *Supervisor) link(ctx context.Context) error {
	addr, term, err := w.cfg.FindOwner(ctx)
	if err != nil {
		return err
	}
	w.mu.Lock()
	w.term = max(w.term, term)
	w.mu.Unlock()
	ws, welcome, err := messenger.DialWith(ctx, w.cfg.Client, addr, messenger.Hello{
		Version: messenger.Version, Role: messenger.RoleAgent, ID: w.cfg.ID, Incarnation: w.cfg.Incarnation, Started: w.cfg.Now(),
	})
	if err != nil {
		return err
	}
	if len(welcome.Peers) > 0 {
		w.cfg.OnPeers(welcome.Peers)
	}
	serving := ctx // calls to the worker outlive the connection
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var heard atomic.Int64
	heard.Store(w.cfg.Now().UnixNano())
	conn := messenger.New(messenger.Config{Socket: ws, Handle: func(from *messenger.Conn, f messenger.Frame) {
		w.mu.Lock()
		current := w.conn == from
		w.mu.Unlock()
		if !current {
			return
		}
		switch f.Kind {
		case messenger.KindCommand:
			w.obey(serving, f.Command)
		case messenger.KindSnapshotAck:
			if w.vouched(f.SnapshotAck) {
				heard.Store(w.cfg.Now().UnixNano())
			}
		}
	}})
	w.mu.Lock()
	w.conn, w.seq = conn, 0
	w.mu.Unlock()
	w.cfg.Log.Info("owner found", zap.Stringer("addr", addr), zap.Uint64("term", term), zap.String("owner", welcome.ID))
	w.touch()
	var sending sync.WaitGroup
	sending.Go(func() { w.sendLoop(ctx, conn, &heard) })
	err = conn.Run(ctx)
	cancel()
	sending.Wait()
	w.mu.Lock()
	w.conn = nil
	w.mu.Unlock()
	return err
}

// vouched takes the owner's answer and says whether it is the owner's of now.
func (w *Supervisor) vouched(v *messenger.SnapshotAck) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if v.Term < w.term {
		return false
	}
	w.term = v.Term
	w.forget(v.AckedEnd)
	w.learn(v.Interference)
	if v.EchoSentAt.IsZero() || w.beat.Incarnation == "" {
		return true
	}
	before := w.startable()
	if until := v.EchoSentAt.Add(w.cfg.LeaseDuration); v.WorkerIncarnation == w.beat.Incarnation && until.After(w.lease) {
		w.lease = until
	}
	if before == "no lease" && w.startable() == "" {
		w.touch()
		w.hurry()
	}
	return true
}

// sendLoop sends the table when it changes, and as a heartbeat.
func (w *Supervisor) sendLoop(ctx context.Context, conn *messenger.Conn, heard *atomic.Int64) {
	for {
		beat := time.NewTimer(beatEvery)
		select {
		case <-ctx.Done():
			beat.Stop()
			return
		case <-beat.C:
		case <-w.dirty:
			beat.Stop()
			if waiter.Sleep(ctx, gather); ctx.Err() != nil {
				return
			}
		}
		if silent := w.cfg.Now().UnixNano() - heard.Load(); silent > int64(ownerSilence) {
			w.cfg.Log.Warn("owner is silent", zap.Duration("silent", time.Duration(silent)))
			conn.Close("silent for too long")
			return
		}
		select { // changes up to here are in this table
		case <-w.dirty:
		default:
		}
		w.mu.Lock()
		t := w.table()
		w.mu.Unlock()
		if err := conn.Post(messenger.Frame{Kind: messenger.KindWorkerSnapshot, WorkerSnapshot: t}); err != nil {
			return
		}
	}
}
