package agent

import (
	"context"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/coder/websocket"
	"github.com/dgryski/go-rendezvous"
	"go.uber.org/zap"

	"github.com/endivefall/endivefall/messenger"
)

// Socket is the WebSocket of a connection to an entry.
type Socket = websocket.Conn

// Timeouts and limits of the links to entries.
const (
	// redialDelay is the delay before an entry is dialed again.
	redialDelay = 500 * time.Millisecond
	// entryTimeout is how long an entry may send no heartbeat reply before its
	// link is closed.
	entryTimeout = 3 * time.Second
	// fanout is the number of entries that an agent connects to at most.
	fanout = 8
)

// link is a connection to one entry.
type link struct {
	id   string
	conn *messenger.Conn
	// lastReply is the local time of the entry's last heartbeat reply, in ns since
	// 1970; roundTrip is the round-trip time measured by that reply, in ns.
	lastReply, roundTrip atomic.Int64
}

// connect maintains links to the entries chosen from addrs and closes all others.
func (a *Agent) connect(addrs []netip.AddrPort) {
	want := chooseEntries(a.cfg.Settings.ID, addrs)
	a.mu.Lock()
	defer a.mu.Unlock()
	for addr, cancel := range a.dialing {
		if !want[addr] {
			cancel()
			delete(a.dialing, addr)
		}
	}
	for addr := range want {
		if a.dialing[addr] != nil {
			continue
		}
		ctx, cancel := context.WithCancel(context.Background())
		a.dialing[addr] = cancel
		a.wg.Go(func() { a.dialLoop(ctx, addr) })
	}
}

// chooseEntries returns the entries that an agent connects to: all, or fanout of
// them by rendezvous hashing.
func chooseEntries(id string, addrs []netip.AddrPort) map[netip.AddrPort]bool {
	want := map[netip.AddrPort]bool{}
	byName := map[string]netip.AddrPort{}
	var names []string
	for _, addr := range addrs {
		if _, ok := byName[addr.String()]; !ok {
			byName[addr.String()] = addr
			names = append(names, addr.String())
		}
	}
	for len(want) < fanout && len(names) > 0 {
		pick := rendezvous.New(names, xxhash.Sum64String).Lookup(id)
		want[byName[pick]] = true
		for i, name := range names {
			if name == pick {
				names = append(names[:i], names[i+1:]...)
				break
			}
		}
	}
	return want
}

// disconnect closes all links and stops dialing.
func (a *Agent) disconnect() {
	a.mu.Lock()
	for addr, cancel := range a.dialing {
		cancel()
		delete(a.dialing, addr)
	}
	links := a.allLinks()
	a.mu.Unlock()
	for _, l := range links {
		l.conn.Close("agent is leaving")
	}
}

// allLinks returns the links; the caller holds mu.
func (a *Agent) allLinks() []*link {
	list := make([]*link, 0, len(a.links))
	for _, l := range a.links {
		list = append(list, l)
	}
	return list
}

// dialLoop maintains a link to one address until ctx ends.
func (a *Agent) dialLoop(ctx context.Context, addr netip.AddrPort) {
	for ctx.Err() == nil {
		if err := a.dial(ctx, addr); err != nil {
			a.cfg.Log.Debug("link to an entry failed", zap.Stringer("addr", addr), zap.Error(err))
		}
		select {
		case <-ctx.Done():
		case <-time.After(redialDelay):
		}
	}
}

// dial opens a link and serves it until it closes.
func (a *Agent) dial(ctx context.Context, addr netip.AddrPort) error {
	s := a.cfg.Settings
	ws, welcome, err := a.cfg.Dial(ctx, addr, messenger.Hello{
		Version: messenger.Version, Role: messenger.RoleAgent, ID: s.ID, Incarnation: a.incarnation, Secret: s.Secret,
		Domain: s.Domain, Rack: s.Rack, Region: s.Region, Team: s.Team, Service: s.Service,
		Started: a.started, Heartbeat: a.heartbeat(nil),
	})
	if err != nil {
		return err
	}
	l := &link{id: welcome.ID}
	l.lastReply.Store(a.now().UnixNano())
	l.conn = messenger.New(messenger.Config{
		Socket: ws,
		Handle: func(_ *messenger.Conn, f messenger.Frame) { a.handle(l, f) },
		Accept: a.serve,
	})
	// An entry that is reachable at two addresses gets one link only: with two, a
	// grant on the older link could arrive after an inventory request on the newer.
	if !a.addLink(l) {
		l.conn.Close("this agent has a link already")
		return nil
	}
	defer a.removeLink(l)
	a.cfg.Log.Info("connected to an entry", zap.String("entry", l.id), zap.Stringer("addr", addr))
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	a.wg.Go(func() { a.heartbeatLoop(ctx, l) })
	if welcome.NeedsDocuments {
		for _, f := range a.cataloger.Frames() {
			_ = l.conn.TrySend(f)
		}
	}
	if len(welcome.Peers) > 0 {
		a.updateEntries(welcome.Peers)
	}
	err = l.conn.Run(ctx)
	a.cfg.Log.Info("disconnected from an entry", zap.String("entry", l.id), zap.Error(err))
	return err
}

