package agent

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/coder/websocket"
	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"github.com/endivefall/endivefall/advancer"
	"github.com/endivefall/endivefall/cataloger"
	"github.com/endivefall/endivefall/configurer"
	"github.com/endivefall/endivefall/faker"
	"github.com/endivefall/endivefall/messenger"
	"github.com/endivefall/endivefall/parser"
	"github.com/endivefall/endivefall/reserver"
	"github.com/endivefall/endivefall/runner"
)

// silentEntry accepts connections, sends one message on each, and then neither sends
// nor reads.
type silentEntry struct {
	message []byte
	dials   atomic.Int64
	// stopped ends its handlers.
	stopped chan struct{}
}

func (e *silentEntry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	ws, err := websocket.Accept(w, r, nil)
	if err != nil {
		return
	}
	defer func() { _ = ws.CloseNow() }()
	e.dials.Add(1)
	if _, err = messenger.ReadFrame(r.Context(), ws); err != nil {
		return
	}
	welcome := &messenger.Welcome{Version: messenger.Version, ID: "entry-0"}
	if err = messenger.WriteFrame(r.Context(), ws, messenger.Frame{Kind: messenger.KindWelcome, Welcome: welcome}); err != nil {
		return
	}
	if err = ws.Write(r.Context(), websocket.MessageBinary, e.message); err != nil {
		return
	}
	<-e.stopped
}

// A call that an agent read after it had closed the connection waited for its body
// without end, so the agent never dialed the entry again.
func TestLateCallStopsRedials(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		network := faker.NewNetwork()
		entryAddr, targetAddr := netip.MustParseAddrPort("10.0.0.1:7000"), netip.MustParseAddrPort("10.0.0.2:8000")
		target := &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { _, _ = io.ReadAll(r.Body) })}
		go func(l net.Listener) { _ = target.Serve(l) }(network.Listen("target", targetAddr))
		client := network.Client("agent")
		a := New(Config{
			Log:       zap.NewNop(),
			Settings:  configurer.Agent{ID: "agent-0", Team: "association", Service: "booking", Target: targetAddr},
			Transport: client.Transport.(*http.Transport),
			Dial: func(ctx context.Context, addr netip.AddrPort, h messenger.Hello) (*Socket, *messenger.Welcome, error) {
				return messenger.DialWith(ctx, client, addr, h)
			},
		})
		a.reserver = reserver.New(parser.Resources{Processors: 4})
		a.runner = runner.New(runner.Config{Reserver: a.reserver, Now: a.now, Send: a.send, Log: zap.NewNop()})
		// The document is applied once heartbeatLoop has closed the link.
		a.cataloger.OnChange(func(*cataloger.VersionedDocument) {
			a.mu.Lock()
			l := a.links["entry-0"]
			a.mu.Unlock()
			<-l.conn.Done()
			advancer.Sleep(time.Millisecond)
		})

		entry := &silentEntry{stopped: make(chan struct{})}
		for _, f := range []messenger.Frame{
			{Kind: messenger.KindDocs, Docs: &messenger.Docs{Docs: []messenger.Doc{{Team: "association", Version: 1, Source: []byte("team: association\n")}}}},
			{Kind: messenger.KindCall, ID: 1, Call: &messenger.Call{
				Team: "association", Service: "booking", Method: http.MethodPost, Path: "/slots", Length: -1, Deadline: a.now().Add(time.Minute),
			}},
		} {
			var err error
			entry.message, err = messenger.Append(entry.message, &f)
			c.Assert(err, qt.IsNil)
		}
		server := &http.Server{Handler: entry}
		go func(l net.Listener) { _ = server.Serve(l) }(network.Listen("entry-0", entryAddr))

		a.connect([]netip.AddrPort{entryAddr})
		advancer.Sleep(20 * time.Second)
		c.Assert(entry.dials.Load() > 1, qt.IsTrue, qt.Commentf("dialed %d times", entry.dials.Load()))

		a.disconnect()
		a.wg.Wait()
		close(entry.stopped)
		_, _ = server.Close(), target.Close()
		client.CloseIdleConnections()
		a.meter.Close()
	})
}
