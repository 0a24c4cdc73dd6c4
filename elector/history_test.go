package elector

import (
	"context"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"
	qt "github.com/frankban/quicktest"

	"github.com/endivefall/endivefall/advancer"
	"github.com/endivefall/endivefall/faker"
	"github.com/endivefall/endivefall/storer"
)

var (
	histories = flag.Int("histories", 30, "number of random histories")
	firstSeed = flag.Uint64("seed", 1, "seed of the first history")
)

// pingInterval is the delay between two pings of an entry.
const pingInterval = 300 * time.Millisecond

// history plays faults of the store, and entries that freeze, end and ping late, to a cluster.
type history struct {
	*cluster
	seed uint64

	// mu guards the nodes of the cluster and all below.
	mu    sync.Mutex
	draws map[string]int
	// down makes the store refuse all calls; away has the entries whose calls it refuses.
	down bool
	away map[string]bool
	// lossPerMille is the share of the writes whose reply is lost.
	lossPerMille int64

	// claims has the claims in the store by their terms. Only the goroutine of the test uses it.
	claims map[uint64]observedClaim
	// confirmation is the version of the confirmation key, in the store since confirmedBy at the
	// latest.
	confirmation uint64
	// renewsAny has the entries that need to renew the leases of all agents.
	renewsAny   map[string]bool
	confirmedBy time.Time
}

// observedClaim is a claim that has been in the store since a time at the latest.
type observedClaim struct {
	record OwnerRecord
	at     time.Time
}

// TestHistoriesKeepOwnersWithinTheStatedTime plays random faults, and checks that no owner
// acts for longer than later claims state.
func TestHistoriesKeepOwnersWithinTheStatedTime(t *testing.T) {
	for n := range *histories {
		seed := *firstSeed + uint64(n)
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { playHistory(qt.New(t), seed) })
		})
	}
}

func playHistory(c *qt.C, seed uint64) {
	h := &history{
		cluster: &cluster{c: c, store: faker.NewStore(), nodes: map[string]*node{}, frozen: map[string]*gate{}},
		seed:    seed, draws: map[string]int{}, away: map[string]bool{}, claims: map[uint64]observedClaim{}, renewsAny: map[string]bool{},
	}
	for n := range 4 {
		h.join(fmt.Sprint("entry-", n), "1")
	}
	advancer.Sleep(2 * time.Second)
	nextFault := time.Now()
	for end := time.Now().Add(2 * time.Minute); time.Now().Before(end); advancer.Sleep(10 * time.Millisecond) {
		if !time.Now().Before(nextFault) {
			h.injectFault()
			nextFault = time.Now().Add(h.upTo("next", 4*time.Second))
		}
		h.check()
	}
	for id := range h.nodes {
		h.kill(id)
	}
	advancer.Sleep(time.Minute)
}

// draw returns a number below n that depends on the seed, the purpose and the number of draws for
// it, whatever the order in which goroutines run.
func (h *history) draw(purpose string, n int64) int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.draws[purpose]++
	return rand.New(rand.NewPCG(h.seed, xxhash.Sum64String(fmt.Sprint(purpose, h.draws[purpose])))).Int64N(n)
}

func (h *history) upTo(purpose string, most time.Duration) time.Duration {
	return time.Duration(h.draw(purpose, int64(most)))
}

// set changes the faults.
func (h *history) set(change func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	change()
}

func (h *history) node(id string) (*node, *gate) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.nodes[id], h.frozen[id]
}

// kill ends an entry without a release.
func (h *history) kill(id string) {
	h.mu.Lock()
	n := h.nodes[id]
	delete(h.nodes, id)
	h.mu.Unlock()
	n.stop()
	<-n.done
}

