// Package relayer sends calls to the platform's store through other entries while
// the store rejects this instance or cannot be reached from it.
package relayer

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/dghubble/sling"
	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"github.com/endivefall/endivefall/fetcher"
	"github.com/endivefall/endivefall/limiter"
	"github.com/endivefall/endivefall/meter"
	"github.com/endivefall/endivefall/storer"
)

// Path is the URL path at which an entry accepts calls relayed by others.
const Path = "/store"

// Times and limits of relayed calls.
const (
	// relayFirstDuration is how long calls go through other entries first after a
	// relayed call has succeeded where the direct one failed. The store is then tried
	// directly again.
	relayFirstDuration = 1500 * time.Millisecond
	// watchRelayDelay is how long the store is unreachable before watches go through other
	// entries first. Relaying a large reply takes longer than a reconnection.
	watchRelayDelay = time.Second
	// relayCooldown is how long calls are not relayed through an entry after it said that the store
	// does not answer it, nor through any after entries gave no answer: the store is then likely
	// down for all, and each call has a cost.
	relayCooldown = 700 * time.Millisecond
	// peerTimeout is how long another entry may take to begin its reply, which it does
	// before it makes the call. It covers a new connection and a round trip.
	peerTimeout = 500 * time.Millisecond
	// relayTimeout is how long the other entry may send nothing after that, without the
	// wait of a watch: it covers a call to the store and a round trip to the other entry.
	relayTimeout = 1100 * time.Millisecond
	// refusalTTL is how long after a failed call an entry refuses calls of others at once.
	// While it does not reach the store, its own calls fail more often than that.
	refusalTTL = 3 * time.Second
	// maxPeersPerCall is the number of other entries through which a call is tried,
	// without those that refuse it at once.
	maxPeersPerCall = 2
	// maxBodyBytes bounds a relayed call or its reply, which may hold a page of 1 MB.
	maxBodyBytes = 4 << 20
)

// Config configures a Relayer.
type Config struct {
	// Store is the store as reached directly from this instance.
	Store *storer.Store
	// Peers returns the addresses at which other entries accept relayed calls.
	Peers func() []netip.AddrPort
	// Client sends requests to the peers.
	Client *http.Client
	// Limits bounds the bodies of relayed calls; nil for no limits.
	Limits *limiter.Group
	Now    func() time.Time
	Log    *zap.Logger
	Count  func(c meter.Counter)
}

// Relayer makes calls to the store, directly or through other entries.
type Relayer struct {
	cfg Config
	mu  sync.Mutex
	// relayFirstUntil is until when calls are relayed before they are made directly;
	// noRelayUntil is until when they are not relayed.
	relayFirstUntil, noRelayUntil time.Time
	// peerFailedAt is when a peer last said that the store does not answer it. The next call goes
	// through others, as the store may turn away only some of the entries.
	peerFailedAt map[netip.AddrPort]time.Time
	// silences are those of each kind of call: a busy store may answer all but transactions.
	silences [kinds]silence
	// unreachableSince is since when the store cannot be reached directly; zero while
	// it can. failedAt is when a direct call last failed.
	unreachableSince, failedAt time.Time
	// nextPeer selects the first peer of the next relayed call, round robin.
	nextPeer int
}

// New returns a Relayer.
func New(cfg Config) *Relayer {
	return &Relayer{cfg: cfg, peerFailedAt: map[netip.AddrPort]time.Time{}}
}

// Store returns the store, reached directly or through another entry.
func (r *Relayer) Store() *storer.Store {
	return &storer.Store{
		Get: func(ctx context.Context, key string) (storer.Item, error) {
			p, err := r.send(ctx, &call{Op: opGet, Key: key})
			if err != nil || len(p.Items) == 0 {
				return storer.Item{}, err
			}
			return p.Items[0], nil
		},
		ListPage: func(ctx context.Context, prefix, after string) (storer.Page, error) {
			p, err := r.send(ctx, &call{Op: opListPage, Key: prefix, After: after})
			return toPage(p), err
		},
		Watch: func(ctx context.Context, prefix string, after uint64, until time.Time) (storer.Page, error) {
			p, err := r.send(ctx, &call{Op: opWatch, Key: prefix, Version: after, Wait: max(time.Until(until).Milliseconds(), 1)})
			return toPage(p), err
		},
		Commit: func(ctx context.Context, change storer.Transaction) (uint64, error) {
			p, err := r.send(ctx, &call{Op: opCommit, Change: change})
			return p.Version, err
		},
		CreateLease: func(ctx context.Context, ttl time.Duration) (string, error) {
			p, err := r.send(ctx, &call{Op: opCreateLease, Wait: ttl.Milliseconds()})
			return p.Lease, err
		},
		RenewLease: func(ctx context.Context, lease string) error {
			_, err := r.send(ctx, &call{Op: opRenewLease, Key: lease})
			return err
		},
		RevokeLease: func(ctx context.Context, lease string) error {
			_, err := r.send(ctx, &call{Op: opRevokeLease, Key: lease})
			return err
		},
	}
}

