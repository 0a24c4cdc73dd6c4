package dispatcher

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"
	"github.com/google/uuid"

	"github.com/endivefall/endivefall/claimer"
	"github.com/endivefall/endivefall/correlator"
	"github.com/endivefall/endivefall/messenger"
	"github.com/endivefall/endivefall/responder"
)

const (
	// claimReplicas is how many agents store the claim on a key.
	claimReplicas = 2
	// claimTimeout bounds the wait for one agent's reply.
	claimTimeout = time.Second
	// maxRecordedBytes bounds the response body that is stored with a key, to be
	// replayed to requests that repeat the key.
	maxRecordedBytes = claimer.MaxBodyBytes
)

var errNoClaimReply = errors.New("agent did not reply to the claim")

// claimClient sends claims to the agents: it claims the idempotency keys of requests
// that must not run twice.
type claimClient struct {
	cfg     Config
	pending correlator.Correlator[messenger.ClaimReply]
}

func newClaimClient(cfg Config) *claimClient { return &claimClient{cfg: cfg} }

func (c *claimClient) deliver(f messenger.Frame) { c.pending.Deliver(f.ID, *f.ClaimReply) }

// claim sends a claim to one agent and waits for its reply.
func (c *claimClient) claim(ctx context.Context, agent string, claim messenger.Claim) (messenger.ClaimReply, error) {
	link := c.cfg.Link(agent)
	if link == nil {
		return messenger.ClaimReply{}, errNoClaimReply
	}
	// The agent compares NotBefore with its own clock.
	now := c.cfg.Now()
	claim.NotBefore = link.RemoteDeadline(now, claim.NotBefore)
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	reply, err := c.pending.Do(ctx, link.Done(), func(id uint64) error {
		return link.TrySend(messenger.Frame{Kind: messenger.KindClaim, ID: id, Claim: &claim})
	})
	if err != nil {
		return reply, fmt.Errorf("%w: %w", errNoClaimReply, err)
	}
	return reply, nil
}

// record sends the result of a claimed request to the agents that hold the claim.
func (c *claimClient) record(agents []string, claim messenger.Claim) {
	for _, agent := range agents {
		if link := c.cfg.Link(agent); link != nil {
			_ = link.TrySend(messenger.Frame{Kind: messenger.KindClaimResult, Claim: &claim})
		}
	}
}

// claimAgentsOf returns the agents that store the claim on a request's key: the
// first ones by rendezvous hashing over the service's targets.
func (d *Dispatcher) claimAgentsOf(q *request) []string {
	rt := d.router(q.key, false)
	if rt == nil {
		return nil
	}
	var ids []string
	for _, v := range rt.Targets() {
		ids = append(ids, v.ID)
	}
	var chosen []string
	for len(ids) > 0 && len(chosen) < claimReplicas {
		picked := rendezvous.New(ids, xxhash.Sum64String).Lookup(q.idempotencyKey)
		chosen = append(chosen, picked)
		for i, id := range ids {
			if id == picked {
				ids = append(ids[:i], ids[i+1:]...)
				break
			}
		}
	}
	return chosen
}

// runOnce runs a request that must not run twice. It first claims the key at each
// of the key's agents, one after another; all entries use the same order.
func (d *Dispatcher) runOnce(ctx context.Context, w http.ResponseWriter, q *request, start time.Time) {
	claim := messenger.Claim{
		Key: q.key.team + "/" + q.key.service + "/" + q.idempotencyKey, Nonce: uuid.NewString(), NotBefore: d.activeSince(ctx, q),
	}
	agents := d.claimAgentsOf(q)
	if len(agents) == 0 {
		d.fail(w, q, d.notRunProblem("no-target", "no target has announced the service yet", d.cfg.Now().Add(time.Second)), start)
		return
	}
	granted := make([]string, 0, len(agents))
	indeterminateCount := 0
	for _, agent := range agents {
		reply, err := d.claims.claim(ctx, agent, claim)
		if err == nil && reply.Granted {
			granted = append(granted, agent)
			if reply.Indeterminate {
				indeterminateCount++
			}
			continue
		}
		// An agent that did not reply may still have granted the claim.
		d.releaseClaim(append(granted, agent), claim)
		d.failClaim(w, q, start, reply, err)
		return
	}
	if indeterminateCount == len(granted) {
		d.releaseClaim(granted, claim)
		p := problem(http.StatusServiceUnavailable, "key-unsettled", responder.Unknown, "the agents that keep the key started lately and cannot rule out that it ran before")
		p.RetryAt = d.cfg.Now().Add(time.Minute)
		d.fail(w, q, p, start)
		return
	}
	d.run(ctx, w, q, start, func(result requestResult) {
		claim.State, claim.Status, claim.ContentType, claim.Body = string(result.outcome), result.status, result.contentType, result.body
		d.claims.record(granted, claim)
	})
}

// releaseClaim frees the claim of a request that was not run.
func (d *Dispatcher) releaseClaim(agents []string, claim messenger.Claim) {
	claim.State = claimer.NotRun
	d.claims.record(agents, claim)
}

// activeSince returns, on this entry's clock, a time before which no request with
// a key can have run at the service. It is zero if that time is unknown.
func (d *Dispatcher) activeSince(ctx context.Context, q *request) time.Time {
	at, err := d.cfg.ActiveSince(ctx, q.key.team, q.key.service)
	if err != nil {
		return time.Time{}
	}
	return d.cfg.ToLocalTime(at)
}

// failClaim answers a request whose key is claimed already or could not be
// claimed. It replays the stored response if there is one.
func (d *Dispatcher) failClaim(w http.ResponseWriter, q *request, start time.Time, reply messenger.ClaimReply, err error) {
	existing := reply.Existing
	retryAt := d.cfg.Now().Add(time.Second)
	switch {
	case err != nil:
		p := problem(http.StatusServiceUnavailable, "key-unsettled", responder.Unknown, "an agent that keeps the key cannot be reached, so an earlier run cannot be ruled out")
		p.RetryAt = retryAt
		d.fail(w, q, p, start)
	case existing == nil:
		d.fail(w, q, d.notRunProblem("keys-full", "the agent keeps as many keys as it can", retryAt), start)
	case existing.State == claimer.Done && existing.Status != 0 && existing.Body != nil:
		h := w.Header()
		h.Set(responder.OutcomeHeader, string(responder.Done))
		h.Set(responder.ReplayedHeader, "true")
		if existing.ContentType != "" {
			h.Set("Content-Type", existing.ContentType)
		}
		q.closeIfUnread(w)
		w.WriteHeader(existing.Status)
		_, _ = w.Write(existing.Body)
		d.recordOutcome(q, responder.Done, "replayed", start)
	case existing.State == claimer.Done:
		d.fail(w, q, problem(http.StatusConflict, "key-done", responder.Done, "the request ran before; its answer is too long to be repeated"), start)
	case existing.State == claimer.Unknown:
		d.fail(w, q, problem(http.StatusConflict, "key-unknown", responder.Unknown, "the request was sent before and may have run"), start)
	default:
		p := problem(http.StatusConflict, "key-running", responder.Unknown, "a request with this key is running")
		p.RetryAt = retryAt
		d.fail(w, q, p, start)
	}
}
