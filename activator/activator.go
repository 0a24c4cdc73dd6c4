// Package activator records since when requests with idempotency keys may have run
// at a service. The first entry that is about to run one writes the time to the
// store. An agent that has been up for less than its claim retention, but since
// before that time, can then rule out an earlier run.
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
	keyPrefix = "open/"
	// storeTimeout bounds the calls to the store for one activation. Requests wait for
	// them once for each service and entry.
	storeTimeout = 2 * time.Second
	// retryDelay is how long after a failure the store is not called again.
	retryDelay = time.Second
)

// Config holds the dependencies of an Activator.
type Config struct {
	Get                 func(ctx context.Context, key string) (storer.Item, error)
	CompareAndSwapRetry func(ctx context.Context, key string, value []byte, version uint64, lease string) (uint64, error)
	// Earliest returns a lower bound of the platform's clock at a local time.
	Earliest func(now time.Time) time.Time
	Now      func() time.Time
}

// Activator activates services and caches their times. It is safe for concurrent use.
type Activator struct {
	cfg Config
	// activating is held during calls to the store, so that concurrent requests
	// cause only one. Cached times are returned without it.
	activating sync.Mutex
	mu         sync.Mutex
	// activeSince has the activation times by the service's key in the store. mu guards
	// it. A service stays active for good.
	activeSince map[string]time.Time
	// failedAt is when a call to the store last failed; activating guards it.
	failedAt time.Time
}

// New returns an Activator with an empty cache.
func New(cfg Config) *Activator { return &Activator{cfg: cfg, activeSince: map[string]time.Time{}} }

// ActiveSince returns the time, on the platform's clock, before which no request with
// an idempotency key can have run at a service, and activates the service if it is not
// active. If it returns an error, a request may have run at any time.
func (a *Activator) ActiveSince(ctx context.Context, team, service string) (time.Time, error) {
	key := keyPrefix + team + "/" + service
	if at, ok := a.cached(key); ok {
		return at, nil
	}
	a.activating.Lock()
	defer a.activating.Unlock()
	if at, ok := a.cached(key); ok {
		return at, nil
	}
	now := a.cfg.Now()
	if now.Sub(a.failedAt) < retryDelay {
		return time.Time{}, storer.ErrUnavailable
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	at, err := a.activate(ctx, key, now)
	if err != nil {
		a.failedAt = a.cfg.Now()
		return time.Time{}, fmt.Errorf("activating %s/%s: %w", team, service, err)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.activeSince[key] = at
	return at, nil
}

func (a *Activator) cached(key string) (time.Time, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	at, ok := a.activeSince[key]
	return at, ok
}

func (a *Activator) activate(ctx context.Context, key string, now time.Time) (time.Time, error) {
	item, err := a.cfg.Get(ctx, key)
	if errors.Is(err, storer.ErrNotFound) {
		at := a.cfg.Earliest(now)
		value := strconv.FormatInt(at.UnixNano(), 10) + " " + uuid.NewString()
		_, err = a.cfg.CompareAndSwapRetry(ctx, key, []byte(value), 0, "")
		if err == nil {
			return at, nil
		}
		if errors.Is(err, storer.ErrConflict) { // another entry was first
			item, err = a.cfg.Get(ctx, key)
		}
	}
	if err != nil {
		return time.Time{}, err
	}
	unixNanos, _, _ := strings.Cut(string(item.Value), " ")
	n, err := strconv.ParseInt(unixNanos, 10, 64)
	return time.Unix(0, n), err
}
