package dispatcher

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/endivefall/endivefall/connector"
	"github.com/endivefall/endivefall/messenger"
	"github.com/endivefall/endivefall/responder"
	"github.com/endivefall/endivefall/router"
)

// verdict is how one try ended.
type verdict int

const (
	answered verdict = iota // the target's answer began
	refused                 // proved not to have run
	doubtful                // may have run
)

// tried is the result of one try.
type tried struct {
	verdict verdict
	stream  *messenger.Stream
	answer  *messenger.Response
	reason  string
	again   time.Time // when a refused request should come back
	broken  bool      // the target itself is unwell
	late    bool      // the deadline passed at the agent, whose clock may be ahead
}

// run sends the request to targets until one answers, and answers the caller.
// record is told how it ended, with the answer's head and the first bytes of
// its body.
func (d *Dispatcher) run(ctx context.Context, w http.ResponseWriter, q *request, start time.Time, record func(ending)) {
	if record == nil {
		record = func(ending) {}
	}
	t, id, rt, p := d.attempts(ctx, q)
	if p != nil {
		record(ending{outcome: p.Outcome})
		d.fail(w, q, p, start)
		return
	}
	d.relay(ctx, w, q, t, id, rt, start, record)
}

// ending is how a request ended, for those that ask again with its key.
type ending struct {
	outcome responder.Outcome
	status  int
	kind    string
	body    []byte
}

// attempts tries targets until one's answer begins. What may have run is never
// sent again unless it is idempotent.
func (d *Dispatcher) attempts(ctx context.Context, q *request) (tried, string, *router.Router, *responder.Problem) {
	rt := d.router(q.key, false)
	if rt == nil {
		return tried{}, "", nil, d.notRun("no-target", "no target has announced the service yet", d.cfg.Now().Add(time.Second))
	}
	var soonest time.Time
	mayHaveRun, late := false, false
	seen := map[string]bool{}
	code, detail := "no-target", "no target of the service can take the request now"
	for len(q.tries) < maxTries {
		if len(q.tries) > 0 && !rt.AllowRetry() {
			break
		}
		choice, err := rt.Pick(seen)
		if err != nil {
			break
		}
		seen[choice.ID] = true
		began := d.cfg.Now()
		t := d.attempt(ctx, q, choice.ID)
		d.decide(q, choice, t, began)
		if t.verdict == answered {
			return t, choice.ID, rt, nil
		}
		rt.Done(choice.ID, router.Result{Failed: t.verdict == doubtful || t.broken, Refused: t.verdict == refused, Load: t.load()})
		if t.verdict == refused {
			code, detail = "refused", "the targets asked refused it: "+t.reason
			if soonest.IsZero() || t.again.Before(soonest) {
				soonest = t.again
			}
		}
		mayHaveRun = mayHaveRun || t.verdict == doubtful
		late = t.late || errors.Is(ctx.Err(), context.DeadlineExceeded)
		if late || ctx.Err() != nil || (mayHaveRun && !q.idempotent) {
			break
		}
		if q.body.fault() != nil {
			return t, "", nil, d.badBody(q, mayHaveRun)
		}
	}
	if mayHaveRun {
		return tried{}, "", nil, d.unknown(q, late)
	}
	if err := q.body.fault(); err != nil {
		return tried{}, "", nil, d.badBody(q, false)
	}
	if soonest.IsZero() {
		soonest = d.cfg.Now().Add(time.Second)
	}
	return tried{}, "", nil, d.notRun(code, detail, soonest)
}

func (d *Dispatcher) notRun(code, detail string, again time.Time) *responder.Problem {
	p := problem(http.StatusServiceUnavailable, code, responder.NotRun, detail)
	p.RetryAt = again
	return p
}

func (d *Dispatcher) unknown(q *request, late bool) *responder.Problem {
	if late {
		return problem(http.StatusGatewayTimeout, "deadline", responder.Unknown, "no answer came before the deadline; the request may have run")
	}
	detail := "the target broke off; the request may have run"
	if last := len(q.tries); last > 0 {
		detail += ": " + q.tries[last-1].Result
	}
	return problem(http.StatusBadGateway, "broken", responder.Unknown, detail)
}

