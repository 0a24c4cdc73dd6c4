// Package dispatcher proxies callers' requests to targets. It routes them,
// retries within a budget, and returns to each caller either the complete
// response or a problem that says whether the request ran.
package dispatcher

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/endivefall/endivefall/cataloger"
	"github.com/endivefall/endivefall/connector"
	"github.com/endivefall/endivefall/messenger"
	"github.com/endivefall/endivefall/meter"
	"github.com/endivefall/endivefall/parser"
	"github.com/endivefall/endivefall/responder"
	"github.com/endivefall/endivefall/router"
)

// Bounds of a request.
const (
	// maxAttempts bounds the targets that one request is sent to.
	maxAttempts = 4
	// maxReplayBytes bounds the part of a body that is buffered for a retry.
	maxReplayBytes = 64 << 10
	// maxTimeout bounds the time to the deadline that a caller may set.
	maxTimeout = 10 * time.Minute
)

// Config is what a Dispatcher needs.
type Config struct {
	Domain    string
	MaxBody   int64
	Now       func() time.Time
	Log       *zap.Logger
	Meter     *meter.Meter
	Cataloger *cataloger.Cataloger
	// ToLocalTime converts a time on the platform's clock to local time. The
	// result is never later than the exact one.
	ToLocalTime func(time.Time) time.Time
	// ActiveSince returns the time, on the platform's clock, since which requests
	// with idempotency keys may have run at a service. It marks the service as
	// active if it is not yet.
	ActiveSince func(ctx context.Context, team, service string) (time.Time, error)
	// Link returns the link to an agent, or nil.
	Link func(agent string) *connector.Link
}

// serviceKey identifies a service across teams.
type serviceKey struct{ team, service string }

// Dispatcher handles callers' requests. It is safe for concurrent use.
type Dispatcher struct {
	cfg    Config
	claims *claimClient
	traces *traceLog
	// inFlight counts the requests being served.
	inFlight atomic.Int64

	mu sync.Mutex
	// routers has a router for each service that a target has announced.
	routers map[serviceKey]*router.Router
	metrics map[serviceKey]*serviceMetrics
}

type serviceMetrics struct {
	latency                      tally.Histogram
	done, notRun, unknown, retry tally.Counter
}

// New returns a Dispatcher that knows no targets.
func New(cfg Config) *Dispatcher {
	return &Dispatcher{
		cfg: cfg, claims: newClaimClient(cfg), traces: newTraceLog(),
		routers: map[serviceKey]*router.Router{}, metrics: map[serviceKey]*serviceMetrics{},
	}
}

// InFlight returns the number of requests being served.
func (d *Dispatcher) InFlight() int64 { return d.inFlight.Load() }

// router returns the router of a service, or nil if no target has announced the
// service and create is false.
func (d *Dispatcher) router(k serviceKey, create bool) *router.Router {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := d.routers[k]
	if r == nil && create {
		r = router.New(router.Config{Now: d.cfg.Now, Domain: d.cfg.Domain, Rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))})
		d.routers[k] = r
	}
	return r
}

// AddTarget adds the target of an agent, if the agent has one.
func (d *Dispatcher) AddTarget(hello *messenger.Hello) {
	if hello.Service == "" {
		return
	}
	r := d.router(serviceKey{hello.Team, hello.Service}, true)
	r.Add(hello.ID, hello.Domain, hello.Heartbeat.Load)
	if hello.Heartbeat.Draining {
		r.SetDraining(hello.ID)
	}
	d.cfg.Log.Info("target added", zap.String("target", hello.ID), zap.String("team", hello.Team), zap.String("service", hello.Service))
}

// RemoveTarget removes the target of an agent.
func (d *Dispatcher) RemoveTarget(hello *messenger.Hello) {
	if r := d.router(serviceKey{hello.Team, hello.Service}, false); r != nil {
		r.Remove(hello.ID)
	}
}

