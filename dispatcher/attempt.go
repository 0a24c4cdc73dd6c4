package dispatcher

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/endivefall/endivefall/connector"
	"github.com/endivefall/endivefall/limiter"
	"github.com/endivefall/endivefall/messenger"
	"github.com/endivefall/endivefall/responder"
	"github.com/endivefall/endivefall/router"
)

// attemptOutcome is how one attempt ended.
type attemptOutcome int

const (
	answered      attemptOutcome = iota // the target's response has begun
	refused                             // the request certainly has not run
	indeterminate                       // the request may have run
)

// attemptResult is the result of one attempt.
type attemptResult struct {
	outcome          attemptOutcome
	stream           *messenger.Stream
	response         *messenger.Response
	reason           string
	retryAt          time.Time // when a refused request may be retried
	targetDown       bool      // the agent reported its target as down
	deadlineExceeded bool      // the deadline passed at the agent, whose clock may be ahead
}

// run sends the request to targets until one responds, and answers the caller.
// onEnd, if not nil, receives the result, with the body of a response that does
// not exceed maxRecordedBytes.
func (d *Dispatcher) run(ctx context.Context, w http.ResponseWriter, q *request, start time.Time, onEnd func(requestResult)) {
	if onEnd == nil {
		onEnd = func(requestResult) {}
	}
	result, id, rt, p := d.attemptTargets(ctx, q)
	if p != nil {
		onEnd(requestResult{outcome: p.Outcome})
		d.fail(w, q, p, start)
		return
	}
	d.relayResponse(ctx, w, q, result, id, rt, start, onEnd)
}

// requestResult is how a request ended, as stored for repeats of its key.
type requestResult struct {
	outcome     responder.Outcome
	status      int
	contentType string
	body        []byte
}

// attemptTargets sends the request to one target after another until a response
// begins. It returns the result with the target's id and router, or a problem. A
// request that may have run is not retried unless it is idempotent.
func (d *Dispatcher) attemptTargets(ctx context.Context, q *request) (attemptResult, string, *router.Router, *responder.Problem) {
	rt := d.router(q.key, false)
	if rt == nil {
		return attemptResult{}, "", nil, d.notRunProblem("no-target", "no target has announced the service yet", d.cfg.Now().Add(time.Second))
	}
	var earliestRetry time.Time
	mayHaveRun, deadlineExceeded := false, false
	tried := map[string]bool{}
	code, detail := "no-target", "no target of the service can take the request now"
	for len(q.attempts) < maxAttempts {
		if len(q.attempts) > 0 && !rt.AllowRetry() {
			break
		}
		choice, err := rt.Pick(tried)
		if err != nil {
			break
		}
		tried[choice.ID] = true
		started := d.cfg.Now()
		result := d.attempt(ctx, q, choice.ID)
		d.recordAttempt(q, choice, result, started)
		if result.outcome == answered {
			return result, choice.ID, rt, nil
		}
		rt.Done(choice.ID, router.Result{Failed: result.outcome == indeterminate || result.targetDown, Refused: result.outcome == refused, Load: result.load()})
		if result.outcome == refused {
			code, detail = "refused", "the targets asked refused it: "+result.reason
			if earliestRetry.IsZero() || result.retryAt.Before(earliestRetry) {
				earliestRetry = result.retryAt
			}
		}
		mayHaveRun = mayHaveRun || result.outcome == indeterminate
		deadlineExceeded = result.deadlineExceeded || errors.Is(ctx.Err(), context.DeadlineExceeded)
		if deadlineExceeded || ctx.Err() != nil || (mayHaveRun && !q.idempotent) {
			break
		}
		if q.body.readErr() != nil {
			return result, "", nil, d.bodyProblem(q, mayHaveRun)
		}
	}
	if mayHaveRun {
		return attemptResult{}, "", nil, d.unknownProblem(q, deadlineExceeded)
	}
	if err := q.body.readErr(); err != nil {
		return attemptResult{}, "", nil, d.bodyProblem(q, false)
	}
	if earliestRetry.IsZero() {
		earliestRetry = d.cfg.Now().Add(time.Second)
	}
	return attemptResult{}, "", nil, d.notRunProblem(code, detail, earliestRetry)
}

func (d *Dispatcher) notRunProblem(code, detail string, retryAt time.Time) *responder.Problem {
	p := problem(http.StatusServiceUnavailable, code, responder.NotRun, detail)
	p.RetryAt = retryAt
	return p
}

func (d *Dispatcher) unknownProblem(q *request, deadlineExceeded bool) *responder.Problem {
	if deadlineExceeded {
		return problem(http.StatusGatewayTimeout, "deadline", responder.Unknown, "no answer came before the deadline; the request may have run")
	}
	detail := "the target broke off; the request may have run"
	if last := len(q.attempts); last > 0 {
		detail += ": " + q.attempts[last-1].Result
	}
	return problem(http.StatusBadGateway, "broken", responder.Unknown, detail)
}

