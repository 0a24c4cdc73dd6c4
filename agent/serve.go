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

// serve admits one request from an entry and forwards it to the target.
func (a *Agent) serve(ctx context.Context, s *messenger.Stream, call *messenger.Call) {
	a.inFlight.Add(1)
	defer a.inFlight.Add(-1)
	settings := a.cfg.Settings
	if call.Team != settings.Team || call.Service != settings.Service {
		a.refuse(s, "another service is here", a.now().Add(time.Second))
		return
	}
	arrived := a.now()
	permit, err := a.admitter.Admit(ctx, admitter.Request{Deadline: call.Deadline, Priority: call.Priority})
	if err != nil {
		var refusal *admitter.Refusal
		errors.As(err, &refusal)
		a.refuse(s, refusal.Reason, refusal.RetryAt)
		return
	}
	defer permit.Release()
	// The process may have been frozen between admission and now.
	if !call.Deadline.After(a.now()) || ctx.Err() != nil {
		a.refuse(s, admitter.ReasonTooLate, a.now())
		return
	}
	a.forward(ctx, s, call)
	a.latencies.add(a.now().Sub(arrived))
}

func (a *Agent) refuse(s *messenger.Stream, reason string, retryAt time.Time) {
	_ = s.Send(context.Background(), messenger.Frame{
		Kind:    messenger.KindRefusal,
		Refusal: &messenger.Refusal{Reason: reason, RetryAt: retryAt, Now: a.now(), Load: a.load()},
	})
}

// forward sends a request to the target and the response back to the entry.
func (a *Agent) forward(ctx context.Context, s *messenger.Stream, call *messenger.Call) {
	ctx, cancel := context.WithTimeout(ctx, call.Deadline.Sub(a.now()))
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, call.Method, "http://"+a.cfg.Settings.Target.String()+call.Path, nil)
	if err != nil {
		a.refuse(s, "bad path", a.now())
		return
	}
	req.Header = call.Header
	// If a connection breaks, the transport resends a request with an idempotency key
	// by itself, unless its body is neither nil nor http.NoBody and has no GetBody.
	// The body is therefore always one that cannot be resent.
	req.Body = io.NopCloser(s)
	req.ContentLength = call.Length
	if call.Length == 0 {
		req.Body = &emptyBody{}
	}
	resp, err := a.targetClient.Do(req)
	if err != nil {
		a.respondFailure(s, err)
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
	if _, err := io.CopyBuffer(onlyWriter{s}, onlyReader{resp.Body}, make([]byte, messenger.MaxChunkBytes)); err != nil {
		end.Fault = err.Error()
		a.cfg.Log.Warn("response ended early", zap.String("request", call.Request), zap.Error(err))
	}
	end.Load = a.load()
	_ = s.CloseWrite(end)
}

// respondFailure replies to a request that got no response from the target. Only
// if the target could not be dialed is it certain that the request did not run.
func (a *Agent) respondFailure(s *messenger.Stream, err error) {
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		_ = s.Send(context.Background(), messenger.Frame{Kind: messenger.KindRefusal, Refusal: &messenger.Refusal{
			Reason: "target does not listen", RetryAt: a.now().Add(time.Second), Now: a.now(), Load: a.load(), TargetDown: true,
		}})
		return
	}
	_ = s.Send(context.Background(), messenger.Frame{Kind: messenger.KindResponse, Response: &messenger.Response{
		Fault: "target broke off: " + err.Error(), Load: a.load(), DeadlineExceeded: errors.Is(err, context.DeadlineExceeded),
	}})
}

// emptyBody is a body without bytes that the transport does not treat as
// http.NoBody.
type emptyBody struct{}

func (*emptyBody) Read([]byte) (int, error) { return 0, io.EOF }

func (*emptyBody) Close() error { return nil }

// onlyWriter and onlyReader hide all other methods, so that io.CopyBuffer uses
// the given buffer.
type onlyWriter struct{ io.Writer }

type onlyReader struct{ io.Reader }
