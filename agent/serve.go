package agent

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/endivefall/endivefall/admitter"
	"github.com/endivefall/endivefall/messenger"
)

// serve takes one request from an entry to the target.
func (a *Agent) serve(ctx context.Context, s *messenger.Stream, call *messenger.Call) {
	a.inside.Add(1)
	defer a.inside.Add(-1)
	set := a.cfg.Settings
	if call.Team != set.Team || call.Service != set.Service {
		a.refuse(s, "another service is here", a.now().Add(time.Second))
		return
	}
	came := a.now()
	ticket, err := a.admit.Admit(ctx, admitter.Request{Deadline: call.Deadline, Priority: call.Priority})
	if err != nil {
		var r *admitter.Refusal
		errors.As(err, &r)
		a.refuse(s, r.Reason, r.RetryAt)
		return
	}
	defer ticket.Release()
	// The process may have been frozen since it was admitted.
	if !call.Deadline.After(a.now()) || ctx.Err() != nil {
		a.refuse(s, admitter.ReasonTooLate, a.now())
		return
	}
	a.forward(ctx, s, call)
	a.window.add(a.now().Sub(came))
}

func (a *Agent) refuse(s *messenger.Stream, reason string, again time.Time) {
	_ = s.Send(context.Background(), messenger.Frame{
		Kind:    messenger.KindRefusal,
		Refusal: &messenger.Refusal{Reason: reason, RetryAt: again, Now: a.now(), Load: a.load()},
	})
}

// forward sends the request to the target and its answer back.
func (a *Agent) forward(ctx context.Context, s *messenger.Stream, call *messenger.Call) {
	ctx, cancel := context.WithTimeout(ctx, call.Deadline.Sub(a.now()))
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, call.Method, "http://"+a.cfg.Settings.Target.String()+call.Path, nil)
	if err != nil {
		a.refuse(s, "bad path", a.now())
		return
	}
	req.Header = call.Header
	// A body that is neither nil nor http.NoBody, without GetBody, keeps the
	// transport from sending a request twice of its own accord, which it does
	// for requests with an idempotency key.
	req.Body = io.NopCloser(s)
	req.ContentLength = call.Length
	if call.Length == 0 {
		req.Body = &empty{}
	}
	resp, err := a.target.Do(req)
	if err != nil {
		a.failed(s, err)
		return
	}
	defer func() { _ = resp.Body.Close() }()
	err = s.Send(ctx, messenger.Frame{Kind: messenger.KindResponse, Response: &messenger.Response{
		Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength, Load: a.load(),
	}})
	if err != nil {
		return
	}
	end := messenger.End{}
	if _, err := io.CopyBuffer(onlyWriter{s}, onlyReader{resp.Body}, make([]byte, messenger.MaxChunk)); err != nil {
		end.Fault = err.Error()
		a.cfg.Log.Warn("answer cut short", zap.String("request", call.Request), zap.Error(err))
	}
	end.Load = a.load()
	_ = s.CloseWrite(end)
}

// failed answers a request to which the target gave no answer. Only one that
// was never sent did surely not run.
func (a *Agent) failed(s *messenger.Stream, err error) {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		_ = s.Send(context.Background(), messenger.Frame{Kind: messenger.KindRefusal, Refusal: &messenger.Refusal{
			Reason: "target does not listen", RetryAt: a.now().Add(time.Second), Now: a.now(), Load: a.load(), TargetDown: true,
		}})
		return
	}
	_ = s.Send(context.Background(), messenger.Frame{Kind: messenger.KindResponse, Response: &messenger.Response{
		Fault: "target broke off: " + err.Error(), Load: a.load(), DeadlineExceeded: errors.Is(err, context.DeadlineExceeded),
	}})
}

// empty is a body without bytes that the transport does not take for none.
type empty struct{}

func (*empty) Read([]byte) (int, error) { return 0, io.EOF }

func (*empty) Close() error { return nil }

// onlyWriter and onlyReader hide all other methods, so that a copy goes
// through the given buffer.
type onlyWriter struct{ io.Writer }

type onlyReader struct{ io.Reader }