func (d *Dispatcher) badBody(q *request, mayHaveRun bool) *responder.Problem {
	outcome := responder.NotRun
	if mayHaveRun {
		outcome = responder.Unknown
	}
	if errors.Is(q.body.fault(), errTooLarge) {
		return problem(http.StatusRequestEntityTooLarge, "body-too-large", outcome, "the body is larger than this entry takes")
	}
	return problem(http.StatusBadRequest, "body-cut-short", outcome, "the request's body ended early")
}

// decide notes a routing decision.
func (d *Dispatcher) decide(q *request, c router.Choice, t tried, began time.Time) {
	end := "answered"
	if t.verdict != answered {
		end = t.reason
	}
	took := d.cfg.Now().Sub(began)
	q.tries = append(q.tries, Attempt{Target: c.ID, Score: c.Score, Reason: c.Reason, Others: c.Alternatives, Result: end, Took: took})
	d.cfg.Log.Info("request routed", zap.String("request", q.id), zap.String("team", q.key.team), zap.String("service", q.key.service),
		zap.String("target", c.ID), zap.Duration("score", c.Score), zap.String("reason", c.Reason),
		zap.Int("others", len(c.Alternatives)), zap.String("end", end), zap.Duration("took", took))
}

// load returns the load that came with a refusal.
func (t tried) load() *messenger.Load {
	if t.answer != nil {
		return &t.answer.Load
	}
	return nil
}

// attempt sends the request to one target and waits for the head of the
// answer. The end of ctx gives the final answer at once.
func (d *Dispatcher) attempt(ctx context.Context, q *request, id string) tried {
	link := d.cfg.Link(id)
	again := d.cfg.Now().Add(time.Second)
	if link == nil {
		return tried{verdict: refused, reason: "target is gone", again: again}
	}
	from, ok := q.body.fresh()
	if !ok {
		return tried{verdict: refused, reason: "the body is too long to be sent again", again: again}
	}
	s, err := link.Open(ctx, d.call(q, link))
	if err != nil {
		// The call was never queued, so it was never sent.
		return tried{verdict: refused, reason: "target is gone", again: again}
	}
	q.uploads.Go(func() { d.upload(s, q, from) })
	f, err := s.Head(ctx)
	switch {
	case err != nil:
		s.Cancel()
		return tried{verdict: doubtful, reason: err.Error()}
	case f.Kind == messenger.KindRefusal:
		s.Release()
		wait := f.Refusal.RetryAt.Sub(f.Refusal.Now)
		return tried{verdict: refused, reason: f.Refusal.Reason, again: d.cfg.Now().Add(wait), broken: f.Refusal.TargetDown, answer: &messenger.Response{Load: f.Refusal.Load}}
	case f.Response.Fault != "":
		s.Release()
		return tried{verdict: doubtful, reason: f.Response.Fault, late: f.Response.DeadlineExceeded}
	}
	return tried{verdict: answered, stream: s, answer: f.Response}
}

func (d *Dispatcher) call(q *request, link *connector.Link) *messenger.Call {
	h := q.r.Header.Clone()
	for _, name := range hopHeaders {
		h.Del(name)
	}
	h.Set(responder.RequestHeader, q.id)
	return &messenger.Call{
		Request: q.id, Team: q.key.team, Service: q.key.service, Method: q.r.Method, Path: q.path,
		Header: h, Deadline: link.RemoteDeadline(d.cfg.Now(), q.until), Priority: q.service.Priority, Length: q.r.ContentLength,
	}
}

// hopHeaders concern one connection only.
var hopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// upload sends the caller's body. A body that is cut short never looks whole.
func (d *Dispatcher) upload(s *messenger.Stream, q *request, from io.Reader) {
	buf := make([]byte, messenger.MaxChunk)
	if q.r.ContentLength == 0 {
		_ = s.CloseWrite(messenger.End{})
		return
	}
	_, err := io.CopyBuffer(onlyWriter{s}, from, buf)
	end := messenger.End{}
	if err != nil {
		end.Fault = "caller's body: " + err.Error()
	}
	_ = s.CloseWrite(end)
}

// onlyWriter hides all but Write, so that the copy uses the given buffer.
type onlyWriter struct{ io.Writer }
