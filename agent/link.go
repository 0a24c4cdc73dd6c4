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

// Socket is a connection to an entry before frames flow.
type Socket = websocket.Conn

// Times and counts of the links to entries.
const (
	// redial is the wait before an entry is dialled again.
	redial = 500 * time.Millisecond
	// silence is how long an entry may say nothing before it counts as gone.
	silence = 3 * time.Second
	// fanout is how many entries an agent connects to.
	fanout = 8
)

// link is a connection to one entry.
type link struct {
	id   string
	conn *messenger.Conn
	// heard is the local time, in nanoseconds, of the entry's last pulse; trip
	// is the round trip that it showed.
	heard, trip atomic.Int64
}

// connect keeps links to the given entries and to no others.
func (a *Agent) connect(addrs []netip.AddrPort) {
	want := choose(a.cfg.Settings.ID, addrs)
	a.mu.Lock()
	defer a.mu.Unlock()
	for addr, cancel := range a.dialling {
		if !want[addr] {
			cancel()
			delete(a.dialling, addr)
		}
	}
	for addr := range want {
		if a.dialling[addr] != nil {
			continue
		}
		ctx, cancel := context.WithCancel(context.Background())
		a.dialling[addr] = cancel
		a.duties.Go(func() { a.dialLoop(ctx, addr) })
	}
}

// choose returns the entries of an agent: all, or some by rendezvous hashing.
func choose(id string, addrs []netip.AddrPort) map[netip.AddrPort]bool {
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

// disconnect ends all links.
func (a *Agent) disconnect() {
	a.mu.Lock()
	for addr, cancel := range a.dialling {
		cancel()
		delete(a.dialling, addr)
	}
	links := a.all()
	a.mu.Unlock()
	for _, l := range links {
		l.conn.Close("agent is leaving")
	}
}

// all lists the links; the caller holds mu.
func (a *Agent) all() []*link {
	list := make([]*link, 0, len(a.links))
	for _, l := range a.links {
		list = append(list, l)
	}
	return list
}

// dialLoop keeps a link to one address until ctx ends.
func (a *Agent) dialLoop(ctx context.Context, addr netip.AddrPort) {
	for ctx.Err() == nil {
		if err := a.dial(ctx, addr); err != nil {
			a.cfg.Log.Debug("no link to an entry", zap.Stringer("addr", addr), zap.Error(err))
		}
		select {
		case <-ctx.Done():
		case <-time.After(redial):
		}
	}
}

// dial makes a link and serves it until it ends.
func (a *Agent) dial(ctx context.Context, addr netip.AddrPort) error {
	s := a.cfg.Settings
	ws, welcome, err := a.cfg.Dial(ctx, addr, messenger.Hello{
		Version: messenger.Version, Role: messenger.RoleAgent, ID: s.ID, Incarnation: a.born, Secret: s.Secret,
		Domain: s.Domain, Rack: s.Rack, Region: s.Region, Team: s.Team, Service: s.Service,
		Started: a.started, Heartbeat: a.beat(nil),
	})
	if err != nil {
		return err
	}
	l := &link{id: welcome.ID}
	l.heard.Store(a.now().UnixNano())
	l.conn = messenger.New(messenger.Config{
		Socket: ws,
		Handle: func(_ *messenger.Conn, f messenger.Frame) { a.handle(l, f) },
		Accept: a.serve,
	})
	// An entry that is reached by two addresses gets one link only: a grant
	// on an older one must not follow a survey on a newer one.
	if !a.enter(l) {
		l.conn.Close("this agent has a link already")
		return nil
	}
	defer a.exit(l)
	a.cfg.Log.Info("entry joined", zap.String("entry", l.id), zap.Stringer("addr", addr))
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	a.duties.Go(func() { a.beatLoop(ctx, l) })
	if welcome.NeedsDocuments {
		for _, f := range a.curator.Frames() {
			_ = l.conn.Post(f)
		}
	}
	if len(welcome.Peers) > 0 {
		a.learn(welcome.Peers)
	}
	err = l.conn.Run(ctx)
	a.cfg.Log.Info("entry parted", zap.String("entry", l.id), zap.Error(err))
	return err
}

func (a *Agent) enter(l *link) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.links[l.id] != nil {
		return false
	}
	a.links[l.id] = l
	return true
}

