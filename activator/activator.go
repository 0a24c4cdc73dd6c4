// Package activator knows since when requests with idempotency keys may have run
// at a service. The first entry that is about to run one writes that down, so
// that agents younger than a window, but older than that, can rule out an
// earlier run.
package activator

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/endivefall/endivefall/storer"
)

const (
	prefix = "open/"
	// timeout bounds the wait for the store; a request waits that long once
	// for each service and entry.
	timeout = 2 * time.Second
	// pause is how long a failure stands before the store is asked again.
	pause = time.Second
)

// Config is what an Opener needs.
type Config struct {
	Get                 func(ctx context.Context, key string) (storer.Item, error)
	CompareAndSwapRetry func(ctx context.Context, key string, value []byte, version uint64, lease string) (uint64, error)
	// Earliest is the platform's clock at a local time, at the least.
	Earliest func(now time.Time) time.Time
	Now      func() time.Time
}

// Activator remembers what it learnt. It is safe for concurrent use.
type Activator struct {
	cfg Config
	// opening is held while the store is asked, so that it is asked once; what
	// is known is told without it.
	opening sync.Mutex
	mu      sync.Mutex
	// since has the services that are known to be open; a service never closes.
	// mu guards it.
	since map[string]time.Time
	// failed is when the store was last asked in vain; opening guards it.
	failed time.Time
}

// New returns an Opener that knows of no service.
func New(cfg Config) *Activator { return &Activator{cfg: cfg, since: map[string]time.Time{}} }

// ActiveSince returns the time, on the platform's clock, before which no request with
// a key can have run, and opens the service if none has. It fails when the
// store cannot tell; then one may have run at any time.
func (o *Activator) ActiveSince(ctx context.Context, team, service string) (time.Time, error) {
	key := prefix + team + "/" + service
	if at, ok := o.known(key); ok {
		return at, nil
	}
	o.opening.Lock()
	defer o.opening.Unlock()
	if at, ok := o.known(key); ok {
		return at, nil
	}
	now := o.cfg.Now()
	if now.Sub(o.failed) < pause {
		return time.Time{}, storer.ErrUnavailable
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	at, err := o.open(ctx, key, now)
	if err != nil {
		o.failed = o.cfg.Now()
		return time.Time{}, fmt.Errorf("opening %s/%s: %w", team, service, err)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.since[key] = at
	return at, nil
}

func (o *Activator) known(key string) (time.Time, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	at, ok := o.since[key]
	return at, ok
}

func (o *Activator) open(ctx context.Context, key string, now time.Time) (time.Time, error) {
	item, err := o.cfg.Get(ctx, key)
	if errors.Is(err, storer.ErrNotFound) {
		at := o.cfg.Earliest(now)
		value := strconv.FormatInt(at.UnixNano(), 10) + " " + uuid.NewString()
		_, err = o.cfg.CompareAndSwapRetry(ctx, key, []byte(value), 0, "")
		if err == nil {
			return at, nil
		}
		if errors.Is(err, storer.ErrConflict) { // another entry was first
			item, err = o.cfg.Get(ctx, key)
		}
	}
	if err != nil {
		return time.Time{}, err
	}
	nanos, _, _ := strings.Cut(string(item.Value), " ")
	n, err := strconv.ParseInt(nanos, 10, 64)
	return time.Unix(0, n), err
}
