// Package relayer reaches the platform's store through other entries while the
// store turns this instance away or is cut off from it.
package relayer

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/dghubble/sling"
	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"github.com/endivefall/endivefall/storer"
)

// Path is where an entry takes calls of others.
const Path = "/store"

// Times and sizes of a relayed call.
const (
	// awayFor is how long calls go through others first, before the store is
	// tried from here again.
	awayFor = 1500 * time.Millisecond
	// vainFor is how long no other entry is asked after none could help: the
	// store is down for all, and each call has a price.
	vainFor = 700 * time.Millisecond
	// relayTimeout bounds a relayed call but for its wait: a call to the store
	// and a round trip.
	relayTimeout = 1100 * time.Millisecond
	// maxHelpers is how many others are asked.
	maxHelpers = 2
	// maxBody bounds a relayed call or its reply in bytes: a page of 1 MB.
	maxBody = 4 << 20
)

// Config is what a Relayer needs.
type Config struct {
	// Store is reached from this instance.
	Store *storer.Store
	// Peers lists where other entries take calls.
	Peers func() []netip.AddrPort
	// Client calls them.
	Client *http.Client
	Now    func() time.Time
	Log    *zap.Logger
	Count  func(name string)
}

// Relayer makes calls to the store, from here or through others.
type Relayer struct {
	cfg Config
	mu  sync.Mutex
	// away is until when others are asked first; vain until when none is asked.
	away, vain time.Time
	// lost is since when the store is out of reach from here; zero while it is
	// reached.
	lost time.Time
	// turn picks the first helper.
	turn int
}

// New returns a Relayer.
func New(cfg Config) *Relayer { return &Relayer{cfg: cfg} }

// Store returns the store as reached by any way.
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
			p, err := r.send(ctx, &call{Op: opPage, Key: prefix, After: after})
			return page(p), err
		},
		Watch: func(ctx context.Context, prefix string, after uint64, until time.Time) (storer.Page, error) {
			p, err := r.send(ctx, &call{Op: opWatch, Key: prefix, Version: after, Wait: max(time.Until(until).Milliseconds(), 1)})
			return page(p), err
		},
		Commit: func(ctx context.Context, change storer.Transaction) (uint64, error) {
			p, err := r.send(ctx, &call{Op: opCommit, Change: change})
			return p.Version, err
		},
		CreateLease: func(ctx context.Context, ttl time.Duration) (string, error) {
			p, err := r.send(ctx, &call{Op: opLease, Wait: ttl.Milliseconds()})
			return p.Lease, err
		},
		RenewLease: func(ctx context.Context, lease string) error {
			_, err := r.send(ctx, &call{Op: opRenew, Key: lease})
			return err
		},
		RevokeLease: func(ctx context.Context, lease string) error {
			_, err := r.send(ctx, &call{Op: opEnd, Key: lease})
			return err
		},
	}
}

func page(p *reply) storer.Page {
	return storer.Page{Items: p.Items, More: p.More, Version: p.Version}
}

// Reachable says whether the store is reached from this instance, and else since
// when it is not.
func (r *Relayer) Reachable() (since time.Time, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lost, r.lost.IsZero()
}

// settled says whether an outcome tells what the store has done.
func settled(err error) bool {
	return !errors.Is(err, storer.ErrUnavailable) && !errors.Is(err, storer.ErrUnknownOutcome)
}

// send makes a call in the way that is likely to work, then in the other. A
// write that any way may have made is unsettled unless another way tells.
func (r *Relayer) send(ctx context.Context, c *call) (*reply, error) {
	r.mu.Lock()
	now := r.cfg.Now()
	away, vain := now.Before(r.away), now.Before(r.vain)
	r.mu.Unlock()
	var doubt error
	if away && !vain {
		p, err := r.relay(ctx, c)
		if settled(err) {
			return p, err
		}
		if errors.Is(err, storer.ErrUnknownOutcome) {
			doubt = err
		}
	}
	p, err := r.direct(ctx, c)
	r.note(err)
	if !settled(err) && ctx.Err() == nil && !away && !vain {
		through, other := r.relay(ctx, c)
		if settled(other) {
			r.mu.Lock()
			r.away = r.cfg.Now().Add(awayFor)
			r.mu.Unlock()
			return through, other
		}
		if errors.Is(other, storer.ErrUnknownOutcome) {
			doubt = other
		}
	}
	if doubt != nil && errors.Is(err, storer.ErrUnavailable) {
		return p, fmt.Errorf("%w: %w", storer.ErrUnknownOutcome, doubt)
	}
	return p, err
}

