// Package elector tracks which entries are alive and which of them owns the pools,
// and claims ownership when the owner is lost. A claim is a compare-and-swap of the
// owner key; the key's version fences every write of an earlier owner.
package elector

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/endivefall/endivefall/estimator"
	"github.com/endivefall/endivefall/meter"
	"github.com/endivefall/endivefall/storer"
)

// Keys of the membership in the store.
const (
	livePrefix  = "ef/live/"
	entryPrefix = livePrefix + "entry/"
	// OwnerKey is the key of the OwnerRecord.
	OwnerKey = livePrefix + "owner"
)

// Timeouts and intervals of membership and ownership.
const (
	// liveTTL is the TTL of the lease of an entry's live key. It limits how quickly a
	// lost owner is replaced.
	liveTTL = 1500 * time.Millisecond
	// renewInterval is how often the live key's lease is renewed; two renewals may be lost.
	renewInterval = 450 * time.Millisecond
	// maxWatchWait bounds a watch, so that an unresponsive connection is detected.
	maxWatchWait = 2 * time.Second
	// checkInterval is how often the owner is checked for being alive.
	checkInterval = 150 * time.Millisecond
	// claimDelayPerRank is how much longer each following candidate waits before it
	// claims ownership.
	claimDelayPerRank = 300 * time.Millisecond
	// releaseCooldown is how long an entry that released ownership does not claim it
	// again while another entry is alive.
	releaseCooldown = 6 * time.Second
	// retryDelay is the delay after a failed call to the store.
	retryDelay = 200 * time.Millisecond
	// ownerSilence is how long an owner without a live key may send nothing on its links before
	// it is taken for lost.
	ownerSilence = time.Second
	// ConfirmationTTL is how long a confirmation of ownership is valid while all other
	// entries extend it. It outlasts the store outage of nine seconds that most fault
	// scenarios contain, so that such an outage does not stop the work.
	ConfirmationTTL = 10 * time.Second
	// UnextendedTTL is how long a confirmation is valid otherwise: four intervals between
	// confirmations.
	UnextendedTTL = 2 * time.Second
	// confirmInterval is how often the owner confirms its ownership in the store.
	confirmInterval = 500 * time.Millisecond
)

// errReplaced means that another writer has replaced the live key of this entry.
var errReplaced = errors.New("live key was replaced")

// Config configures an Elector.
type Config struct {
	Self  Member
	Store *storer.Store
	// ClaimKey is a key that each claim writes together with OwnerKey. Whoever watches
	// it among other keys sees a claim before later changes of these. Empty for none.
	ClaimKey string
	// Now is a clock that includes time during which the instance was suspended.
	Now func() time.Time
	Log *zap.Logger
	// OwnerLastReply returns when the owner last replied on a link.
	OwnerLastReply func() time.Time
	// OnChange is called with the owner record and the live entries other than this
	// one after every change.
	OnChange func(OwnerRecord, []Member)
	// Count increments the counter of a name; it may be nil.
	Count func(c meter.Counter)
}

// Elector tracks the membership and claims ownership. It is safe for concurrent use.
type Elector struct {
	cfg Config

	mu sync.Mutex
	// record and version are the newest known value and version of the owner key.
	record  OwnerRecord
	version uint64
	// keyDeleted is set while the owner key does not exist, though it did; version is then one
	// at which it was gone.
	keyDeleted bool
	// members has the live entries by ID, as last read from the store.
	members map[string]Member
	// unreadable has the IDs of live keys that can't be decoded.
	unreadable map[string]bool
	// confirmedAt is the send time of the newest write of the confirmation key by this entry that
	// is known to have taken effect while it was the owner.
	confirmedAt time.Time
	// confirmAfter is a local time after which a confirmation is needed.
	confirmAfter time.Time
	// claimedAt is the local time at which this entry learned that its newest claim
	// took effect.
	claimedAt time.Time
	// ownerSeenAt is the local time at which this entry learned of the claim of record.
	// earlierUntil is the one until which those before the owner of record may act.
	ownerSeenAt, earlierUntil time.Time
	// unrosteredUntil is the local time until which an owner before that of record may renew
	// the lease of an agent that the last of them has not recorded as reached; zero if that
	// is not known.
	unrosteredUntil time.Time
	// claimSentAt is the local time of the first of the claims of this entry that may have taken
	// effect, claimedConfirmation the latest one at which it learned of the confirmation that one
	// of them checks. claimedUnchecked is set if one checks none.
	claimSentAt, claimedConfirmation time.Time
	claimedUnchecked                 bool
	// confirmedMeanwhile is the version of the owner key for which a claim of this entry was refused, as the
	// owner had confirmed itself since.
	confirmedMeanwhile uint64
	// confirmation is the last one known of any owner, earlierOwners what the newest claim of this
	// entry shows of those before it.
	confirmation  confirmation
	earlierOwners earlierOwners
	// cooldownUntil is the time before which this entry does not claim ownership
	// while another entry is alive.
	cooldownUntil time.Time
	// claimableSince is since when ownership can be claimed; zero while it cannot.
	claimableSince time.Time
	// lease is the lease of this entry's live key.
	lease string
	// startedAt is the local time at which this process started. Earlier ones of the entry have extended
	// nothing since.
	startedAt time.Time
	// extensions are those of other entries' claims that this entry relies on as the owner,
	// and those that others rely on.
	extensions extensions
}