// bodyProblem returns why the request's body was not read to its end.
func (d *Dispatcher) bodyProblem(q *request, mayHaveRun bool) *responder.Problem {
	if errors.Is(q.body.readErr(), limiter.ErrSlow) {
		if mayHaveRun { // 503 would say that it has not
			return d.unknownProblem(q, false)
		}
		return d.notRunProblem("body-too-slow", limiter.ErrSlow.Error(), d.cfg.Now().Add(time.Second))
	}
	outcome := responder.NotRun
	if mayHaveRun {
		outcome = responder.Unknown
	}
	if errors.Is(q.body.readErr(), errTooLarge) {
		return problem(http.StatusRequestEntityTooLarge, "body-too-large", outcome, "the body is larger than this entry takes")
	}
	return problem(http.StatusBadRequest, "body-cut-short", outcome, "the request's body ended early")
}

// recordAttempt appends an attempt to the request's trace and logs it.
func (d *Dispatcher) recordAttempt(q *request, choice router.Choice, attempt attemptResult, started time.Time) {
	end := "answered"
	if attempt.outcome != answered {
		end = attempt.reason
	}
	elapsed := d.cfg.Now().Sub(started)
	q.attempts = append(q.attempts, Attempt{Target: choice.ID, Score: choice.Score, Reason: choice.Reason, Alternatives: choice.Alternatives, Result: end, Duration: elapsed})
	d.cfg.Log.Info("request routed", zap.String("request", q.id), zap.String("team", q.key.team), zap.String("service", q.key.service),
		zap.String("target", choice.ID), zap.Duration("score", choice.Score), zap.String("reason", choice.Reason),
		zap.Int("others", len(choice.Alternatives)), zap.String("end", end), zap.Duration("took", elapsed))
}

// load returns the load that the agent sent with a refusal, or nil.
func (r attemptResult) load() *messenger.Load {
	if r.response != nil {
		return &r.response.Load
	}
	return nil
}

// attempt sends the request to one target and waits for the response head. If ctx
// ends meanwhile, it returns at once and the outcome is indeterminate.
func (d *Dispatcher) attempt(ctx context.Context, q *request, id string) attemptResult {
	link := d.cfg.Link(id)
	retryAt := d.cfg.Now().Add(time.Second)
	if link == nil {
		return attemptResult{outcome: refused, reason: "target is gone", retryAt: retryAt}
	}
	body, ok := q.body.newReader()
	if !ok {
		return attemptResult{outcome: refused, reason: "the body is too long to be sent again", retryAt: retryAt}
	}
	s, err := link.Open(ctx, d.newCall(q, link))
	if err != nil {
		// The call was never queued, so it was never sent.
		return attemptResult{outcome: refused, reason: "target is gone", retryAt: retryAt}
	}
	q.uploads.Go(func() { d.upload(s, q, body) })
	f, err := s.Head(ctx)
	switch {
	case err != nil:
		s.Cancel()
		return attemptResult{outcome: indeterminate, reason: err.Error()}
	case f.Kind == messenger.KindRefusal:
		s.Release()
		wait := f.Refusal.RetryAt.Sub(f.Refusal.Now)
		return attemptResult{outcome: refused, reason: f.Refusal.Reason, retryAt: d.cfg.Now().Add(wait), targetDown: f.Refusal.TargetDown, response: &messenger.Response{Load: f.Refusal.Load}}
	case f.Response.Fault != "":
		s.Release()
		return attemptResult{outcome: indeterminate, reason: f.Response.Fault, deadlineExceeded: f.Response.DeadlineExceeded}
	}
	return attemptResult{outcome: answered, stream: s, response: f.Response}
}

func (d *Dispatcher) newCall(q *request, link *connector.Link) *messenger.Call {
	h := q.r.Header.Clone()
	for _, name := range hopByHopHeaders {
		h.Del(name)
	}
	h.Set(responder.RequestHeader, q.id)
	return &messenger.Call{
		Request: q.id, Team: q.key.team, Service: q.key.service, Method: q.r.Method, Path: q.path,
		Header: h, Deadline: link.RemoteDeadline(d.cfg.Now(), q.deadline), Priority: q.service.Priority, Length: q.r.ContentLength,
	}
}

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// upload sends the caller's body. If the body is truncated, the end frame carries
// a fault, so that the target never takes the body for complete.
func (d *Dispatcher) upload(s *messenger.Stream, q *request, body io.Reader) {
	buf := make([]byte, messenger.MaxChunkBytes)
	if q.r.ContentLength == 0 {
		_ = s.CloseWrite(messenger.End{})
		return
	}
	_, err := io.CopyBuffer(writerOnly{s}, body, buf)
	end := messenger.End{}
	if err != nil {
		end.Fault = "caller's body: " + err.Error()
	}
	_ = s.CloseWrite(end)
}

// writerOnly hides all methods but Write, so that io.CopyBuffer uses its buffer.
type writerOnly struct{ io.Writer }