// note keeps since when the store is out of reach from here.
func (r *Relayer) note(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case settled(err) && !r.lost.IsZero():
		r.cfg.Log.Info("store reached again", zap.Duration("after", r.cfg.Now().Sub(r.lost)))
		r.lost = time.Time{}
	case !settled(err) && r.lost.IsZero():
		r.lost = r.cfg.Now()
		r.cfg.Log.Warn("store lost", zap.Error(err))
	}
}

// direct makes a call from this instance.
func (r *Relayer) direct(ctx context.Context, c *call) (*reply, error) {
	p := &reply{}
	var err error
	r.cfg.Count(c.Op.String())
	switch c.Op {
	case opGet:
		var item storer.Item
		if item, err = r.cfg.Store.Get(ctx, c.Key); err == nil {
			p.Items = []storer.Item{item}
		}
	case opPage, opWatch:
		var got storer.Page
		if c.Op == opPage {
			got, err = r.cfg.Store.ListPage(ctx, c.Key, c.After)
		} else {
			got, err = r.cfg.Store.Watch(ctx, c.Key, c.Version, time.Now().Add(time.Duration(c.Wait)*time.Millisecond))
		}
		p.Items, p.More, p.Version = got.Items, got.More, got.Version
	case opCommit:
		p.Version, err = r.cfg.Store.Commit(ctx, c.Change)
	case opLease:
		p.Lease, err = r.cfg.Store.CreateLease(ctx, time.Duration(c.Wait)*time.Millisecond)
	case opRenew:
		err = r.cfg.Store.RenewLease(ctx, c.Key)
	case opEnd:
		err = r.cfg.Store.RevokeLease(ctx, c.Key)
	default:
		err = fmt.Errorf("call of an unknown kind %d", c.Op)
	}
	return p, err
}

// relay asks other entries to make a call. Only the last one's failure counts,
// but for a write that may have taken effect.
func (r *Relayer) relay(ctx context.Context, c *call) (*reply, error) {
	peers := r.cfg.Peers()
	err := error(storer.ErrUnavailable)
	doubt := false
	r.mu.Lock()
	r.turn++
	first := r.turn
	r.mu.Unlock()
	for n := range min(len(peers), maxHelpers) {
		var p *reply
		p, err = r.through(ctx, peers[(first+n)%len(peers)], c)
		if settled(err) {
			return p, err
		}
		doubt = doubt || errors.Is(err, storer.ErrUnknownOutcome)
	}
	r.mu.Lock()
	r.vain = r.cfg.Now().Add(vainFor)
	r.mu.Unlock()
	if doubt {
		return &reply{}, fmt.Errorf("%w: through another entry", storer.ErrUnknownOutcome)
	}
	return &reply{}, err
}

// through makes a call through one entry.
func (r *Relayer) through(ctx context.Context, peer netip.AddrPort, c *call) (*reply, error) {
	limit := relayTimeout
	if c.Op == opWatch {
		limit += time.Duration(c.Wait) * time.Millisecond
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	raw, err := cbor.Marshal(c)
	if err != nil {
		return &reply{}, err
	}
	req, err := sling.New().Post("http://" + peer.String() + Path).Body(bytes.NewReader(raw)).Request()
	if err != nil {
		return &reply{}, err
	}
	failed := storer.ErrUnknownOutcome
	if c.Op != opCommit && c.Op != opLease {
		failed = storer.ErrUnavailable // it may be made again without harm
	}
	resp, err := r.cfg.Client.Do(req.WithContext(ctx))
	if err != nil {
		return &reply{}, fmt.Errorf("%w: %w", failed, err)
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err = io.ReadAll(io.LimitReader(resp.Body, maxBody))
	var p reply
	if err == nil {
		err = cbor.Unmarshal(raw, &p)
	}
	if err != nil || resp.StatusCode != http.StatusOK {
		return &reply{}, fmt.Errorf("%w: entry answered %s: %w", failed, resp.Status, err)
	}
	return &p, p.err()
}

// ServeHTTP makes a call for another entry, from this instance only.
func (r *Relayer) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	raw, err := io.ReadAll(io.LimitReader(req.Body, maxBody))
	var c call
	if err == nil {
		err = cbor.Unmarshal(raw, &c)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p, err := r.direct(req.Context(), &c)
	r.note(err)
	if err != nil {
		p.Code, p.Text = codeOf(err), err.Error()
		var clash *storer.ConflictError
		if errors.As(err, &clash) {
			p.Items = clash.Items
		}
	}
	raw, err = cbor.Marshal(p)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	if _, err := w.Write(raw); err != nil {
		r.cfg.Log.Debug("reply to a relayed call not written", zap.Error(err))
	}
}