// New returns an Elector; Serve runs it.
func New(cfg Config) *Elector {
	if cfg.Count == nil {
		cfg.Count = func(meter.Counter) {}
	}
	return &Elector{cfg: cfg, startedAt: cfg.Now(), members: map[string]Member{}, unreadable: map[string]bool{}, extensions: extensions{granted: map[string]grant{}, pings: map[string]ping{}}}
}

// Owner returns the owner record and the version of the owner key.
func (e *Elector) Owner() (OwnerRecord, uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.record, e.version
}

// IsOwner reports whether this process is the owner according to the newest known
// record.
func (e *Elector) IsOwner() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.isOwnerLocked()
}

func (e *Elector) isOwnerLocked() bool { return e.record.Owner == e.cfg.Self && !e.record.Released }

// OwnershipConfirmedAt returns the send time of the newest call to the store that
// confirmed this process as the owner.
func (e *Elector) OwnershipConfirmedAt() time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.confirmedAt
}

// ClaimedAt returns the local time at which this entry learned that its newest claim
// took effect.
func (e *Elector) ClaimedAt() time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.claimedAt
}

// UnrosteredUntil returns the local time until which an owner before this one may renew the
// lease of an agent that the last of them has not recorded as reached, or the zero time if
// that is not known.
func (e *Elector) UnrosteredUntil() time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.unrosteredUntil
}

// ClaimSentAt returns the local time before which the newest claim of this entry was not sent.
func (e *Elector) ClaimSentAt() time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.claimSentAt
}

// RosterFrom returns the local time from which this owner renews the leases of no agents but
// those that it has recorded as reached. Other entries count UnextendedTTL from when they see
// the claim.
func (e *Elector) RosterFrom() time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.claimSentAt.Add(UnextendedTTL)
}

// Members returns the live entries other than this one.
func (e *Elector) Members() []Member {
	e.mu.Lock()
	defer e.mu.Unlock()
	list := make([]Member, 0, len(e.members))
	for id, m := range e.members {
		if id != e.cfg.Self.ID {
			list = append(list, m)
		}
	}
	return list
}

// Peers returns the peer addresses of the live entries other than this one.
func (e *Elector) Peers() []netip.AddrPort {
	var list []netip.AddrPort
	for _, m := range e.Members() {
		list = append(list, m.PeerAddr)
	}
	return list
}

// Serve announces this entry, watches the membership and claims ownership when it
// is free, until ctx ends.
func (e *Elector) Serve(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { e.announceLoop(ctx) })
	wg.Go(func() { e.watchLoop(ctx) })
	wg.Go(func() { e.claimLoop(ctx) })
	wg.Go(func() { e.confirmLoop(ctx) })
	wg.Wait()
}

// applyOwnerRecord applies a newer version of the owner key; mu is held. One that can't be
// decoded has no owner, nor has a key that another writer deleted: the entry that it replaces
// stops, as it can write nothing more, and another claim follows. Its term is above all
// earlier ones, even those that this process has not read.
func (e *Elector) applyOwnerRecord(item storer.Item) {
	if item.Version <= e.version {
		return
	}
	if item.Deleted {
		claimableSince := time.Time{}
		if e.keyDeleted {
			claimableSince = e.claimableSince
		} else {
			e.cfg.Log.Warn("owner key was deleted", zap.Uint64("version", item.Version), zap.String("owner", e.record.Owner.ID))
		}
		e.setRecordLocked(OwnerRecord{Term: item.Version}, item.Version)
		e.keyDeleted, e.claimableSince = true, claimableSince
		return
	}
	r, err := decodeOwnerRecord(item.Value, item.Version)
	if err != nil {
		e.cfg.Log.Warn("cannot decode owner record", zap.Uint64("version", item.Version), zap.Error(err))
		e.cfg.Count(meter.UnreadableOwners)
		r = OwnerRecord{Term: item.Version}
	}
	if r.Owner != e.record.Owner || r.Released != e.record.Released {
		e.cfg.Log.Info("owner changed", zap.String("owner", r.Owner.ID), zap.Uint64("term", r.Term), zap.Bool("released", r.Released), zap.Uint64("version", item.Version))
	}
	e.setRecordLocked(r, item.Version)
}

// setRecordLocked stores a record of the owner key, which this process has read or
// written; mu is held.
func (e *Elector) setRecordLocked(r OwnerRecord, version uint64) {
	if r.Term != e.record.Term {
		now := e.cfg.Now()
		e.unrosteredUntil = time.Time{}
		if e.record.Roster && r.Term == e.record.Term+1 && e.countedLocked() && !e.extensions.claimedUncounted {
			x := &e.extensions
			e.unrosteredUntil = later(later(e.earlierUntil, e.ownerSeenAt.Add(estimator.MaxLocalElapsed(UnextendedTTL))), later(x.countedAt, x.anyUntil))
		}
		if r.Owner == e.cfg.Self {
			e.claimedAt, e.earlierOwners = now, e.earlierOwnersLocked()
		}
		e.earlierUntil, e.ownerSeenAt = later(e.earlierUntil, now.Add(estimator.MaxLocalElapsed(r.EarlierOwnersTTL()))), now
	}
	e.record, e.version, e.keyDeleted, e.claimableSince = r, version, false, time.Time{}
}
