// Package dispatcher takes callers' requests to targets: it routes, retries
// within a budget, and tells each caller the whole answer or whether its
// request ran.
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
	// maxTries bounds the targets that one request is sent to.
	maxTries = 4
	// replay is how much of a body is kept for another try, in bytes.
	replay = 64 << 10
	// maxWait bounds the deadline that a caller may ask for.
	maxWait = 10 * time.Minute
)

// Config is what a Dispatcher needs.
type Config struct {
	Domain    string
	MaxBody   int64
	Now       func() time.Time
	Log       *zap.Logger
	Meter     *meter.Meter
	Cataloger *cataloger.Cataloger
	// ToLocalTime returns the local time of a time on the platform's clock, or one
	// before it.
	ToLocalTime func(time.Time) time.Time
	// ActiveSince returns since when, on the platform's clock, requests with keys may
	// have run at a service, and opens it.
	ActiveSince func(ctx context.Context, team, service string) (time.Time, error)
	// Link returns the link to an agent, or nil.
	Link func(agent string) *connector.Link
}

// serviceKey names a service.
type serviceKey struct{ team, service string }

// Dispatcher serves callers. It is safe for concurrent use.
type Dispatcher struct {
	cfg    Config
	claims *claims
	trail  *trail
	// inside counts the requests being served.
	inside atomic.Int64

	mu sync.Mutex
	// routers has one router for each service that a target announced.
	routers map[serviceKey]*router.Router
	// gauges has the metrics of each service.
	gauges map[serviceKey]*gauges
}

type gauges struct {
	latency                      tally.Histogram
	done, notRun, unknown, retry tally.Counter
}

// New returns a Dispatcher that knows no targets.
func New(cfg Config) *Dispatcher {
	return &Dispatcher{
		cfg: cfg, claims: newClaims(cfg), trail: newTrail(),
		routers: map[serviceKey]*router.Router{}, gauges: map[serviceKey]*gauges{},
	}
}

// InFlight returns how many requests are being served.
func (d *Dispatcher) InFlight() int64 { return d.inside.Load() }

// router returns the router of a service, or nil while no target announced it.
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

// AddTarget announces the target beside an agent.
func (d *Dispatcher) AddTarget(h *messenger.Hello) {
	if h.Service == "" {
		return
	}
	r := d.router(serviceKey{h.Team, h.Service}, true)
	r.Add(h.ID, h.Domain, h.Heartbeat.Load)
	if h.Heartbeat.Draining {
		r.SetDraining(h.ID)
	}
	d.cfg.Log.Info("target joined", zap.String("target", h.ID), zap.String("team", h.Team), zap.String("service", h.Service))
}

// RemoveTarget takes the target of an agent out.
func (d *Dispatcher) RemoveTarget(h *messenger.Hello) {
	if r := d.router(serviceKey{h.Team, h.Service}, false); r != nil {
		r.Remove(h.ID)
	}
}

// UpdateTarget takes an agent's digest.
func (d *Dispatcher) UpdateTarget(h *messenger.Hello, b *messenger.Heartbeat) {
	r := d.router(serviceKey{h.Team, h.Service}, false)
	if r == nil {
		return
	}
	r.UpdateLoad(h.ID, b.Load, b.RoundTrip)
	if b.Draining {
		r.SetDraining(h.ID)
	}
}

// HandleClaimReply takes an agent's answer to a claim.
func (d *Dispatcher) HandleClaimReply(f messenger.Frame) { d.claims.answer(f) }

// request is one caller's request on its way.
type request struct {
	id         string
	key        serviceKey
	service    *parser.Service
	path       string
	until      time.Time
	idempotent bool
	idemKey    string
	body       *body
	tries      []Attempt
	r          *http.Request
	// uploads counts the goroutines that read the caller's body.
	uploads sync.WaitGroup
}

// Bounds of reading on in a body that nobody wants, so that the connection can
// be used again, or at least is not reset before the caller has its answer.
const (
	drainTime  = 500 * time.Millisecond
	drainBytes = 256 << 10
)

// finish waits until nothing reads the caller's body any more, because the
// server goes on to read the next request from the same connection.
func (q *request) finish(w http.ResponseWriter) {
	if q.body == nil || q.body.read() {
		q.uploads.Wait()
		return
	}
	conn := http.NewResponseController(w)
	_ = conn.SetReadDeadline(time.Now().Add(drainTime))
	q.uploads.Wait()
	if !q.body.read() {
		_, _ = io.CopyN(io.Discard, q.r.Body, drainBytes)
	}
	_ = conn.SetReadDeadline(time.Time{})
}

