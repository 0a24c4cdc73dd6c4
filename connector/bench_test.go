package connector

import (
	"context"
	"fmt"
	"net/http/httptest"
	"net/netip"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/endivefall/endivefall/messenger"
)

// BenchmarkLinks measures, over loopback, the memory of a link to an agent with both
// ends, and the time of one heartbeat and its reply.
func BenchmarkLinks(b *testing.B) {
	for _, n := range []int{100, 300, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			replies := make(chan struct{}, 1024)
			var connected atomic.Int64
			c := New(Config{
				ID: "entry", Incarnation: "1", Now: time.Now, Log: zap.NewNop(), FillWelcome: func(*messenger.Welcome) {},
				OnConnect: func(*Link) { connected.Add(1) }, OnDisconnect: func(*Link) {},
				Handle: func(l *Link, f messenger.Frame) {
					if f.Kind == messenger.KindHeartbeat {
						_ = l.TrySend(messenger.Frame{Kind: messenger.KindHeartbeatReply, HeartbeatReply: &messenger.HeartbeatReply{Echo: f.Heartbeat.Sent, Now: time.Now()}})
					}
				},
			})
			server := httptest.NewServer(c)
			defer server.Close()
			addr := netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			conns := make([]*messenger.Conn, n)
			for i := range conns {
				ws, _, err := messenger.Dial(context.Background(), addr, messenger.Hello{Version: messenger.Version, Role: messenger.RoleAgent, ID: fmt.Sprint(i), Incarnation: "1"})
				if err != nil {
					b.Fatal(err)
				}
				conns[i] = messenger.New(messenger.Config{Socket: ws, Handle: func(*messenger.Conn, messenger.Frame) { replies <- struct{}{} }})
				go func() { _ = conns[i].Run(context.Background()) }()
			}
			for connected.Load() < int64(n) {
				runtime.Gosched()
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			sent := 0
			for b.Loop() {
				_ = conns[sent%n].TrySend(messenger.Frame{Kind: messenger.KindHeartbeat, Heartbeat: &messenger.Heartbeat{Sent: time.Now()}})
				<-replies
				sent++
			}
			b.ReportMetric(float64(after.HeapAlloc+after.StackInuse-before.HeapAlloc-before.StackInuse)/float64(n), "B-held/link")
			for _, conn := range conns {
				conn.Close("done")
			}
			c.Close()
		})
	}
}