// UpdateTarget applies an agent's heartbeat to its target.
func (d *Dispatcher) UpdateTarget(hello *messenger.Hello, heartbeat *messenger.Heartbeat) {
	r := d.router(serviceKey{hello.Team, hello.Service}, false)
	if r == nil {
		return
	}
	r.UpdateLoad(hello.ID, heartbeat.Load, heartbeat.RoundTrip)
	if heartbeat.Draining {
		r.SetDraining(hello.ID)
	}
}

// HandleClaimReply delivers an agent's reply to the claim that waits for it.
func (d *Dispatcher) HandleClaimReply(f messenger.Frame) { d.claims.deliver(f) }

// request is the state of one caller's request.
type request struct {
	id             string
	key            serviceKey
	service        *parser.Service
	path           string
	deadline       time.Time
	idempotent     bool
	idempotencyKey string
	body           *body
	attempts       []Attempt
	r              *http.Request
	// uploads tracks the goroutines that read the caller's body.
	uploads sync.WaitGroup
}

// Bounds of draining an unread body. Draining lets the connection be reused, or
// at least keeps it from being reset before the caller has read the response.
const (
	drainTimeout  = 500 * time.Millisecond
	maxDrainBytes = 256 << 10
)

// drain waits until no goroutine reads the caller's body any more, because the
// server then reads the next request from the same connection.
func (q *request) drain(w http.ResponseWriter) {
	if q.body == nil || q.body.consumed() {
		q.uploads.Wait()
		return
	}
	conn := http.NewResponseController(w)
	deadline := time.Now().Add(drainTimeout)
	_ = conn.SetReadDeadline(deadline)
	if limited, ok := q.r.Body.(interface{ SetReadDeadline(time.Time) }); ok {
		limited.SetReadDeadline(deadline) // its reads set deadlines of their own
	}
	q.uploads.Wait()
	if !q.body.consumed() {
		_, _ = io.CopyN(io.Discard, q.r.Body, maxDrainBytes)
	}
	_ = conn.SetReadDeadline(time.Time{})
}

// closeIfUnread makes the server close the connection after the response if the
// caller's body has not been read to its end. The rest of the body must not be
// parsed as the next request. That is also so if an error ended it: in full duplex
// the server does not notice that it has not read the rest.
func (q *request) closeIfUnread(w http.ResponseWriter) {
	if q.body != nil && !q.body.complete() {
		w.Header().Set("Connection", "close")
	}
}

// ServeHTTP serves /v1/call/{team}/{service}/{path}.
func (d *Dispatcher) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	d.inFlight.Add(1)
	defer d.inFlight.Add(-1)
	start := d.cfg.Now()
	q, p := d.parseRequest(r)
	defer q.drain(w)
	w.Header().Set(responder.RequestHeader, q.id)
	if p != nil {
		d.fail(w, q, p, start)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), time.Now().Add(q.deadline.Sub(start)))
	defer cancel()
	_ = http.NewResponseController(w).EnableFullDuplex()
	if q.idempotencyKey != "" && !q.idempotent {
		d.runOnce(ctx, w, q, start)
		return
	}
	d.run(ctx, w, q, start, nil)
}

