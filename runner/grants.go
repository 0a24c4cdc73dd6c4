package runner

import (
	"errors"

	"go.uber.org/zap"

	"github.com/endivefall/endivefall/messenger"
)

// Reasons to decline a grant.
var (
	errOld     = errors.New("a newer owner has the shard")
	errLate    = errors.New("deadline has passed")
	errLeaving = errors.New("instance is leaving")
	errEarly   = errors.New("agent has just started")
	errUrgent  = errors.New("urgent work waits for the room")
	errKnown   = errors.New("grant is held already")
)

// Grant takes a grant from an entry, or declines it: then nothing of it runs.
func (r *Runner) Grant(entry string, g messenger.Grant) {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := newLane(g)
	err := r.admit(entry, l)
	if errors.Is(err, errKnown) {
		return
	}
	if err != nil {
		r.cfg.Log.Info("grant declined", zap.String("run", g.Run), zap.Uint64("seq", g.Seq), zap.Error(err))
		g.Reason, g.Checkpoints, g.Payload = err.Error(), nil, ""
		r.cfg.Send(entry, messenger.Frame{Kind: messenger.KindDecline, Grant: &g})
		return
	}
	r.held[l.key()] = l
	r.lanes.Go(func() { r.run(r.ctx, l) })
}

// admit checks a grant; the caller holds mu.
func (r *Runner) admit(entry string, l *lane) error {
	g := l.grant
	switch o := r.owners[g.Shard]; {
	case g.Epoch < o.epoch:
		return errOld
	case r.held[l.key()] != nil:
		return errKnown
	case r.leaving:
		return errLeaving
	case r.cfg.Now().Before(r.ready):
		return errEarly
	case !g.ExpiresAt.After(r.cfg.Now()):
		return errLate
	}
	r.owners[g.Shard] = owner{g.Epoch, entry}
	if r.waiting > 0 && !g.Urgent {
		return errUrgent
	}
	err := r.cfg.Reserver.Reserve(l.name(), g.Need)
	if err != nil && g.Urgent && r.preempt(g.Need) {
		l.roomless = true
		r.waiting++
		return nil
	}
	return err
}

// Extend moves the deadlines of a shard's grants. A deadline that has passed is
// final, even if the process was frozen and has not acted on it yet: the owner
// may have granted the task elsewhere since.
func (r *Runner) Extend(entry string, e messenger.LeaseRenewal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e.Epoch < r.owners[e.Shard].epoch {
		return
	}
	r.owners[e.Shard] = owner{e.Epoch, entry}
	now := r.cfg.Now()
	for _, l := range r.held {
		if l.grant.Shard == e.Shard && l.until.After(now) && e.ExpiresAt.After(l.until) {
			l.until = e.ExpiresAt
		}
	}
}

// Reconcile takes the epoch of a shard's owner, reports what is not settled, and
// answers which of the shard's grants are held.
func (r *Runner) Reconcile(entry string, s messenger.GrantInventory) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s.Epoch < r.owners[s.Shard].epoch {
		return
	}
	r.owners[s.Shard] = owner{s.Epoch, entry}
	s.Grants = nil
	for k, l := range r.held {
		if l.grant.Shard != s.Shard {
			continue
		}
		l.sent = false
		r.tell(l)
		s.Grants = append(s.Grants, messenger.GrantRef{Run: k.run, Seq: k.seq})
	}
	r.cfg.Send(entry, messenger.Frame{Kind: messenger.KindInventoryReply, Inventory: &s})
}

// Revoke stops a grant. An unknown one is not held, which a survey tells.
func (r *Runner) Revoke(g messenger.Grant) {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.held[key{g.Run, g.Seq}]
	if l == nil || g.Epoch < r.owners[g.Shard].epoch {
		return
	}
	if g.Evict {
		l.stop(evict)
		return
	}
	l.stop(cancel)
}

// Acknowledge takes the owner's word that a report is durable, or that the grant
// no longer counts.
func (r *Runner) Acknowledge(rep messenger.Report) {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.held[key{rep.Run, rep.Seq}]
	if l == nil {
		return
	}
	l.sent = false
	settled := map[int]bool{}
	for _, o := range rep.Outcomes {
		settled[o.Index] = true
	}
	var left []messenger.Outcome
	for _, o := range l.outcomes {
		if !settled[o.Index] {
			left = append(left, o)
			continue
		}
		select {
		case r.forget <- taskID(l.grant, o.Index):
		default:
		}
	}
	l.outcomes = left
	if l.closed && len(left) == 0 && rep.Closed {
		delete(r.held, l.key())
		return
	}
	r.tell(l)
}
