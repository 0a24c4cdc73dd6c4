// Package storer speaks to the platform's key-value service: compare-and-swap,
// leases and watches, under a budget of calls.
package storer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/dghubble/sling"
	"golang.org/x/time/rate"

	"github.com/endivefall/endivefall/estimator"
)

// Errors of the platform's store.
var (
	// ErrNotFound says that the key or lease is not there.
	ErrNotFound = errors.New("no such key")
	// ErrConflict says that the key has another version; nothing was written.
	ErrConflict = errors.New("key has another version")
	// ErrUnavailable says that the store is down; nothing was written.
	ErrUnavailable = errors.New("store is down")
	// ErrUnknownOutcome says that a write may or may not have taken effect.
	ErrUnknownOutcome = errors.New("write may have taken effect")
	// ErrRateLimited says that the budget of calls is used up; nothing was sent.
	ErrRateLimited = errors.New("budget of store calls is used up")
)

// Bounds of a call.
const (
	callTimeout  = 5 * time.Second
	watchTimeout = 40 * time.Second
	maxAnswer    = 16 << 20 // bytes of a listing
	// MaxValueBytes is the largest value in bytes that the store takes.
	MaxValueBytes = 1 << 20
)

// nowHeader carries the store's clock on each of its answers.
const nowHeader = "Platform-Now"

// Item is a key with its value. Versions grow over the whole store.
type Item struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version uint64 `json:"version"`
	Lease   string `json:"lease,omitempty"`
	Deleted bool   `json:"gone,omitempty"` // in a watch: the key was deleted
}

// Listing is the answer to List and Watch.
type Listing struct {
	Items   []Item `json:"items"`
	Version uint64 `json:"version"`
	// Snapshot is set when a watch asked for changes that the store no longer
	// has, and so got everything under the prefix.
	Snapshot bool `json:"whole,omitempty"`
}

// Config is what a Keeper needs.
type Config struct {
	Addr netip.AddrPort
	// CallsPerSecond bounds the calls a second, a waiting watch counting as one.
	CallsPerSecond float64
	Now            func() time.Time
	// Do sends a request; http.DefaultClient.Do when nil.
	Do func(*http.Request) (*http.Response, error)
	// Count is told of each call, for metrics; it may be nil.
	Count func(call string, err error)
}

// Client is a caller of the platform's store. It is safe for concurrent use.
type Client struct {
	cfg    Config
	budget *rate.Limiter
	// ClockEstimate bounds the store's clock.
	ClockEstimate estimator.Estimator
}

// New returns a Keeper.
func New(cfg Config) *Client {
	if cfg.Do == nil {
		cfg.Do = http.DefaultClient.Do
	}
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.Count == nil {
		cfg.Count = func(string, error) {}
	}
	return &Client{cfg: cfg, budget: rate.NewLimiter(rate.Limit(cfg.CallsPerSecond), max(int(cfg.CallsPerSecond), 1))}
}

// params are the query of a call.
type params struct {
	Prefix  string `url:"prefix,omitempty"`
	After   uint64 `url:"after,omitempty"`
	Version uint64 `url:"version"`
	Lease   string `url:"lease,omitempty"`
	TTL     int64  `url:"ttl,omitempty"` // ms
}

// Get reads a key.
func (k *Client) Get(ctx context.Context, key string) (Item, error) {
	var item Item
	err := k.call(ctx, "get", http.MethodGet, "/v1/keys/"+key, params{}, nil, &item)
	return item, err
}

// List reads all keys under a prefix.
func (k *Client) List(ctx context.Context, prefix string) (Listing, error) {
	var l Listing
	err := k.call(ctx, "list", http.MethodGet, "/v1/keys", params{Prefix: prefix}, nil, &l)
	return l, err
}

// Watch waits for changes under a prefix after a version. It returns without
// changes when the store ends the wait.
func (k *Client) Watch(ctx context.Context, prefix string, after uint64) (Listing, error) {
	var l Listing
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	err := k.call(ctx, "watch", http.MethodGet, "/v1/watch", params{Prefix: prefix, After: after}, nil, &l)
	return l, err
}