// hangUp ends the connection after the answer if the caller's body is not read
// yet: what is left of it must not be taken for the next request.
func (q *request) hangUp(w http.ResponseWriter) {
	if q.body != nil && !q.body.read() {
		w.Header().Set("Connection", "close")
	}
}

// ServeHTTP serves /v1/call/{team}/{service}/{path}.
func (d *Dispatcher) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	d.inside.Add(1)
	defer d.inside.Add(-1)
	start := d.cfg.Now()
	q, p := d.read(r)
	defer q.finish(w)
	w.Header().Set(responder.RequestHeader, q.id)
	if p != nil {
		d.fail(w, q, p, start)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), time.Now().Add(q.until.Sub(start)))
	defer cancel()
	_ = http.NewResponseController(w).EnableFullDuplex()
	if q.idemKey != "" && !q.idempotent {
		d.once(ctx, w, q, start)
		return
	}
	d.run(ctx, w, q, start, nil)
}

// read checks a request before anything is done.
func (d *Dispatcher) read(r *http.Request) (*request, *responder.Problem) {
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
	q.until = d.cfg.Now().Add(q.service.Deadline)
	if text := r.Header.Get(responder.DeadlineHeader); text != "" {
		at, err := readDeadline(text, d.cfg.Now())
		if err != nil {
			return q, problem(http.StatusBadRequest, "bad-deadline", responder.NotRun, err.Error())
		}
		q.until = at
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
	q.idemKey = r.Header.Get(responder.IdempotencyKeyHeader)
	if len(q.idemKey) > maxKey {
		return q, problem(http.StatusBadRequest, "bad-key", responder.NotRun, responder.IdempotencyKeyHeader+" is longer than 255 bytes")
	}
	q.body = newBody(r.Body, d.cfg.MaxBody)
	if r.ContentLength == 0 {
		q.body.err = io.EOF
	}
	return q, nil
}

// maxKey bounds an idempotency key, in bytes.
const maxKey = 255

var errDeadline = errors.New("a deadline is a time as 2026-12-03T10:00:00Z or a wait as 1.5s")

// readDeadline reads a time, or the longest wait, as a deadline.
func readDeadline(text string, now time.Time) (time.Time, error) {
	at, err := time.Parse(time.RFC3339Nano, text)
	if err != nil {
		wait, err := time.ParseDuration(text)
		if err != nil || wait <= 0 {
			return at, errDeadline
		}
		at = now.Add(wait)
	}
	if latest := now.Add(maxWait); at.After(latest) {
		return latest, nil
	}
	return at, nil
}

func problem(status int, code string, o responder.Outcome, detail string) *responder.Problem {
	return &responder.Problem{Status: status, Code: code, Outcome: o, Detail: detail}
}

// fail answers with a problem and counts it.
func (d *Dispatcher) fail(w http.ResponseWriter, q *request, p *responder.Problem, start time.Time) {
	p.RequestID = q.id
	q.hangUp(w)
	d.note(q, p.Outcome, p.Code, start)
	responder.Write(w, *p, d.cfg.Now())
}

// note counts an outcome and writes the request's log line.
func (d *Dispatcher) note(q *request, o responder.Outcome, code string, start time.Time) {
	took := d.cfg.Now().Sub(start)
	if q.service != nil {
		g := d.gauge(q.key)
		switch o {
		case responder.Done:
			g.done.Inc(1)
			g.latency.RecordDuration(took)
		case responder.NotRun:
			g.notRun.Inc(1)
		case responder.Unknown:
			g.unknown.Inc(1)
		}
		g.retry.Inc(int64(max(len(q.tries)-1, 0)))
	}
	d.trail.add(Trace{
		Request: q.id, Team: q.key.team, Service: q.key.service, At: start, Took: took,
		Outcome: string(o), Code: code, Attempts: q.tries,
	})
}

func (d *Dispatcher) gauge(k serviceKey) *gauges {
	d.mu.Lock()
	defer d.mu.Unlock()
	g := d.gauges[k]
	if g == nil {
		s := d.cfg.Meter.Tagged(map[string]string{"team": k.team, "service": k.service})
		g = &gauges{
			latency: d.cfg.Meter.LatencyHistogram("call_latency", k.team, k.service),
			done:    s.Counter("calls_done"), notRun: s.Counter("calls_not_run"),
			unknown: s.Counter("calls_unknown"), retry: s.Counter("call_retries"),
		}
		d.gauges[k] = g
	}
	return g
}
