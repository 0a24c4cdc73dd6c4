// Package storer is a client of the platform's key-value store: compare-and-swap,
// leases and watches, with a rate limit on calls.
package storer

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/dghubble/sling"
	"golang.org/x/time/rate"

	"github.com/endivefall/endivefall/estimator"
	"github.com/endivefall/endivefall/fetcher"
	"github.com/endivefall/endivefall/pruner"
)

// Errors of the platform's store.
var (
	// ErrNotFound reports that the key or lease does not exist.
	ErrNotFound = errors.New("no such key")
	// ErrConflict reports that the key has another version; nothing was written.
	ErrConflict = errors.New("key has another version")
	// ErrUnavailable reports that the store could not be reached or did not serve the
	// call; nothing was written.
	ErrUnavailable = errors.New("store is down")
	// ErrUnknownOutcome reports a write that may or may not have taken effect.
	ErrUnknownOutcome = errors.New("write may have taken effect")
	// ErrRateLimited reports that the rate limit on calls was exceeded; nothing was
	// sent.
	ErrRateLimited = errors.New("budget of store calls is used up")
)

// Limits of a call.
const (
	// callTimeout is how long the store may send nothing during a call.
	callTimeout = 5 * time.Second
	// watchTimeout bounds a watch until its reply begins.
	watchTimeout     = 40 * time.Second
	maxResponseBytes = 16 << 20 // a listing may be this long
	// MaxValueBytes is the size of the largest value that the store accepts.
	MaxValueBytes = 1 << 20
)

// nowHeader is the response header with the store's clock, in Unix nanoseconds.
const nowHeader = "Platform-Now"

// Item is a key with its value. Versions increase across the whole store. Version is 0 if the
// store's entry can't be read: the key exists or has been deleted.
type Item struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version uint64 `json:"version"`
	Lease   string `json:"lease,omitempty"`
	Deleted bool   `json:"gone,omitempty"` // in a watch: the key was deleted
}

// Listing is the result of List and Watch.
type Listing struct {
	Items   []Item `json:"items"`
	Version uint64 `json:"version"`
	// Snapshot is set when the store no longer has the changes that a watch asked
	// for and returned all keys under the prefix instead.
	Snapshot bool `json:"whole,omitempty"`
}

// Config configures a Client.
type Config struct {
	Addr netip.AddrPort
	// CallsPerSecond is the rate limit on calls; a watch counts as one call.
	CallsPerSecond float64
	Now            func() time.Time
	// Do sends a request; http.DefaultClient.Do when nil.
	Do func(*http.Request) (*http.Response, error)
	// Count is called after each call, for metrics; it may be nil.
	Count func(call string, err error)
}

// Client is a client of the platform's store. It is safe for concurrent use.
type Client struct {
	cfg     Config
	limiter *rate.Limiter
	// ClockEstimate holds bounds of the store's clock, taken from its responses.
	ClockEstimate estimator.Estimator
}

// New returns a Client.
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
	return &Client{cfg: cfg, limiter: rate.NewLimiter(rate.Limit(cfg.CallsPerSecond), max(int(cfg.CallsPerSecond), 1))}
}

// params are the query parameters of a call.
type params struct {
	Prefix  string `url:"prefix,omitempty"`
	After   uint64 `url:"after,omitempty"`
	Version uint64 `url:"version"`
	Lease   string `url:"lease,omitempty"`
	TTL     int64  `url:"ttl,omitempty"` // ms
}

// Get reads a key.
func (c *Client) Get(ctx context.Context, key string) (Item, error) {
	var item Item
	err := c.call(ctx, "get", http.MethodGet, "/v1/keys/"+key, params{}, nil, &item)
	if err == nil && !item.readable() {
		return Item{}, fmt.Errorf("get %s: %w: %w", key, ErrUnavailable, errUnreadableReply)
	}
	return item, err
}

// List reads all keys under a prefix.
func (c *Client) List(ctx context.Context, prefix string) (Listing, error) {
	var reply listingReply
	if err := c.call(ctx, "list", http.MethodGet, "/v1/keys", params{Prefix: prefix}, nil, &reply); err != nil {
		return Listing{}, err
	}
	return reply.toListing()
}

// Watch waits for changes under a prefix after a version. It returns no items when
// the store ends the wait without a change.
func (c *Client) Watch(ctx context.Context, prefix string, after uint64) (Listing, error) {
	var reply listingReply
	if err := c.call(ctx, "watch", http.MethodGet, "/v1/watch", params{Prefix: prefix, After: after}, nil, &reply); err != nil {
		return Listing{}, err
	}
	return reply.toListing()
}

