package dispatcher

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
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
	answer  *messenger.Answer
	reason  string
	again   time.Time // when a refused request should come back
	broken  bool      // the target itself is unwell
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
	mayHaveRun := false
	seen := map[string]bool{}
	code, detail := "no-target", "no target of the service can take the request now"
	for len(q.tries) < maxTries {
		if len(q.tries) > 0 && !rt.Retry() {
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
		rt.Done(choice.ID, router.End{Failed: t.verdict == doubtful || t.broken, Refused: t.verdict == refused, Load: t.load()})
		if t.verdict == refused {
			code, detail = "refused", "the targets asked refused it: "+t.reason
			if soonest.IsZero() || t.again.Before(soonest) {
				soonest = t.again
			}
		}
		mayHaveRun = mayHaveRun || t.verdict == doubtful
		if ctx.Err() != nil || (mayHaveRun && !q.idempotent) {
			break
		}
		if q.body.fault() != nil {
			return t, "", nil, d.badBody(q, mayHaveRun)
		}
	}
	if mayHaveRun {
		return tried{}, "", nil, d.unknown(ctx, q)
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
	p.Again = again
	return p
}

func (d *Dispatcher) unknown(ctx context.Context, q *request) *responder.Problem {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return problem(http.StatusGatewayTimeout, "deadline", responder.Unknown, "no answer came before the deadline; the request may have run")
	}
	detail := "the target broke off; the request may have run"
	if last := len(q.tries); last > 0 {
		detail += ": " + q.tries[last-1].End
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
	q.tries = append(q.tries, Try{Target: c.ID, Score: c.Score, Reason: c.Reason, Others: c.Others, End: end, Took: took})
	d.cfg.Log.Info("request routed", zap.String("request", q.id), zap.String("team", q.key.team), zap.String("service", q.key.service),
		zap.String("target", c.ID), zap.Duration("score", c.Score), zap.String("reason", c.Reason),
		zap.Int("others", len(c.Others)), zap.String("end", end), zap.Duration("took", took))
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
	case f.Kind == messenger.KindRefuse:
		s.Forget()
		wait := f.Refuse.Again.Sub(f.Refuse.Now)
		return tried{verdict: refused, reason: f.Refuse.Reason, again: d.cfg.Now().Add(wait), broken: f.Refuse.Broken, answer: &messenger.Answer{Load: f.Refuse.Load}}
	case f.Answer.Fault != "":
		s.Forget()
		return tried{verdict: doubtful, reason: f.Answer.Fault}
	}
	return tried{verdict: answered, stream: s, answer: f.Answer}
}

func (d *Dispatcher) call(q *request, link *connector.Link) *messenger.Call {
	h := q.r.Header.Clone()
	for _, name := range hopHeaders {
		h.Del(name)
	}
	h.Set(responder.RequestHeader, q.id)
	return &messenger.Call{
		Request: q.id, Team: q.key.team, Service: q.key.service, Method: q.r.Method, Path: q.path,
		Header: h, Until: link.Until(d.cfg.Now(), q.until), Priority: q.service.Priority, Length: q.r.ContentLength,
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

// relay passes the answer on. A body that breaks off breaks the caller's
// connection off too, so that it never looks whole.
func (d *Dispatcher) relay(ctx context.Context, w http.ResponseWriter, q *request, t tried, id string, rt *router.Router, start time.Time, record func(ending)) {
	h := w.Header()
	for name, values := range t.answer.Header {
		h[name] = values
	}
	for _, name := range hopHeaders {
		h.Del(name)
	}
	h.Set(responder.RequestHeader, q.id)
	h.Set(responder.OutcomeHeader, string(responder.Done))
	if t.answer.Length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(t.answer.Length, 10))
	}
	q.hangUp(w)
	w.WriteHeader(t.answer.Status)
	stop := context.AfterFunc(ctx, t.stream.Cancel)
	first := &capture{limit: maxReplay}
	n, err := copyFlush(w, io.TeeReader(t.stream, first))
	stop()
	switch {
	case t.answer.Length < 0 || q.r.Method == http.MethodHead:
	case n == t.answer.Length:
		err = nil // whole, even if the caller went before the end was seen here
	case err == nil:
		err = messenger.ErrBroken
	}
	end := router.End{Took: d.cfg.Now().Sub(start), Failed: failure(t.answer.Status)}
	if last := t.stream.Last(); last != nil {
		end.Load = &last.Load
	}
	if err != nil {
		t.stream.Cancel()
		end.Failed = ctx.Err() == nil
		rt.Done(id, end)
		record(ending{outcome: responder.Unknown})
		d.note(q, responder.Unknown, "answer-cut-short", start)
		d.cfg.Log.Warn("answer cut short", zap.String("request", q.id), zap.String("target", id), zap.Error(err))
		panic(http.ErrAbortHandler)
	}
	t.stream.Forget()
	rt.Done(id, end)
	record(ending{outcome: responder.Done, status: t.answer.Status, kind: h.Get("Content-Type"), body: first.whole()})
	d.note(q, responder.Done, strconv.Itoa(t.answer.Status), start)
}

// failure says whether a status is the target's own fault.
func failure(status int) bool {
	switch status {
	case http.StatusInternalServerError, http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	}
	return false
}

// copyFlush copies and flushes after each read, so that a slow answer is seen
// as it comes.
func copyFlush(w http.ResponseWriter, from io.Reader) (int64, error) {
	flush := http.NewResponseController(w)
	buf := make([]byte, messenger.MaxChunk)
	var total int64
	for {
		n, err := from.Read(buf)
		if n > 0 {
			if _, werr := w.Write(buf[:n]); werr != nil {
				return total, werr
			}
			total += int64(n)
		}
		if err == io.EOF {
			return total, nil
		}
		if err != nil {
			return total, err
		}
		if n > 0 && n < len(buf) {
			_ = flush.Flush()
		}
	}
}

// capture keeps the first bytes that pass.
type capture struct {
	buf   bytes.Buffer
	limit int
	over  bool
}

func (c *capture) Write(p []byte) (int, error) {
	if c.buf.Len()+len(p) > c.limit {
		c.over = true
	}
	if !c.over {
		c.buf.Write(p)
	}
	return len(p), nil
}

// whole returns all that passed, or nil when that was too much.
func (c *capture) whole() []byte {
	if c.over {
		return nil
	}
	return c.buf.Bytes()
}
