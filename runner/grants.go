package runner

import (
	"errors"

	"go.uber.org/zap"

	"github.com/endivefall/endivefall/messenger"
)

// Reasons to decline a grant. Except for errAlreadyHeld their texts are sent to the
// entry.
var (
	errStaleEpoch     = errors.New("a newer owner has the shard")
	errDeadlinePassed = errors.New("deadline has passed")
	errDraining       = errors.New("instance is leaving")
	errStarting       = errors.New("agent has just started")
	errUrgentWaiting  = errors.New("urgent work waits for the room")
	errAlreadyHeld    = errors.New("grant is held already")
)

// Grant starts the tasks of a grant, or declines it; of a declined grant no task
// starts. A grant that is held already is ignored.
func (r *Runner) Grant(entry string, g messenger.Grant) {
	r.mu.Lock()
	defer r.mu.Unlock()
	h := newHeldGrant(g)
	err := r.admit(entry, h)
	if errors.Is(err, errAlreadyHeld) {
		return
	}
	if err != nil {
		r.cfg.Log.Info("grant declined", zap.String("run", g.Run), zap.Uint64("seq", g.Seq), zap.Error(err))
		g.Reason, g.Checkpoints, g.Payload = err.Error(), nil, ""
		r.cfg.Send(entry, messenger.Frame{Kind: messenger.KindDecline, Grant: &g})
		return
	}
	r.held[h.key()] = h
	r.wg.Go(func() { r.run(r.ctx, h) })
}

// admit checks a grant and reserves its resources. An urgent grant that doesn't fit
// may evict other tasks and wait for their resources. The caller holds mu.
func (r *Runner) admit(entry string, h *heldGrant) error {
	g := h.grant
	switch o := r.owners[g.Shard]; {
	case g.Epoch < o.epoch:
		return errStaleEpoch
	case r.held[h.key()] != nil:
		return errAlreadyHeld
	case r.draining:
		return errDraining
	case r.cfg.Now().Before(r.readyAt):
		return errStarting
	case !g.ExpiresAt.After(r.cfg.Now()):
		return errDeadlinePassed
	}
	r.owners[g.Shard] = owner{g.Epoch, entry}
	if r.urgentWaiting > 0 && !g.Urgent {
		return errUrgentWaiting
	}
	err := r.cfg.Reserver.Reserve(h.reservationName(), g.Need)
	if err != nil && g.Urgent && r.preempt(g.Need) {
		h.awaitingCapacity = true
		r.urgentWaiting++
		return nil
	}
	return err
}

// Extend moves the deadlines of a shard's grants forward. A deadline that has passed
// is final, even if the process was frozen and has not acted on it yet: the owner
// may have granted the task to another agent since. The deadline of a grant that is to
// stop doesn't move: after it, a task whose stop got no answer is reported as lost.
func (r *Runner) Extend(entry string, renewal messenger.LeaseRenewal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if renewal.Epoch < r.owners[renewal.Shard].epoch {
		return
	}
	r.owners[renewal.Shard] = owner{renewal.Epoch, entry}
	now := r.cfg.Now()
	for _, h := range r.held {
		if h.grant.Shard == renewal.Shard && h.stopMode == stopNone && h.deadline.After(now) && renewal.ExpiresAt.After(h.deadline) {
			h.deadline = renewal.ExpiresAt
		}
	}
}

// Reconcile answers the inventory request of a shard's owner: it records the owner's
// epoch, sends all unacknowledged outcomes again, and lists the shard's grants that
// are held.
func (r *Runner) Reconcile(entry string, inv messenger.GrantInventory) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if inv.Epoch < r.owners[inv.Shard].epoch {
		return
	}
	r.owners[inv.Shard] = owner{inv.Epoch, entry}
	inv.Grants = nil
	for k, h := range r.held {
		if h.grant.Shard != inv.Shard {
			continue
		}
		h.reportSent = false
		r.sendReport(h)
		inv.Grants = append(inv.Grants, messenger.GrantRef{Run: k.run, Seq: k.seq})
	}
	r.cfg.Send(entry, messenger.Frame{Kind: messenger.KindInventoryReply, Inventory: &inv})
}

// Revoke stops a grant. A grant that is not held is ignored: the owner learns of it
// from the next inventory.
func (r *Runner) Revoke(g messenger.Grant) {
	r.mu.Lock()
	defer r.mu.Unlock()
	h := r.held[grantKey{g.Run, g.Seq}]
	if h == nil || g.Epoch < r.owners[g.Shard].epoch {
		return
	}
	if g.Evict {
		h.stop(stopEvict)
		return
	}
	h.stop(stopCancel)
}

// Acknowledge handles the owner's reply to a report: its outcomes are stored durably,
// or the grant is no longer valid. The worker may delete their tasks, and a closed
// grant without further outcomes is dropped.
func (r *Runner) Acknowledge(rep messenger.Report) {
	r.mu.Lock()
	defer r.mu.Unlock()
	h := r.held[grantKey{rep.Run, rep.Seq}]
	if h == nil {
		return
	}
	h.reportSent = false
	acked := map[int]bool{}
	for _, o := range rep.Outcomes {
		acked[o.Index] = true
	}
	var unacked []messenger.Outcome
	for _, o := range h.outcomes {
		if !acked[o.Index] {
			unacked = append(unacked, o)
			continue
		}
		select {
		case r.deletions <- taskID(h.grant, o.Index):
		default:
		}
	}
	h.outcomes = unacked
	if h.closed && len(unacked) == 0 && rep.Closed {
		delete(r.held, h.key())
		return
	}
	r.sendReport(h)
}
