// Package claimer keeps, at an agent, the idempotency keys of requests that
// must not run twice.
package claimer

import (
	"container/list"
	"sync"
	"time"

	"github.com/endivefall/endivefall/messenger"
)

// States of a claim that has ended. A claim without a state is still running.
const (
	Done    = "done"
	NotRun  = "not-run"
	Unknown = "unknown"
)

// MaxClaims bounds the claims kept at one agent.
const MaxClaims = 100_000

// MaxBody bounds the answer kept with a claim, in bytes. A larger one is not
// repeated to a later caller, who learns only that the request is done.
const MaxBody = 16 << 10

// Claimer keeps claims for a window. It is safe for concurrent use.
type Claimer struct {
	now     func() time.Time
	window  time.Duration
	started time.Time

	mu sync.Mutex
	// claims has an element of order for each key; order is by age.
	claims map[string]*list.Element
	order  *list.List
}

type held struct {
	messenger.Claim
	at time.Time
}

// New returns a Claimer that knows of nothing before now.
func New(window time.Duration, now func() time.Time) *Claimer {
	return &Claimer{now: now, window: window, started: now(), claims: map[string]*list.Element{}, order: list.New()}
}

// Claim takes a key for the execution that nonce names, unless another has it.
func (c *Claimer) Claim(ask messenger.Claim) messenger.ClaimReply {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	c.expire(now)
	answer := messenger.ClaimReply{Nonce: ask.Nonce}
	if e, ok := c.claims[ask.Key]; ok {
		first := e.Value.(*held).Claim
		answer.Granted = first.Nonce == ask.Nonce && first.State == ""
		if !answer.Granted {
			answer.Existing = &first
		}
		return answer
	}
	if c.order.Len() >= MaxClaims {
		return answer
	}
	// A claim made before this process started may have been lost with the
	// last one, unless it would have expired or the service is younger.
	answer.Indeterminate = now.Sub(c.started) < c.window && ask.NotBefore.Before(c.started)
	answer.Granted = true
	c.claims[ask.Key] = c.order.PushBack(&held{Claim: messenger.Claim{Key: ask.Key, Nonce: ask.Nonce}, at: now})
	return answer
}

// Record notes how the execution ended. One that did not run frees the key.
func (c *Claimer) Record(end messenger.Claim) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e, ok := c.claims[end.Key]
	if !ok || e.Value.(*held).Nonce != end.Nonce {
		return
	}
	if end.State == NotRun {
		c.order.Remove(e)
		delete(c.claims, end.Key)
		return
	}
	if len(end.Body) > MaxBody {
		end.Body = nil
	}
	h := e.Value.(*held)
	h.State, h.Status, h.Body, h.ContentType = end.State, end.Status, end.Body, end.ContentType
}

// expire drops the claims that are older than the window.
func (c *Claimer) expire(now time.Time) {
	for e := c.order.Front(); e != nil; e = c.order.Front() {
		h := e.Value.(*held)
		if now.Sub(h.at) < c.window {
			return
		}
		c.order.Remove(e)
		delete(c.claims, h.Key)
	}
}