// join starts an entry that pings the owner it knows.
func (h *history) join(id, incarnation string) {
	g := &gate{}
	ctx, stop := context.WithCancel(context.Background())
	e := h.elector(id, incarnation)
	e.cfg.Store = g.wrap(h.faulty(id))
	var lastReply atomic.Int64
	e.cfg.OwnerLastReply = func() time.Time { return time.Unix(0, lastReply.Load()) }
	n := &node{Elector: e, stop: stop, done: make(chan struct{})}
	h.set(func() { h.nodes[id], h.frozen[id] = n, g })
	go func() {
		defer close(n.done)
		e.Serve(ctx)
	}()
	go func() {
		for ; ctx.Err() == nil; advancer.Sleep(pingInterval) {
			h.ping(n, &lastReply)
		}
	}()
}

// ping lets an entry ping the owner that it knows. The reply and the next ping may be late.
func (h *history) ping(n *node, lastReply *atomic.Int64) {
	self := n.cfg.Self
	record, _ := n.Owner()
	owner, ownerGate := h.node(record.Owner.ID)
	_, g := h.node(self.ID)
	if owner == nil || owner == n || owner.cfg.Self != record.Owner || g.closed() || ownerGate.closed() {
		return
	}
	confirmation := owner.Confirmation(self.ID, self.Incarnation)
	if confirmation == nil {
		return
	}
	delay := func() time.Duration {
		if h.draw(self.ID+"late", 5) == 0 {
			return h.upTo(self.ID+"delay", 3*time.Second)
		}
		return 5 * time.Millisecond
	}
	time.AfterFunc(delay(), func() {
		lastReply.Store(time.Now().UnixNano())
		if extended := n.Extend(*confirmation); extended != nil {
			time.AfterFunc(delay(), func() { owner.RecordExtension(self.ID, self.Incarnation, *extended) })
		}
	})
}

// faulty returns the store as an entry reaches it.
func (h *history) faulty(id string) *storer.Store {
	s := h.store.Client()
	wrapped := *s
	reach := func() error {
		advancer.Sleep(4 * time.Millisecond)
		h.mu.Lock()
		refused := h.down || h.away[id]
		h.mu.Unlock()
		if refused {
			advancer.Sleep(300 * time.Millisecond)
			return storer.ErrUnavailable
		}
		return nil
	}
	wrapped.Get = func(ctx context.Context, key string) (storer.Item, error) {
		if err := reach(); err != nil {
			return storer.Item{}, err
		}
		return s.Get(ctx, key)
	}
	wrapped.ListPage = func(ctx context.Context, prefix, after string) (storer.Page, error) {
		if err := reach(); err != nil {
			return storer.Page{}, err
		}
		return s.ListPage(ctx, prefix, after)
	}
	wrapped.Watch = func(ctx context.Context, prefix string, after uint64, until time.Time) (storer.Page, error) {
		if err := reach(); err != nil {
			return storer.Page{}, err
		}
		return s.Watch(ctx, prefix, after, until)
	}
	wrapped.Commit = func(ctx context.Context, change storer.Transaction) (uint64, error) {
		if err := reach(); err != nil {
			return 0, err
		}
		h.mu.Lock()
		loss := h.lossPerMille
		h.mu.Unlock()
		if h.draw(id+"lose", 1000) >= loss {
			return s.Commit(ctx, change)
		}
		time.AfterFunc(h.upTo(id+"apply", 5*time.Second), func() { _, _ = s.Commit(context.Background(), change) })
		advancer.Sleep(300 * time.Millisecond)
		return 0, storer.ErrUnknownOutcome
	}
	wrapped.CreateLease = func(ctx context.Context, ttl time.Duration) (string, error) {
		if err := reach(); err != nil {
			return "", err
		}
		return s.CreateLease(ctx, ttl)
	}
	wrapped.RenewLease = func(ctx context.Context, lease string) error {
		if err := reach(); err != nil {
			return err
		}
		return s.RenewLease(ctx, lease)
	}
	return &wrapped
}