// CompareAndSwap writes a value if the key still has the version, 0 meaning that it is
// not there, and returns the new version. The key goes when its lease lapses;
// an empty lease keeps it.
func (k *Client) CompareAndSwap(ctx context.Context, key string, value []byte, version uint64, lease string) (uint64, error) {
	if len(value) > MaxValueBytes {
		return 0, fmt.Errorf("value of %s is %d bytes, over %d", key, len(value), MaxValueBytes)
	}
	var item Item
	err := k.call(ctx, "swap", http.MethodPut, "/v1/keys/"+key, params{Version: version, Lease: lease}, value, &item)
	return item.Version, err
}

// Delete removes a key if it still has the version.
func (k *Client) Delete(ctx context.Context, key string, version uint64) error {
	return k.call(ctx, "delete", http.MethodDelete, "/v1/keys/"+key, params{Version: version}, nil, nil)
}

// leased is the store's answer about a lease.
type leased struct {
	ID string `json:"id"`
}

// CreateLease starts a lease that lapses after ttl unless it is kept.
func (k *Client) CreateLease(ctx context.Context, ttl time.Duration) (string, error) {
	var l leased
	err := k.call(ctx, "lease", http.MethodPost, "/v1/leases", params{TTL: ttl.Milliseconds()}, nil, &l)
	return l.ID, err
}

// RenewLease makes a lease last for its ttl from now.
func (k *Client) RenewLease(ctx context.Context, id string) error {
	return k.call(ctx, "keep", http.MethodPut, "/v1/leases/"+id, params{}, nil, nil)
}

// RevokeLease ends a lease and its keys.
func (k *Client) RevokeLease(ctx context.Context, id string) error {
	return k.call(ctx, "drop", http.MethodDelete, "/v1/leases/"+id, params{}, nil, nil)
}

// call sends one request. A write whose answer does not come is unsettled.
func (k *Client) call(ctx context.Context, name, method, path string, query params, body []byte, into any) error {
	err := k.send(ctx, method, path, query, body, into)
	k.cfg.Count(name, err)
	if err != nil {
		return fmt.Errorf("%s %s: %w", name, path, err)
	}
	return nil
}

func (k *Client) send(ctx context.Context, method, path string, query params, body []byte, into any) error {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	if path != "/v1/watch" {
		ctx, cancel = context.WithTimeout(ctx, callTimeout)
		defer cancel()
	}
	if err := k.budget.Wait(ctx); err != nil {
		return fmt.Errorf("%w: %w", ErrRateLimited, err)
	}
	call := aim(sling.New().Base("http://"+k.cfg.Addr.String()), method, path).QueryStruct(query)
	if body != nil {
		call.Body(newBody(body))
	}
	req, err := call.Request()
	if err != nil {
		return err
	}
	asked := k.cfg.Now()
	resp, err := k.cfg.Do(req.WithContext(ctx))
	if err != nil {
		return lost(method, err)
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return lost(method, err)
	}
	k.observe(resp.Header.Get(nowHeader), asked)
	return k.read(resp, method, raw, into)
}

func aim(call *sling.Sling, method, path string) *sling.Sling {
	switch method {
	case http.MethodPut:
		return call.Put(path)
	case http.MethodPost:
		return call.Post(path)
	case http.MethodDelete:
		return call.Delete(path)
	}
	return call.Get(path)
}

func (k *Client) observe(stamp string, asked time.Time) {
	nanos, err := strconv.ParseInt(stamp, 10, 64)
	if err == nil {
		k.ClockEstimate.Observe(time.Unix(0, nanos), asked, k.cfg.Now())
	}
}

func (k *Client) read(resp *http.Response, method string, raw []byte, into any) error {
	switch {
	case resp.StatusCode == http.StatusNotFound:
		return ErrNotFound
	case resp.StatusCode == http.StatusPreconditionFailed:
		return ErrConflict
	case resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests:
		return ErrUnavailable
	case resp.StatusCode >= http.StatusInternalServerError:
		return lost(method, fmt.Errorf("store answered %s", resp.Status))
	case resp.StatusCode >= http.StatusBadRequest:
		return fmt.Errorf("store answered %s", resp.Status)
	case into == nil:
		return nil
	}
	if err := json.Unmarshal(raw, into); err != nil {
		return lost(method, err)
	}
	return nil
}

// lost sorts a failure whose effect is not known: a read had none.
func lost(method string, err error) error {
	if method == http.MethodGet || notSent(err) {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return fmt.Errorf("%w: %w", ErrUnknownOutcome, err)
}
