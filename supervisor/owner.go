package supervisor

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/endivefall/endivefall/differ"
	"github.com/endivefall/endivefall/messenger"
	"github.com/endivefall/endivefall/waiter"
)

// Timeouts and intervals of the connection to the owner.
const (
	// snapshotInterval is the time between snapshots while nothing changes. The
	// owner renews the lease with each.
	snapshotInterval = 500 * time.Millisecond
	// snapshotDelay is how long changes are collected before a snapshot is sent.
	snapshotDelay = 5 * time.Millisecond
	// ownerTimeout is how long the owner may acknowledge nothing, or not answer a
	// new connection, before the owner is looked up again: two snapshot intervals and
	// a slow reply.
	ownerTimeout = 1200 * time.Millisecond
	// unconfirmedTimeout is how long the owner may confirm nothing before the agent looks
	// up whether there is a later one, and ownerLookupInterval how often it does so. An
	// owner that does not reach the store still answers, while another one may have
	// claimed ownership.
	unconfirmedTimeout  = 600 * time.Millisecond
	ownerLookupInterval = time.Second
	// findOwnerDelay is the delay before the owner is looked up again.
	findOwnerDelay = 150 * time.Millisecond
)

// ownerLoop maintains a connection to the pool's owner.
func (s *Supervisor) ownerLoop(ctx context.Context) {
	reported := false
	for ctx.Err() == nil {
		err := s.serveOwner(ctx)
		if ctx.Err() != nil {
			return
		}
		if !reported {
			s.cfg.Log.Warn("no connection to the owner", zap.Error(err))
		}
		reported = err != nil
		waiter.Sleep(ctx, findOwnerDelay)
	}
}

// serveOwner looks up the owner and serves one connection to it.
func (s *Supervisor) serveOwner(ctx context.Context) error {
	addr, term, err := s.cfg.FindOwner(ctx)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.hearTerm(term)
	s.mu.Unlock()
	dialCtx, cancelDial := context.WithTimeout(ctx, ownerTimeout)
	ws, welcome, err := messenger.DialWith(dialCtx, s.cfg.Client, addr, messenger.Hello{
		Version: messenger.Version, Role: messenger.RoleAgent, ID: s.cfg.ID, Incarnation: s.cfg.Incarnation, Started: s.cfg.Now(), KeepsPayloads: true,
	})
	cancelDial()
	if err != nil {
		return err
	}
	if len(welcome.Peers) > 0 {
		s.cfg.OnPeers(welcome.Peers)
	}
	serveCtx := ctx // calls to the worker outlive the connection
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var lastAck atomic.Int64
	lastAck.Store(s.cfg.Now().UnixNano())
	conn := messenger.New(messenger.Config{Socket: ws, Handle: func(from *messenger.Conn, f messenger.Frame) {
		s.mu.Lock()
		current := s.conn == from
		s.mu.Unlock()
		if !current {
			return
		}
		switch f.Kind {
		case messenger.KindCommand:
			s.handleCommand(serveCtx, f.Command)
		case messenger.KindSnapshotAck:
			if s.handleAck(f.SnapshotAck) {
				lastAck.Store(s.cfg.Now().UnixNano())
			}
		}
	}})
	s.mu.Lock()
	s.conn, s.commandSeq, s.payloads, s.ownerConfirmedAt, s.ownerHeardAt = conn, 0, differ.PayloadDecoder{}, s.cfg.Now(), s.cfg.Now()
	s.mu.Unlock()
	s.cfg.Log.Info("connected to the owner", zap.Stringer("addr", addr), zap.Uint64("term", term), zap.String("owner", welcome.ID))
	s.markDirty()
	s.requestList() // the owner needs to know which runs are still at work
	var loops sync.WaitGroup
	loops.Go(func() { s.sendLoop(ctx, conn, &lastAck, welcome.TakesDeltas) })
	loops.Go(func() { s.lookupLoop(ctx, conn) })
	err = conn.Run(ctx)
	cancel()
	loops.Wait()
	s.mu.Lock()
	s.conn = nil
	s.mu.Unlock()
	return err
}