func toPage(p *reply) storer.Page {
	return storer.Page{Items: p.Items, More: p.More, Version: p.Version}
}

// Reachable reports whether this instance reaches the store directly and, if not,
// since when it does not.
func (r *Relayer) Reachable() (since time.Time, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.unreachableSince, r.unreachableSince.IsZero()
}

// outcomeKnown reports whether err is a definite result from the store: neither
// ErrUnavailable nor ErrUnknownOutcome.
func outcomeKnown(err error) bool {
	return !errors.Is(err, storer.ErrUnavailable) && !errors.Is(err, storer.ErrUnknownOutcome)
}

// Outage returns for how long the store has not answered calls of some kind, neither directly nor through
// another entry; 0 while it answers all kinds.
func (r *Relayer) Outage() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	now, outage := r.cfg.Now(), time.Duration(0)
	for _, s := range r.silences {
		outage = max(outage, s.length(now))
	}
	return outage
}

// send makes a call and notes whether the store answers.
func (r *Relayer) send(ctx context.Context, c *call) (*reply, error) {
	sent := r.cfg.Now()
	p, err := r.sendEitherWay(ctx, c)
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.cfg.Now()
	if c.Op == opWatch {
		sent = now // it may have waited for a change before
	}
	switch s := &r.silences[c.kind()]; {
	case outcomeKnown(err):
		*s = silence{}
	case ctx.Err() == nil:
		s.extend(sent, now)
	}
	return p, err
}

// sendEitherWay makes a call directly or through other entries, trying first what is more
// likely to succeed and then, if that gave no definite result, the other. If either
// attempt at a write may have taken effect and neither gives a definite result, the
// outcome is unknown. While all peers have failed lately, calls are only made directly.
func (r *Relayer) sendEitherWay(ctx context.Context, c *call) (*reply, error) {
	r.mu.Lock()
	now := r.cfg.Now()
	relayFirst := now.Before(r.relayFirstUntil)
	if c.Op == opWatch && !r.unreachableSince.IsZero() && now.Sub(r.unreachableSince) > watchRelayDelay {
		relayFirst = true // shorter calls find out sooner whether the store is reached again
	}
	r.mu.Unlock()
	var unknownErr error
	if relayFirst {
		p, err := r.relay(ctx, c)
		if outcomeKnown(err) {
			return p, err
		}
		if errors.Is(err, storer.ErrUnknownOutcome) {
			unknownErr = err
		}
	}
	p, err := r.direct(ctx, c)
	r.updateReachability(err)
	if !outcomeKnown(err) && ctx.Err() == nil && !relayFirst {
		relayed, relayErr := r.relay(ctx, c)
		if outcomeKnown(relayErr) {
			r.mu.Lock()
			r.relayFirstUntil = r.cfg.Now().Add(relayFirstDuration)
			r.mu.Unlock()
			return relayed, relayErr
		}
		if errors.Is(relayErr, storer.ErrUnknownOutcome) {
			unknownErr = relayErr
		}
	}
	if unknownErr != nil && errors.Is(err, storer.ErrUnavailable) {
		return p, fmt.Errorf("%w: %w", storer.ErrUnknownOutcome, unknownErr)
	}
	return p, err
}

// updateReachability updates unreachableSince from the result of a direct call.
func (r *Relayer) updateReachability(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !outcomeKnown(err) {
		r.failedAt = r.cfg.Now()
	}
	switch {
	case outcomeKnown(err) && !r.unreachableSince.IsZero():
		r.cfg.Log.Info("store reached again", zap.Duration("after", r.cfg.Now().Sub(r.unreachableSince)))
		r.unreachableSince = time.Time{}
	case !outcomeKnown(err) && r.unreachableSince.IsZero():
		r.unreachableSince = r.cfg.Now()
		r.cfg.Log.Warn("store unreachable", zap.Error(err))
	}
}

