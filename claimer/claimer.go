// Package claimer stores, at an agent, the claims on idempotency keys of requests
// that must not run twice.
package claimer

import (
	"container/list"
	"sync"
	"time"

	"github.com/endivefall/endivefall/messenger"
)

// States of a claim whose request has ended. A claim without a state belongs to a
// request that is still running.
const (
	Done    = "done"
	NotRun  = "not-run"
	Unknown = "unknown"
)

// MaxClaims bounds the claims stored at one agent.
const MaxClaims = 100_000

// MaxBodyBytes bounds the response body stored with a claim. A larger body is not
// replayed; a repeated request then learns only that the first one is done.
const MaxBodyBytes = 16 << 10

// Claimer stores each claim for the time window. It is safe for concurrent use.
type Claimer struct {
	now     func() time.Time
	window  time.Duration
	started time.Time

	mu sync.Mutex
	// claims maps each key to its element in byAge, which starts with the oldest.
	claims map[string]*list.Element
	byAge  *list.List
}

type claimEntry struct {
	messenger.Claim
	claimedAt time.Time
}

// New returns an empty Claimer, which cannot rule out claims made before now.
func New(window time.Duration, now func() time.Time) *Claimer {
	return &Claimer{now: now, window: window, started: now(), claims: map[string]*list.Element{}, byAge: list.New()}
}

// Claim grants a key to the execution with the claim's nonce, unless another
// execution holds the key or this one has ended. It grants nothing when the table
// is full.
func (c *Claimer) Claim(claim messenger.Claim) messenger.ClaimReply {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	c.expire(now)
	reply := messenger.ClaimReply{Nonce: claim.Nonce}
	if elem, ok := c.claims[claim.Key]; ok {
		existing := elem.Value.(*claimEntry).Claim
		reply.Granted = existing.Nonce == claim.Nonce && existing.State == ""
		if !reply.Granted {
			reply.Existing = &existing
		}
		return reply
	}
	if c.byAge.Len() >= MaxClaims {
		return reply
	}
	// A claim made before this process started may have been lost with the
	// previous process, unless it would have expired by now or the service became
	// active later.
	reply.Indeterminate = now.Sub(c.started) < c.window && claim.NotBefore.Before(c.started)
	reply.Granted = true
	c.claims[claim.Key] = c.byAge.PushBack(&claimEntry{Claim: messenger.Claim{Key: claim.Key, Nonce: claim.Nonce}, claimedAt: now})
	return reply
}

// Record stores how an execution ended. If it did not run, the key is freed.
func (c *Claimer) Record(result messenger.Claim) {
	c.mu.Lock()
	defer c.mu.Unlock()
	elem, ok := c.claims[result.Key]
	if !ok || elem.Value.(*claimEntry).Nonce != result.Nonce {
		return
	}
	if result.State == NotRun {
		c.byAge.Remove(elem)
		delete(c.claims, result.Key)
		return
	}
	if len(result.Body) > MaxBodyBytes {
		result.Body = nil
	}
	entry := elem.Value.(*claimEntry)
	entry.State, entry.Status, entry.Body, entry.ContentType = result.State, result.Status, result.Body, result.ContentType
}

// expire deletes the claims that are older than the window.
func (c *Claimer) expire(now time.Time) {
	for elem := c.byAge.Front(); elem != nil; elem = c.byAge.Front() {
		entry := elem.Value.(*claimEntry)
		if now.Sub(entry.claimedAt) < c.window {
			return
		}
		c.byAge.Remove(elem)
		delete(c.claims, entry.Key)
	}
}
