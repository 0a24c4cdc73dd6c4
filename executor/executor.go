// Package executor is the client of an instance's worker: it starts, throttles,
// checkpoints and stops tasks, and renews their leases.
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

// Errors of a call to the worker. Their texts can become the reason of an outcome.
var (
	// ErrUnknownOutcome means that the call may or may not have taken effect.
	ErrUnknownOutcome = errors.New("worker's answer was lost")
	// ErrRejected means that the call had no effect.
	ErrRejected = errors.New("worker rejected the call")
	// ErrLeaseExpired means that a start arrived after the end of its lease; it had no
	// effect.
	ErrLeaseExpired = errors.New("start came after its lease had ended")
	// ErrTaskNotFound means that the worker has no task with the id.
	ErrTaskNotFound = errors.New("worker has no such task")
)

// State is the state of a task at the worker.
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

// Task is one attempt at a task, as reported by the worker. The worker keeps it after
// its end, until it is deleted.
type Task struct {
	ID             string           `json:"id"`
	Metadata       []byte           `json:"note,omitempty"` // stored for the agent, opaque to the worker
	Need           parser.Resources `json:"need"`
	Payload        string           `json:"work,omitempty"`
	Checkpoint     string           `json:"point,omitempty"` // the one that it resumed from, or that was taken when it stopped
	State          State            `json:"state"`
	LeaseExpiresAt time.Time        `json:"until"` // on the worker's clock; the worker then stops the task
	Error          string           `json:"error,omitempty"`
	CPUShare       float64          `json:"share,omitempty"` // the fraction of its processors that a throttle leaves it
	Used           parser.Resources `json:"used"`            // measured with a delay
	// Peak is its highest usage so far.
	Peak parser.Resources `json:"peak"`
	// Interference is how much the task slows the instance's target, as a fraction of
	// the target's latency with the task at its full CPU share. It is measured with a
	// delay. It is 0 if it is not known.
	Interference float64 `json:"hurt,omitempty"`
}

// Report is the state of a worker and its tasks.
type Report struct {
	Now      time.Time        `json:"now"`
	Total    parser.Resources `json:"total"`
	Draining bool             `json:"leaving,omitempty"`
	Version  uint64           `json:"version"`
	Tasks    []Task           `json:"tasks"`
}

const (
	// callTimeout and pollWait together bound each call.
	callTimeout = 2 * time.Second
	// pollWait is how long the worker delays its reply to a poll while its report has
	// not changed.
	pollWait         = time.Second
	maxResponseBytes = 8 << 20
)

// Config holds the settings and dependencies of an Executor.
type Config struct {
	Addr netip.AddrPort
	Now  func() time.Time
	// Do sends a request; http.DefaultClient.Do when nil.
	Do func(*http.Request) (*http.Response, error)
}

// Executor is a client of one worker. It is safe for concurrent use.
type Executor struct {
	cfg Config
	// Clock estimates bounds on the worker's clock from its reports.
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

type pollQuery struct {
	After uint64 `url:"after"`
	Wait  int64  `url:"wait"` // ms
}

// AnyVersion is a version that no report has, so that a poll after it returns at once.
const AnyVersion = math.MaxUint64

// Poll returns the worker's report once its version differs from after, or after
// pollWait.
func (e *Executor) Poll(ctx context.Context, after uint64) (Report, error) {
	var r Report
	call := e.newRequest().Get("/v1/worker").QueryStruct(pollQuery{after, pollWait.Milliseconds()})
	err := e.call(ctx, call, &r)
	return r, err
}

// Start starts a task with a lease until a time on the local clock. Another start with
// the same id has no effect.
func (e *Executor) Start(ctx context.Context, t Task, until time.Time) error {
	t.LeaseExpiresAt = e.Clock.RemoteDeadline(e.cfg.Now(), until)
	return e.call(ctx, e.newRequest().Put("/v1/tasks/"+t.ID).BodyJSON(t), nil)
}

// LeaseRenewal is the body of a call that renews leases.
type LeaseRenewal struct {
	IDs       []string  `json:"ids"`
	ExpiresAt time.Time `json:"until"`
}

// RenewLeases extends the leases of tasks until a time on the local clock.
func (e *Executor) RenewLeases(ctx context.Context, ids []string, until time.Time) error {
	renewal := LeaseRenewal{IDs: ids, ExpiresAt: e.Clock.RemoteDeadline(e.cfg.Now(), until)}
	return e.call(ctx, e.newRequest().Put("/v1/leases").BodyJSON(renewal), nil)
}

// Throttle is the body of a call that limits a task's processors.
type Throttle struct {
	Share float64 `json:"share"`
}

// Throttle limits a task to a share of its processors.
func (e *Executor) Throttle(ctx context.Context, id string, share float64) error {
	return e.call(ctx, e.newRequest().Put("/v1/tasks/"+id+"/throttle").BodyJSON(Throttle{share}), nil)
}

// Checkpoint stops a task and returns it with the checkpoint to resume from. A task
// that has already ended is returned in its final state.
func (e *Executor) Checkpoint(ctx context.Context, id string) (Task, error) {
	var t Task
	err := e.call(ctx, e.newRequest().Post("/v1/tasks/"+id+"/checkpoint"), &t)
	return t, err
}

// Stop stops a task and returns it in its final state.
func (e *Executor) Stop(ctx context.Context, id string) (Task, error) {
	var t Task
	err := e.call(ctx, e.newRequest().Post("/v1/tasks/"+id+"/stop"), &t)
	return t, err
}

// Delete deletes a task that has ended at the worker.
func (e *Executor) Delete(ctx context.Context, id string) error {
	return e.call(ctx, e.newRequest().Delete("/v1/tasks/"+id), nil)
}

func (e *Executor) newRequest() *sling.Sling {
	return sling.New().Base("http://" + e.cfg.Addr.String())
}

func (e *Executor) call(ctx context.Context, call *sling.Sling, out any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout+pollWait)
	defer cancel()
	req, err := call.Request()
	if err != nil {
		return fmt.Errorf("%w: %w", ErrRejected, err)
	}
	sentAt := e.cfg.Now()
	resp, err := e.cfg.Do(req.WithContext(ctx))
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUnknownOutcome, err)
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
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
	case out == nil:
		return nil
	}
	if err := json.Unmarshal(raw, out); err != nil {
		return fmt.Errorf("%w: %w", ErrUnknownOutcome, err)
	}
	if r, ok := out.(*Report); ok {
		e.Clock.Observe(r.Now, sentAt, e.cfg.Now())
	}
	return nil
}