// direct makes a call from this instance and counts it.
func (r *Relayer) direct(ctx context.Context, c *call) (*reply, error) {
	p := &reply{}
	var err error
	r.cfg.Count(meter.StoreCalls.Of(c.Op.String()))
	switch c.Op {
	case opGet:
		var item storer.Item
		if item, err = r.cfg.Store.Get(ctx, c.Key); err == nil {
			p.Items = []storer.Item{item}
		}
	case opListPage, opWatch:
		var page storer.Page
		if c.Op == opListPage {
			page, err = r.cfg.Store.ListPage(ctx, c.Key, c.After)
		} else {
			page, err = r.cfg.Store.Watch(ctx, c.Key, c.Version, time.Now().Add(time.Duration(c.Wait)*time.Millisecond))
		}
		p.Items, p.More, p.Version = page.Items, page.More, page.Version
	case opCommit:
		p.Version, err = r.cfg.Store.Commit(ctx, c.Change)
	case opCreateLease:
		p.Lease, err = r.cfg.Store.CreateLease(ctx, time.Duration(c.Wait)*time.Millisecond)
	case opRenewLease:
		err = r.cfg.Store.RenewLease(ctx, c.Key)
	case opRevokeLease:
		err = r.cfg.Store.RevokeLease(ctx, c.Key)
	default:
		err = fmt.Errorf("call of an unknown kind %d", c.Op)
	}
	for _, item := range p.Items {
		if item.Version == 0 {
			r.cfg.Log.Warn("entry of the store can't be read", zap.String("key", item.Key))
			r.cfg.Count(meter.UnreadableStoreEntries)
		}
	}
	return p, err
}

// promisingPeers returns the other entries that have not failed lately, each time another one
// first.
func (r *Relayer) promisingPeers() []netip.AddrPort {
	peers := r.cfg.Peers()
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.cfg.Now()
	if now.Before(r.noRelayUntil) {
		return nil
	}
	maps.DeleteFunc(r.peerFailedAt, func(_ netip.AddrPort, at time.Time) bool { return now.Sub(at) >= relayCooldown })
	r.nextPeer++
	var list []netip.AddrPort
	for n := range peers {
		peer := peers[(r.nextPeer+n)%len(peers)]
		if _, failed := r.peerFailedAt[peer]; !failed {
			list = append(list, peer)
		}
	}
	return list
}

// relay asks other entries to make a call. If all fail, it returns the last failure,
// or ErrUnknownOutcome if any of them may have written.
func (r *Relayer) relay(ctx context.Context, c *call) (*reply, error) {
	peers := r.promisingPeers()
	err := error(storer.ErrUnavailable)
	unknownOutcome := false
	for n, tried := 0, 0; n < len(peers) && tried < maxPeersPerCall; n++ {
		var p *reply
		p, err = r.callPeer(ctx, peers[n], c)
		if outcomeKnown(err) {
			return p, err
		}
		r.mu.Lock()
		if errors.Is(p.err(), storer.ErrUnavailable) {
			r.peerFailedAt[peers[n]] = r.cfg.Now()
		} else { // a silent entry delays each call that is tried through it
			r.noRelayUntil = r.cfg.Now().Add(relayCooldown)
		}
		r.mu.Unlock()
		unknownOutcome = unknownOutcome || errors.Is(err, storer.ErrUnknownOutcome)
		if !errors.Is(err, errRefused) {
			tried++
		}
	}
	if unknownOutcome {
		return &reply{}, fmt.Errorf("%w: through another entry", storer.ErrUnknownOutcome)
	}
	return &reply{}, err
}

// callPeer makes a call through one other entry.
func (r *Relayer) callPeer(ctx context.Context, peer netip.AddrPort, c *call) (*reply, error) {
	timeout := relayTimeout
	if c.Op == opWatch {
		timeout += time.Duration(c.Wait) * time.Millisecond
	}
	raw, err := cbor.Marshal(c)
	if err != nil {
		return &reply{}, err
	}
	req, err := sling.New().Post("http://" + peer.String() + Path).Body(bytes.NewReader(raw)).Request()
	if err != nil {
		return &reply{}, err
	}
	failure := storer.ErrUnknownOutcome
	if c.Op != opCommit && c.Op != opCreateLease {
		failure = storer.ErrUnavailable // safe to retry
	}
	resp, err := fetcher.Do(r.cfg.Client.Do, req.WithContext(ctx), fetcher.Limits{HeadBy: time.Now().Add(peerTimeout), Silence: timeout, MaxBytes: maxBodyBytes})
	if err != nil {
		return &reply{}, fmt.Errorf("%w: %w", failure, err)
	}
	var p reply
	err = cbor.Unmarshal(resp.Body, &p)
	if err != nil || resp.Code != http.StatusOK {
		return &reply{}, fmt.Errorf("%w: entry answered %s: %w", failure, resp.Status, err)
	}
	if !p.complete(c.Op) {
		return &reply{}, fmt.Errorf("%w: reply without a result", failure)
	}
	return &p, p.err()
}