// parseRequest parses and validates a request.
func (d *Dispatcher) parseRequest(r *http.Request) (*request, *responder.Problem) {
	q := &request{
		id:   uuid.NewString(),
		key:  serviceKey{r.PathValue("team"), r.PathValue("service")},
		path: "/" + r.PathValue("path"), r: r,
	}
	if r.URL.RawQuery != "" {
		q.path += "?" + r.URL.RawQuery
	}
	q.service, _ = d.cfg.Cataloger.Service(q.key.team, q.key.service)
	if q.service == nil {
		return q, problem(http.StatusNotFound, "unknown-service", responder.NotRun, "no document has the service "+q.key.team+"/"+q.key.service)
	}
	if r.ContentLength > d.cfg.MaxBody {
		return q, problem(http.StatusRequestEntityTooLarge, "body-too-large", responder.NotRun, "the body is larger than this entry takes")
	}
	q.deadline = d.cfg.Now().Add(q.service.Deadline)
	if text := r.Header.Get(responder.DeadlineHeader); text != "" {
		deadline, err := parseDeadline(text, d.cfg.Now())
		if err != nil {
			return q, problem(http.StatusBadRequest, "bad-deadline", responder.NotRun, err.Error())
		}
		q.deadline = deadline
	}
	q.idempotent = q.service.IsIdempotent(r.Method)
	switch r.Header.Get(responder.IdempotentHeader) {
	case "":
	case "true":
		q.idempotent = true
	case "false":
		q.idempotent = false
	default:
		return q, problem(http.StatusBadRequest, "bad-header", responder.NotRun, responder.IdempotentHeader+" must be true or false")
	}
	q.idempotencyKey = r.Header.Get(responder.IdempotencyKeyHeader)
	if len(q.idempotencyKey) > maxKeyBytes {
		return q, problem(http.StatusBadRequest, "bad-key", responder.NotRun, responder.IdempotencyKeyHeader+" is longer than 255 bytes")
	}
	q.body = newBody(r.Body, d.cfg.MaxBody)
	if r.ContentLength == 0 {
		q.body.err = io.EOF
	}
	return q, nil
}

// maxKeyBytes bounds an idempotency key, in bytes.
const maxKeyBytes = 255

var errBadDeadline = errors.New("a deadline is a time as 2026-12-03T10:00:00Z or a wait as 1.5s")

// parseDeadline parses a deadline given as a time or as a timeout from now. It
// caps the deadline at maxTimeout from now.
func parseDeadline(text string, now time.Time) (time.Time, error) {
	deadline, err := time.Parse(time.RFC3339Nano, text)
	if err != nil {
		timeout, err := time.ParseDuration(text)
		if err != nil || timeout <= 0 {
			return deadline, errBadDeadline
		}
		deadline = now.Add(timeout)
	}
	if latest := now.Add(maxTimeout); deadline.After(latest) {
		return latest, nil
	}
	return deadline, nil
}

func problem(status int, code string, outcome responder.Outcome, detail string) *responder.Problem {
	return &responder.Problem{Status: status, Code: code, Outcome: outcome, Detail: detail}
}

// fail answers with a problem and records its outcome.
func (d *Dispatcher) fail(w http.ResponseWriter, q *request, p *responder.Problem, start time.Time) {
	p.RequestID = q.id
	q.closeIfUnread(w)
	d.recordOutcome(q, p.Outcome, p.Code, start)
	responder.Write(w, *p, d.cfg.Now())
}

// recordOutcome counts an outcome and stores the request's trace.
func (d *Dispatcher) recordOutcome(q *request, outcome responder.Outcome, code string, start time.Time) {
	elapsed := d.cfg.Now().Sub(start)
	if q.service != nil {
		m := d.metricsOf(q.key)
		switch outcome {
		case responder.Done:
			m.done.Inc(1)
			m.latency.RecordDuration(elapsed)
		case responder.NotRun:
			m.notRun.Inc(1)
		case responder.Unknown:
			m.unknown.Inc(1)
		}
		m.retry.Inc(int64(max(len(q.attempts)-1, 0)))
	}
	d.traces.add(Trace{
		Request: q.id, Team: q.key.team, Service: q.key.service, Start: start, Duration: elapsed,
		Outcome: string(outcome), Code: code, Attempts: q.attempts,
	})
}

func (d *Dispatcher) metricsOf(k serviceKey) *serviceMetrics {
	d.mu.Lock()
	defer d.mu.Unlock()
	m := d.metrics[k]
	if m == nil {
		count := func(c meter.Counter) tally.Counter { return d.cfg.Meter.CounterOf(c, k.team, k.service) }
		m = &serviceMetrics{
			latency: d.cfg.Meter.HistogramOf(meter.CallLatency, k.team, k.service),
			done:    count(meter.CallsDone), notRun: count(meter.CallsNotRun),
			unknown: count(meter.CallsUnknown), retry: count(meter.CallRetries),
		}
		d.metrics[k] = m
	}
	return m
}