// CompareAndSwap writes a value if the key still has the version, where 0 means that
// the key does not exist, and returns the new version. The key is deleted when its
// lease expires; with an empty lease it is permanent.
func (c *Client) CompareAndSwap(ctx context.Context, key string, value []byte, version uint64, lease string) (uint64, error) {
	if len(value) > MaxValueBytes {
		return 0, fmt.Errorf("value of %s is %d bytes, over %d", key, len(value), MaxValueBytes)
	}
	var item Item
	err := c.call(ctx, "swap", http.MethodPut, "/v1/keys/"+key, params{Version: version, Lease: lease}, value, &item)
	if err == nil && !item.readable() {
		return 0, fmt.Errorf("swap %s: %w: %w", key, ErrUnknownOutcome, errUnreadableReply)
	}
	return item.Version, err
}

// Delete removes a key if it still has the version.
func (c *Client) Delete(ctx context.Context, key string, version uint64) error {
	return c.call(ctx, "delete", http.MethodDelete, "/v1/keys/"+key, params{Version: version}, nil, nil)
}

// leaseReply is the store's response to a created lease.
type leaseReply struct {
	ID string `json:"id"`
}

// CreateLease creates a lease that expires after ttl unless it is renewed.
func (c *Client) CreateLease(ctx context.Context, ttl time.Duration) (string, error) {
	var l leaseReply
	err := c.call(ctx, "lease", http.MethodPost, "/v1/leases", params{TTL: ttl.Milliseconds()}, nil, &l)
	return l.ID, err
}

// RenewLease extends a lease by its TTL from now.
func (c *Client) RenewLease(ctx context.Context, id string) error {
	return c.call(ctx, "keep", http.MethodPut, "/v1/leases/"+id, params{}, nil, nil)
}

// RevokeLease ends a lease and deletes its keys.
func (c *Client) RevokeLease(ctx context.Context, id string) error {
	return c.call(ctx, "drop", http.MethodDelete, "/v1/leases/"+id, params{}, nil, nil)
}

// call sends one request and counts it. A write without a response fails with
// ErrUnknownOutcome.
func (c *Client) call(ctx context.Context, name, method, path string, query params, body []byte, into any) error {
	err := c.send(ctx, method, path, query, body, into)
	c.cfg.Count(name, err)
	if err != nil {
		return fmt.Errorf("%s %s: %w", name, path, err)
	}
	return nil
}

func (c *Client) send(ctx context.Context, method, path string, query params, body []byte, into any) error {
	timeout := callTimeout
	if path == "/v1/watch" {
		timeout = watchTimeout
	}
	headBy := time.Now().Add(timeout)
	waitCtx, cancel := context.WithDeadline(ctx, headBy)
	err := c.limiter.Wait(waitCtx)
	cancel()
	if err != nil {
		return fmt.Errorf("%w: %w", ErrRateLimited, err)
	}
	builder := setMethod(sling.New().Base("http://"+c.cfg.Addr.String()), method, path).QueryStruct(query)
	if body != nil {
		builder.Body(newBody(body))
	}
	req, err := builder.Request()
	if err != nil {
		return err
	}
	sentAt := c.cfg.Now()
	reply, err := fetcher.Do(c.cfg.Do, req.WithContext(ctx), fetcher.Limits{HeadBy: headBy, Silence: callTimeout, MaxBytes: maxResponseBytes})
	if err != nil {
		return classifyFailure(method, err)
	}
	c.observeClock(reply.Header.Get(nowHeader), sentAt)
	return c.decodeReply(reply, method, into)
}

func setMethod(builder *sling.Sling, method, path string) *sling.Sling {
	switch method {
	case http.MethodPut:
		return builder.Put(path)
	case http.MethodPost:
		return builder.Post(path)
	case http.MethodDelete:
		return builder.Delete(path)
	}
	return builder.Get(path)
}

func (c *Client) observeClock(header string, sentAt time.Time) {
	nanos, err := strconv.ParseInt(header, 10, 64)
	if err == nil {
		c.ClockEstimate.Observe(time.Unix(0, nanos), sentAt, c.cfg.Now())
	}
}

func (c *Client) decodeReply(reply *fetcher.Reply, method string, into any) error {
	switch {
	case reply.Code == http.StatusNotFound:
		return ErrNotFound
	case reply.Code == http.StatusPreconditionFailed:
		return ErrConflict
	case reply.Code == http.StatusServiceUnavailable || reply.Code == http.StatusTooManyRequests:
		return ErrUnavailable
	case reply.Code >= http.StatusInternalServerError:
		return classifyFailure(method, fmt.Errorf("store answered %s", reply.Status))
	case reply.Code >= http.StatusBadRequest:
		return fmt.Errorf("store answered %s", reply.Status)
	case into == nil:
		return nil
	}
	if err := pruner.Decode(reply.Body, into); err != nil {
		return classifyFailure(method, err)
	}
	return nil
}

// classifyFailure wraps a failure without a usable response: a read, or a request
// that was not sent, had no effect; the outcome of any other call is unknown.
func classifyFailure(method string, err error) error {
	if method == http.MethodGet || notSent(err) {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return fmt.Errorf("%w: %w", ErrUnknownOutcome, err)
}