// lookupLoop looks the owner up while the connected one confirms nothing, and closes the
// connection once there is a later one.
func (s *Supervisor) lookupLoop(ctx context.Context, conn *messenger.Conn) {
	waiter.Every(ctx, ownerLookupInterval, func() {
		s.mu.Lock()
		unconfirmed := s.cfg.Now().Sub(s.ownerConfirmedAt)
		term := s.term
		s.mu.Unlock()
		if unconfirmed < unconfirmedTimeout {
			return
		}
		_, newest, err := s.cfg.FindOwner(ctx)
		if err != nil || newest <= term {
			s.cfg.Log.Debug("no later owner found", zap.Duration("unconfirmed", unconfirmed), zap.Uint64("term", term), zap.Error(err))
			return
		}
		s.cfg.Log.Info("leaving an owner that was replaced", zap.Uint64("term", term), zap.Uint64("newest", newest), zap.Duration("unconfirmed", unconfirmed))
		conn.Close("another owner")
	})
}

// handleAck processes the owner's acknowledgement of a snapshot. It returns false
// if the sender's term is outdated.
func (s *Supervisor) handleAck(ack *messenger.SnapshotAck) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if ack.Term < s.term {
		return false
	}
	s.hearTerm(ack.Term)
	held := s.endsHeld()
	if s.ownerHeardAt = s.cfg.Now(); held {
		s.markDirty()
	}
	s.dropAckedEnds(ack.AckedEnd)
	s.mergeInterference(ack.Interference)
	if !ack.AppliedSentAt.IsZero() {
		s.ownerConfirmedAt = s.cfg.Now()
	}
	if ack.WorkerIncarnation == s.heartbeat.Incarnation() && ack.AppliedSentAt.After(s.appliedSentAt) {
		s.appliedSentAt = ack.AppliedSentAt
		select {
		case s.applied <- struct{}{}:
		default:
		}
	}
	if ack.EchoSentAt.IsZero() || s.heartbeat.Incarnation() == "" {
		return true
	}
	blockedBy := s.blockedReason()
	if expiresAt := ack.EchoSentAt.Add(s.cfg.LeaseDuration); ack.WorkerIncarnation == s.heartbeat.Incarnation() && expiresAt.After(s.leaseExpiresAt) {
		s.leaseExpiresAt = expiresAt
		s.extendOwnerLease()
	}
	if blockedBy == "no lease" && s.blockedReason() == "" {
		s.markDirty()
		s.requestList()
	}
	return true
}

// hearTerm records that there is an owner of a term, which had claimed by now.
func (s *Supervisor) hearTerm(term uint64) {
	if term <= s.term {
		return
	}
	s.term, s.termLeasedSince = term, time.Time{}
	if s.cfg.Now().Before(s.ownerLeaseUntil) {
		s.termLeasedSince = s.ownerLeaseSince
	}
}

// extendOwnerLease records that an owner has renewed the lease. It counts the lease as over no
// sooner than a worker with the slowest clock does.
func (s *Supervisor) extendOwnerLease() {
	now := s.cfg.Now()
	if !now.Before(s.ownerLeaseUntil) {
		s.ownerLeaseSince = now
	}
	if until := now.Add(s.leaseExpiresAt.Sub(s.workerNow())); until.After(s.ownerLeaseUntil) {
		s.ownerLeaseUntil = until
	}
}

// sendLoop sends a snapshot on each change, and as a heartbeat. To an owner that takes
// deltas, it sends what has changed.
func (s *Supervisor) sendLoop(ctx context.Context, conn *messenger.Conn, lastAck *atomic.Int64, deltas bool) {
	var changes differ.Encoder
	for {
		timer := time.NewTimer(snapshotInterval)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		case <-s.dirty:
			timer.Stop()
			if waiter.Sleep(ctx, snapshotDelay); ctx.Err() != nil {
				return
			}
		}
		if silent := s.cfg.Now().UnixNano() - lastAck.Load(); silent > int64(ownerTimeout) {
			s.cfg.Log.Warn("owner does not answer; closing the connection", zap.Duration("silent", time.Duration(silent)))
			conn.Close("silent for too long")
			return
		}
		select { // the snapshot below covers all changes up to here
		case <-s.dirty:
		default:
		}
		s.mu.Lock()
		snap := s.snapshot()
		s.mu.Unlock()
		if deltas {
			snap = changes.Next(s.cfg.Now(), snap)
		}
		if err := conn.TrySend(messenger.Frame{Kind: messenger.KindWorkerSnapshot, WorkerSnapshot: snap}); err != nil {
			return
		}
	}
}