func (a *Agent) exit(l *link) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.links, l.id)
}

// learn takes the list of entries, and keeps those of the settings, which are
// the way back when the list was wrong.
func (a *Agent) learn(addrs []netip.AddrPort) {
	if a.leaving.Load() {
		return
	}
	a.connect(append(append([]netip.AddrPort(nil), addrs...), a.cfg.Settings.Entries...))
}

// beatLoop beats to an entry, and ends the link when it is silent.
func (a *Agent) beatLoop(ctx context.Context, l *link) {
	tick := time.NewTicker(beatEvery)
	defer tick.Stop()
	for {
		b := a.beat(l)
		_ = l.conn.Post(messenger.Frame{Kind: messenger.KindHeartbeat, Heartbeat: &b})
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if a.now().UnixNano()-l.heard.Load() > int64(silence) {
			l.conn.Close("silent for too long")
			return
		}
	}
}

// beat is the agent's heartbeat as of now.
func (a *Agent) beat(l *link) messenger.Heartbeat {
	b := messenger.Heartbeat{
		Total: a.commit.Total(), Load: a.load(),
		Draining: a.leaving.Load(), UnderPressure: a.tight(), Shards: a.runner.Shards(),
	}
	if a.runner.Ready() {
		b.Free, b.Evictable = a.commit.Free(), a.runner.Evictable()
	}
	if l != nil {
		b.RoundTrip = time.Duration(l.trip.Load())
	}
	b.Sent = a.now()
	return b
}

// beatAll beats to every entry at once.
func (a *Agent) beatAll() {
	a.mu.Lock()
	links := a.all()
	a.mu.Unlock()
	for _, l := range links {
		b := a.beat(l)
		_ = l.conn.Post(messenger.Frame{Kind: messenger.KindHeartbeat, Heartbeat: &b})
	}
}

// send sends a frame to an entry, if there is a link.
func (a *Agent) send(entry string, f messenger.Frame) {
	a.mu.Lock()
	l := a.links[entry]
	a.mu.Unlock()
	if l != nil {
		_ = l.conn.Post(f)
	}
}

// handle takes an entry's frames, in their order.
func (a *Agent) handle(l *link, f messenger.Frame) {
	switch f.Kind {
	case messenger.KindHeartbeatReply:
		now := a.now()
		l.heard.Store(now.UnixNano())
		l.trip.Store(int64(now.Sub(f.HeartbeatReply.Echo)))
		for _, e := range f.HeartbeatReply.Renewals {
			a.runner.Extend(l.id, e)
		}
	case messenger.KindDocs:
		for _, d := range f.Docs.Docs {
			if _, err := a.curator.Put(d); err != nil {
				a.cfg.Log.Error("document does not parse", zap.String("team", d.Team), zap.Error(err))
			}
		}
	case messenger.KindPeers:
		a.learn(f.Peers.Addrs)
	case messenger.KindGrant:
		a.runner.Grant(l.id, *f.Grant)
	case messenger.KindInventoryRequest:
		a.runner.Reconcile(l.id, *f.Inventory)
	case messenger.KindRevoke:
		a.runner.Revoke(*f.Grant)
	case messenger.KindReportAck:
		a.runner.Acknowledge(*f.Report)
	case messenger.KindClaim:
		got := a.claimer.Claim(*f.Claim)
		_ = l.conn.Post(messenger.Frame{Kind: messenger.KindClaimReply, ID: f.ID, ClaimReply: &got})
	case messenger.KindClaimResult:
		a.claimer.Record(*f.Claim)
	}
}
