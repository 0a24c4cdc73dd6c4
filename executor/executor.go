// Package executor speaks to the worker of an instance: it starts, extends,
// throttles, checkpoints and stops tasks.
package executor

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"net/netip"
	"time"

	"github.com/dghubble/sling"

	"github.com/endivefall/endivefall/estimator"
	"github.com/endivefall/endivefall/parser"
)

// Errors of a worker.
var (
	// ErrUnknownOutcome says that a call may have taken effect.
	ErrUnknownOutcome = errors.New("worker's answer was lost")
	// ErrRejected says that the worker did nothing.
	ErrRejected = errors.New("worker rejected the call")
	// ErrLeaseExpired says that a start came after its lease had ended; the worker did
	// nothing.
	ErrLeaseExpired = errors.New("start came after its lease had ended")
	// ErrTaskNotFound says that the worker has no such task.
	ErrTaskNotFound = errors.New("worker has no such task")
)

// State is a task's state at the worker.
type State string

// States of a task. All but Running are final.
const (
	Running      State = "running"
	Done         State = "done"
	Failed       State = "failed"
	LeaseExpired State = "lapsed"
	Checkpointed State = "checkpointed"
	Stopped      State = "stopped"
)

// Task is one attempt at a task, as its worker tells it. The worker keeps it
// after its end, until it is forgotten.
type Task struct {
	ID             string           `json:"id"`
	Metadata       []byte           `json:"note,omitempty"` // kept for the agent, opaque to the worker
	Need           parser.Resources `json:"need"`
	Payload        string           `json:"work,omitempty"`
	Checkpoint     string           `json:"point,omitempty"` // where it began, or was checkpointed
	State          State            `json:"state"`
	LeaseExpiresAt time.Time        `json:"until"` // on the worker's clock; it stops the task then
	Error          string           `json:"error,omitempty"`
	CPUShare       float64          `json:"share,omitempty"` // throttle: the part of its processors that it gets
	Used           parser.Resources `json:"used"`            // measured, late
	// Peak is the most that it used so far.
	Peak parser.Resources `json:"peak"`
	// Interference is how much the task slows the instance's target at full share, as
	// a part of its latency; measured, late; 0 when it is not known.
	Interference float64 `json:"hurt,omitempty"`
}

// Report is what a worker says of itself.
type Report struct {
	Now      time.Time        `json:"now"`
	Total    parser.Resources `json:"total"`
	Draining bool             `json:"leaving,omitempty"`
	Version  uint64           `json:"version"`
	Tasks    []Task           `json:"tasks"`
}

const (
	callTimeout = 2 * time.Second
	// pollWait is how long a worker holds a report that has not changed.
	pollWait  = time.Second
	maxAnswer = 8 << 20 // bytes
)

// Config is what an Executor needs.
type Config struct {
	Addr netip.AddrPort
	Now  func() time.Time
	// Do sends a request; http.DefaultClient.Do when nil.
	Do func(*http.Request) (*http.Response, error)
}

// Executor is a caller of one worker. It is safe for concurrent use.
type Executor struct {
	cfg Config
	// Clock bounds the worker's clock.
	Clock estimator.Estimator
}

// New returns an Executor.
func New(cfg Config) *Executor {
	if cfg.Do == nil {
		cfg.Do = http.DefaultClient.Do
	}
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	return &Executor{cfg: cfg}
}

type query struct {
	After uint64 `url:"after"`
	Wait  int64  `url:"wait"` // ms
}

// AnyVersion is a version that no report has: polling after it returns at once.
const AnyVersion = math.MaxUint64

// Poll returns the worker's report when it has another version than after, or
// after a moment.
func (e *Executor) Poll(ctx context.Context, after uint64) (Report, error) {
	var r Report
	call := e.base().Get("/v1/worker").QueryStruct(query{after, pollWait.Milliseconds()})
	err := e.call(ctx, call, &r)
	return r, err
}

// Start starts a task; the same id again changes nothing. until is on the
// local clock.
func (e *Executor) Start(ctx context.Context, t Task, until time.Time) error {
	t.LeaseExpiresAt = e.Clock.RemoteDeadline(e.cfg.Now(), until)
	return e.call(ctx, e.base().Put("/v1/tasks/"+t.ID).BodyJSON(t), nil)
}

// LeaseRenewal moves the deadlines of tasks.
type LeaseRenewal struct {
	IDs       []string  `json:"ids"`
	ExpiresAt time.Time `json:"until"`
}

// RenewLeases moves the deadlines of tasks; until is on the local clock.
func (e *Executor) RenewLeases(ctx context.Context, ids []string, until time.Time) error {
	l := LeaseRenewal{IDs: ids, ExpiresAt: e.Clock.RemoteDeadline(e.cfg.Now(), until)}
	return e.call(ctx, e.base().Put("/v1/leases").BodyJSON(l), nil)
}

// Throttle is a limit on a task's processors.
type Throttle struct {
	Share float64 `json:"share"`
}

// Throttle leaves a task a share of its processors.
func (e *Executor) Throttle(ctx context.Context, id string, share float64) error {
	return e.call(ctx, e.base().Put("/v1/tasks/"+id+"/throttle").BodyJSON(Throttle{share}), nil)
}

// Checkpoint stops a task and returns it with the point to resume from. A task
// that ended before is returned as it ended.
func (e *Executor) Checkpoint(ctx context.Context, id string) (Task, error) {
	var t Task
	err := e.call(ctx, e.base().Post("/v1/tasks/"+id+"/checkpoint"), &t)
	return t, err
}

// Stop stops a task and returns it as it ended.
func (e *Executor) Stop(ctx context.Context, id string) (Task, error) {
	var t Task
	err := e.call(ctx, e.base().Post("/v1/tasks/"+id+"/stop"), &t)
	return t, err
}

// Delete lets the worker drop a task that has ended.
func (e *Executor) Delete(ctx context.Context, id string) error {
	return e.call(ctx, e.base().Delete("/v1/tasks/"+id), nil)
}

func (e *Executor) base() *sling.Sling {
	return sling.New().Base("http://" + e.cfg.Addr.String())
}

func (e *Executor) call(ctx context.Context, call *sling.Sling, into any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout+pollWait)
	defer cancel()
	req, err := call.Request()
	if err != nil {
		return fmt.Errorf("%w: %w", ErrRejected, err)
	}
	asked := e.cfg.Now()
	resp, err := e.cfg.Do(req.WithContext(ctx))
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUnknownOutcome, err)
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	switch {
	case err != nil:
		return fmt.Errorf("%w: %w", ErrUnknownOutcome, err)
	case resp.StatusCode == http.StatusNotFound:
		return ErrTaskNotFound
	case resp.StatusCode == http.StatusConflict:
		return ErrLeaseExpired
	case resp.StatusCode >= http.StatusInternalServerError:
		return fmt.Errorf("%w: %s", ErrUnknownOutcome, resp.Status)
	case resp.StatusCode >= http.StatusBadRequest:
		return fmt.Errorf("%w: %s", ErrRejected, resp.Status)
	case into == nil:
		return nil
	}
	if err := json.Unmarshal(raw, into); err != nil {
		return fmt.Errorf("%w: %w", ErrUnknownOutcome, err)
	}
	if r, ok := into.(*Report); ok {
		e.Clock.Observe(r.Now, asked, e.cfg.Now())
	}
	return nil
}
