package dispatcher

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"github.com/endivefall/endivefall/connector"
	"github.com/endivefall/endivefall/messenger"
	"github.com/endivefall/endivefall/parser"
)

// An agent's deadline timer may fire before the entry's. The call that the agent
// aborted then counts as past its deadline, not as a fault of the target, and is
// not retried at another target.
func TestDeadlineExceededAtAgentIsNotRetried(t *testing.T) {
	for name, tc := range map[string]struct {
		response messenger.Response
		status   int
	}{
		"deadline":       {messenger.Response{Fault: "context deadline exceeded", DeadlineExceeded: true}, http.StatusGatewayTimeout},
		"target's fault": {messenger.Response{Fault: "EOF"}, http.StatusBadGateway},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			defer cancel()
			connected := make(chan *connector.Link, 1)
			links := connector.New(connector.Config{
				ID: "entry-0", Incarnation: "b", Now: time.Now, Log: zap.NewNop(), FillWelcome: func(*messenger.Welcome) {},
				OnConnect: func(l *connector.Link) { connected <- l }, OnDisconnect: func(*connector.Link) {}, Handle: func(*connector.Link, messenger.Frame) {},
			})
			server := httptest.NewServer(links)
			defer server.Close()
			hello := messenger.Hello{
				Version: messenger.Version, Role: messenger.RoleAgent, ID: "agent-0", Incarnation: "b",
				Team: "association", Service: "booking", Heartbeat: messenger.Heartbeat{Sent: time.Now()},
			}
			socket, _, err := messenger.Dial(ctx, netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://")), hello)
			c.Assert(err, qt.IsNil)
			agent := messenger.New(messenger.Config{
				Socket: socket, Handle: func(*messenger.Conn, messenger.Frame) {},
				Accept: func(ctx context.Context, s *messenger.Stream, _ *messenger.Call) {
					_ = s.Send(ctx, messenger.Frame{Kind: messenger.KindResponse, Response: &tc.response})
				},
			})
			go func() { _ = agent.Run(ctx) }()
			link := <-connected
			d := New(Config{Now: time.Now, Log: zap.NewNop(), Link: func(string) *connector.Link { return link }})
			d.AddTarget(&hello)
			q := &request{
				id: "r", key: serviceKey{"association", "booking"}, service: &parser.Service{}, deadline: time.Now().Add(time.Minute),
				r: httptest.NewRequest(http.MethodPost, "/", nil), body: newBody(http.NoBody, 0),
			}
			_, _, _, p := d.attemptTargets(ctx, q)
			q.uploads.Wait()
			c.Assert(p, qt.IsNotNil)
			c.Assert(p.Status, qt.Equals, tc.status, qt.Commentf("%s", p.Detail))
			c.Assert(q.attempts, qt.HasLen, 1)
		})
	}
}