func (a *Agent) addLink(l *link) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.links[l.id] != nil {
		return false
	}
	a.links[l.id] = l
	return true
}

func (a *Agent) removeLink(l *link) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.links, l.id)
}

// updateEntries connects to the entries in a received list and to those in the
// settings, so that the agent can reconnect if the list was wrong.
func (a *Agent) updateEntries(addrs []netip.AddrPort) {
	if a.draining.Load() {
		return
	}
	a.connect(append(append([]netip.AddrPort(nil), addrs...), a.cfg.Settings.Entries...))
}

// heartbeatLoop sends heartbeats to an entry, and closes the link if no reply
// arrives within entryTimeout.
func (a *Agent) heartbeatLoop(ctx context.Context, l *link) {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		heartbeat := a.heartbeat(l)
		_ = l.conn.TrySend(messenger.Frame{Kind: messenger.KindHeartbeat, Heartbeat: &heartbeat})
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if a.now().UnixNano()-l.lastReply.Load() > int64(entryTimeout) {
			l.conn.Close("silent for too long")
			return
		}
	}
}

// heartbeat returns the agent's current heartbeat; l is nil before a link is open.
func (a *Agent) heartbeat(l *link) messenger.Heartbeat {
	heartbeat := messenger.Heartbeat{
		Total: a.reserver.Total(), Load: a.load(),
		Draining: a.draining.Load(), UnderPressure: a.underPressure(), Shards: a.runner.Shards(),
	}
	if a.runner.Ready() {
		heartbeat.Free, heartbeat.Evictable = a.reserver.Free(), a.runner.Evictable()
	}
	if l != nil {
		heartbeat.RoundTrip = time.Duration(l.roundTrip.Load())
	}
	heartbeat.Sent = a.now()
	return heartbeat
}

// sendHeartbeats sends a heartbeat to every connected entry at once.
func (a *Agent) sendHeartbeats() {
	a.mu.Lock()
	links := a.allLinks()
	a.mu.Unlock()
	for _, l := range links {
		heartbeat := a.heartbeat(l)
		_ = l.conn.TrySend(messenger.Frame{Kind: messenger.KindHeartbeat, Heartbeat: &heartbeat})
	}
}

// send sends a frame to an entry; without a link to it the frame is dropped.
func (a *Agent) send(entry string, f messenger.Frame) {
	a.mu.Lock()
	l := a.links[entry]
	a.mu.Unlock()
	if l != nil {
		_ = l.conn.TrySend(f)
	}
}

// handle processes the frames of an entry, in the order of their arrival.
func (a *Agent) handle(l *link, f messenger.Frame) {
	switch f.Kind {
	case messenger.KindHeartbeatReply:
		now := a.now()
		l.lastReply.Store(now.UnixNano())
		l.roundTrip.Store(int64(now.Sub(f.HeartbeatReply.Echo)))
		for _, renewal := range f.HeartbeatReply.Renewals {
			a.runner.Extend(l.id, renewal)
		}
	case messenger.KindDocs:
		for _, doc := range f.Docs.Docs {
			if _, err := a.cataloger.Put(doc); err != nil {
				a.cfg.Log.Error("parsing a document failed", zap.String("team", doc.Team), zap.Error(err))
			}
		}
	case messenger.KindPeers:
		a.updateEntries(f.Peers.Addrs)
	case messenger.KindGrant:
		a.runner.Grant(l.id, *f.Grant)
	case messenger.KindInventoryRequest:
		a.runner.Reconcile(l.id, *f.Inventory)
	case messenger.KindRevoke:
		a.runner.Revoke(*f.Grant)
	case messenger.KindReportAck:
		a.runner.Acknowledge(*f.Report)
	case messenger.KindClaim:
		reply := a.claimer.Claim(*f.Claim)
		_ = l.conn.TrySend(messenger.Frame{Kind: messenger.KindClaimReply, ID: f.ID, ClaimReply: &reply})
	case messenger.KindClaimResult:
		a.claimer.Record(*f.Claim)
	}
}
