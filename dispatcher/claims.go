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
	// claimAgents is how many agents keep the claim of a key.
	claimAgents = 2
	// claimTimeout bounds the wait for one agent's answer.
	claimTimeout = time.Second
	// maxReplay bounds the answer that is kept for a repeated key, in bytes.
	maxReplay = claimer.MaxBody
)

// errNoClaim says that an agent did not answer.
var errNoClaim = errors.New("agent did not answer the claim")

// claims asks agents for the keys of requests that must not run twice.
type claims struct {
	cfg       Config
	questions correlator.Correlator[messenger.ClaimReply]
}

func newClaims(cfg Config) *claims { return &claims{cfg: cfg} }

func (c *claims) answer(f messenger.Frame) { c.questions.Deliver(f.ID, *f.ClaimReply) }

// ask sends one claim to an agent and waits for its answer.
func (c *claims) ask(ctx context.Context, agent string, claim messenger.Claim) (messenger.ClaimReply, error) {
	link := c.cfg.Link(agent)
	if link == nil {
		return messenger.ClaimReply{}, errNoClaim
	}
	// The time since when the service exists, on the agent's clock.
	now := c.cfg.Now()
	claim.NotBefore = link.RemoteDeadline(now, claim.NotBefore)
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	got, err := c.questions.Do(ctx, link.Done(), func(id uint64) error {
		return link.Post(messenger.Frame{Kind: messenger.KindClaim, ID: id, Claim: &claim})
	})
	if err != nil {
		return got, fmt.Errorf("%w: %w", errNoClaim, err)
	}
	return got, nil
}

// record tells the agents of a claim how it ended.
func (c *claims) record(agents []string, claim messenger.Claim) {
	for _, agent := range agents {
		if link := c.cfg.Link(agent); link != nil {
			_ = link.Post(messenger.Frame{Kind: messenger.KindClaimResult, Claim: &claim})
		}
	}
}

// keepers returns the agents that keep a key: the first by rendezvous hashing
// among the service's targets.
func (d *Dispatcher) keepers(q *request) []string {
	rt := d.router(q.key, false)
	if rt == nil {
		return nil
	}
	var ids []string
	for _, v := range rt.Targets() {
		ids = append(ids, v.ID)
	}
	var chosen []string
	for len(ids) > 0 && len(chosen) < claimAgents {
		pick := rendezvous.New(ids, xxhash.Sum64String).Lookup(q.idemKey)
		chosen = append(chosen, pick)
		for i, id := range ids {
			if id == pick {
				ids = append(ids[:i], ids[i+1:]...)
				break
			}
		}
	}
	return chosen
}

// once runs a request that must not run twice, after its key was claimed at
// each of the agents that keep it, one after another in the same order
// everywhere.
func (d *Dispatcher) once(ctx context.Context, w http.ResponseWriter, q *request, start time.Time) {
	claim := messenger.Claim{
		Key: q.key.team + "/" + q.key.service + "/" + q.idemKey, Nonce: uuid.NewString(), NotBefore: d.openSince(ctx, q),
	}
	agents := d.keepers(q)
	if len(agents) == 0 {
		d.fail(w, q, d.notRun("no-target", "no target has announced the service yet", d.cfg.Now().Add(time.Second)), start)
		return
	}
	granted := make([]string, 0, len(agents))
	young := 0
	for _, agent := range agents {
		got, err := d.claims.ask(ctx, agent, claim)
		if err == nil && got.Granted {
			granted = append(granted, agent)
			if got.Indeterminate {
				young++
			}
			continue
		}
		d.release(append(granted, agent), claim)
		d.turnAway(w, q, start, got, err)
		return
	}
	if young == len(granted) {
		d.release(granted, claim)
		p := problem(http.StatusServiceUnavailable, "key-unsettled", responder.Unknown, "the agents that keep the key started lately and cannot rule out that it ran before")
		p.RetryAt = d.cfg.Now().Add(time.Minute)
		d.fail(w, q, p, start)
		return
	}
	d.run(ctx, w, q, start, func(e ending) {
		claim.State, claim.Status, claim.ContentType, claim.Body = string(e.outcome), e.status, e.kind, e.body
		d.claims.record(granted, claim)
	})
}

// release frees a claim that did not lead to a run.
func (d *Dispatcher) release(agents []string, claim messenger.Claim) {
	claim.State = claimer.NotRun
	d.claims.record(agents, claim)
}

// openSince returns, on this entry's clock, a time before which no request with
// a key can have run at the service; the zero time when that is not known.
func (d *Dispatcher) openSince(ctx context.Context, q *request) time.Time {
	at, err := d.cfg.ActiveSince(ctx, q.key.team, q.key.service)
	if err != nil {
		return time.Time{}
	}
	return d.cfg.ToLocalTime(at)
}

// turnAway answers a request whose key is taken, or could not be claimed.
func (d *Dispatcher) turnAway(w http.ResponseWriter, q *request, start time.Time, got messenger.ClaimReply, err error) {
	first := got.Existing
	soon := d.cfg.Now().Add(time.Second)
	switch {
	case err != nil:
		p := problem(http.StatusServiceUnavailable, "key-unsettled", responder.Unknown, "an agent that keeps the key cannot be reached, so an earlier run cannot be ruled out")
		p.RetryAt = soon
		d.fail(w, q, p, start)
	case first == nil:
		d.fail(w, q, d.notRun("keys-full", "the agent keeps as many keys as it can", soon), start)
	case first.State == claimer.Done && first.Status != 0 && first.Body != nil:
		h := w.Header()
		h.Set(responder.OutcomeHeader, string(responder.Done))
		h.Set(responder.ReplayedHeader, "true")
		if first.ContentType != "" {
			h.Set("Content-Type", first.ContentType)
		}
		q.hangUp(w)
		w.WriteHeader(first.Status)
		_, _ = w.Write(first.Body)
		d.note(q, responder.Done, "replayed", start)
	case first.State == claimer.Done:
		d.fail(w, q, problem(http.StatusConflict, "key-done", responder.Done, "the request ran before; its answer is too long to be repeated"), start)
	case first.State == claimer.Unknown:
		d.fail(w, q, problem(http.StatusConflict, "key-unknown", responder.Unknown, "the request was sent before and may have run"), start)
	default:
		p := problem(http.StatusConflict, "key-running", responder.Unknown, "a request with this key is running")
		p.RetryAt = soon
		d.fail(w, q, p, start)
	}
}