func (h *history) injectFault() {
	ids := slices.Sorted(maps.Keys(h.nodes))
	id := ids[h.draw("entry", int64(len(ids)))]
	for _, other := range ids {
		if h.nodes[other].IsOwner() && h.draw("owner", 2) == 0 {
			id = other
		}
	}
	h.renewsAny[id] = h.draw("any", 2) == 0
	n, g := h.node(id)
	switch h.draw("fault", 7) {
	case 0, 1:
		if !g.closed() {
			g.close()
			time.AfterFunc(h.upTo("freeze", 7*time.Second), g.reopen)
		}
	case 2:
		h.set(func() { h.down = true })
		time.AfterFunc(h.upTo("down", 6*time.Second), func() { h.set(func() { h.down = false }) })
	case 3:
		h.set(func() { h.away[id] = true })
		time.AfterFunc(h.upTo("away", 12*time.Second), func() { h.set(func() { delete(h.away, id) }) })
	case 4:
		h.set(func() { h.lossPerMille = 400 })
		time.AfterFunc(h.upTo("loss", 6*time.Second), func() { h.set(func() { h.lossPerMille = 0 }) })
	case 5:
		if !g.closed() {
			h.kill(id)
			h.join(id, n.cfg.Self.Incarnation+"+")
		}
	case 6:
		h.store.Compact()
	}
}

// check checks what each owner may do now.
func (h *history) check() {
	now := time.Now()
	item, err := h.store.Client().Get(context.Background(), OwnerKey)
	h.c.Assert(err, qt.IsNil)
	record, err := decodeOwnerRecord(item.Value, item.Version)
	h.c.Assert(err, qt.IsNil)
	if h.claims[record.Term].at.IsZero() {
		h.claims[record.Term] = observedClaim{record, now}
	}
	h.checkConfirmations(now)
	for id, n := range h.nodes {
		current, _ := n.Owner()
		age := now.Sub(n.OwnershipConfirmedAt())
		if !n.IsOwner() || age >= UnextendedTTL && (age >= ConfirmationTTL || !n.ConfirmationExtended()) {
			continue
		}
		for term, claim := range h.claims {
			if term <= current.Term {
				continue
			}
			until := claim.at.Add(claim.record.EarlierOwnersTTL())
			h.c.Check(now.After(until), qt.IsFalse, qt.Commentf("%s acts in term %d at %v, %v after %v of term %d", id, current.Term, now, now.Sub(until), claim.record, term))
			later := h.nodes[claim.record.Owner.ID]
			if later != nil && later.IsOwner() {
				confirmedBy, until := later.EarlierOwners()
				h.c.Check(!confirmedBy.IsZero() && n.OwnershipConfirmedAt().After(confirmedBy), qt.IsFalse, qt.Commentf("%s was confirmed in term %d, %v after what is known in term %d", id, current.Term, n.OwnershipConfirmedAt().Sub(confirmedBy), term))
				h.c.Check(!until.IsZero() && now.After(until), qt.IsFalse, qt.Commentf("%s acts in term %d, %v after what is known in term %d", id, current.Term, now.Sub(until), term))
			}
			if later == nil || !later.IsOwner() || later.UnrosteredUntil().IsZero() || now.Before(n.RosterFrom()) || !h.renewsAny[id] || !n.ExtendedForAnyAgent() {
				continue
			}
			h.c.Check(now.After(later.UnrosteredUntil()), qt.IsFalse, qt.Commentf("%s renews any lease in term %d, %v after what is known in term %d", id, current.Term, now.Sub(later.UnrosteredUntil()), term))
		}
	}
}

// checkConfirmations checks that each owner was confirmed by a write of the confirmation key, or before
// the newest one.
func (h *history) checkConfirmations(now time.Time) {
	confirmedAt := map[string]time.Time{}
	for id, n := range h.nodes {
		if n.IsOwner() {
			confirmedAt[id] = n.OwnershipConfirmedAt()
		}
	}
	item, err := h.store.Client().Get(context.Background(), confirmationKey)
	h.c.Assert(err, qt.IsNil)
	if item.Version != h.confirmation {
		h.confirmation, h.confirmedBy = item.Version, now
	}
	for id, at := range confirmedAt {
		h.c.Check(at.After(h.confirmedBy), qt.IsFalse, qt.Commentf("%s was confirmed %v after the last write", id, at.Sub(h.confirmedBy)))
	}
}
