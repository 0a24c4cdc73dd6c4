package entry

import (
	"context"
	"net/http"
	"net/netip"

	"github.com/endivefall/endivefall/announcer"
	"github.com/endivefall/endivefall/connector"
	"github.com/endivefall/endivefall/messenger"
	"github.com/endivefall/endivefall/parser"
	"github.com/endivefall/endivefall/placer"
)

// peerRoutes serves the listener for agents and other entries.
func (e *Entry) peerRoutes() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(messenger.PeerPath, e.connector)
	return mux
}

// welcome tells a new peer what it should know.
func (e *Entry) welcome(w *messenger.Welcome) {
	w.Peers = e.addrs()
	w.NeedsDocuments = !e.publisher.Synced()
}

func (e *Entry) addrs() []netip.AddrPort {
	var addrs []netip.AddrPort
	for _, other := range e.announcer.Entries() {
		addrs = append(addrs, other.Peer)
	}
	return addrs
}

// join takes a new link: the peer gets every document first.
func (e *Entry) join(l *connector.Link) {
	for _, f := range e.curator.Frames() {
		_ = l.Post(f)
	}
	if l.Hello.Role != messenger.RoleAgent {
		return
	}
	e.dispatcher.AddTarget(&l.Hello)
	e.digest(l, &l.Hello.Heartbeat)
	if sch := e.scheduler.Load(); sch != nil {
		sch.AgentConnected(l.Hello.ID)
	}
}

// part takes the end of a link.
func (e *Entry) part(l *connector.Link) {
	if l.Hello.Role != messenger.RoleAgent {
		return
	}
	if now := e.connector.Link(l.Hello.ID); now == nil {
		e.dispatcher.RemoveTarget(&l.Hello)
		e.placer.Remove(l.Hello.ID)
	}
}

func (e *Entry) digest(l *connector.Link, b *messenger.Heartbeat) {
	h := &l.Hello
	e.placer.Update(placer.Agent{
		ID: h.ID, Domain: h.Domain, Rack: h.Rack, Region: h.Region,
		Total: b.Total, Free: b.Free, Evictable: b.Evictable, UnderPressure: b.UnderPressure, Draining: b.Draining,
	})
}

// handle takes a peer's frames, in their order. It never waits.
func (e *Entry) handle(l *connector.Link, f messenger.Frame) {
	switch f.Kind {
	case messenger.KindDocs:
		e.take(f.Docs)
	case messenger.KindHeartbeat:
		e.beat(l, f.Heartbeat)
	case messenger.KindClaimReply:
		e.dispatcher.HandleClaimReply(f)
	}
	sch := e.scheduler.Load()
	if sch == nil || l.Hello.Role != messenger.RoleAgent {
		return
	}
	switch f.Kind {
	case messenger.KindReport:
		sch.HandleReport(l.Hello.ID, *f.Report)
	case messenger.KindDecline:
		sch.HandleDecline(l.Hello.ID, *f.Grant)
	case messenger.KindInventoryReply:
		sch.HandleInventory(l.Hello.ID, l.Hello.Incarnation, *f.Inventory)
	}
}

// beat answers an agent's heartbeat with its deadlines moved.
func (e *Entry) beat(l *connector.Link, b *messenger.Heartbeat) {
	if l.Hello.Role != messenger.RoleAgent {
		return
	}
	e.dispatcher.UpdateTarget(&l.Hello, b)
	e.digest(l, b)
	pulse := &messenger.HeartbeatReply{Echo: b.Sent, Now: e.now()}
	if sch := e.scheduler.Load(); sch != nil && len(b.Shards) > 0 {
		pulse.Renewals = sch.ExtendLeases(l.Hello.ID, l.RemoteDeadline)
	}
	_ = l.Post(messenger.Frame{Kind: messenger.KindHeartbeatReply, HeartbeatReply: pulse})
}

// take takes documents that a peer has; what is newer goes on to the others.
func (e *Entry) take(docs *messenger.Docs) {
	for _, d := range docs.Docs {
		_, _ = e.curator.Put(d)
	}
}

// spread passes a document on to all peers.
func (e *Entry) spread(d messenger.Doc) {
	e.connector.Broadcast(messenger.Frame{Kind: messenger.KindDocs, Docs: &messenger.Docs{Docs: []messenger.Doc{d}}}, nil)
}

// entriesChanged keeps links to the other entries and tells the agents where
// entries are. Of two entries the one with the lesser id dials.
func (e *Entry) entriesChanged(entries []announcer.Entry) {
	want := map[netip.AddrPort]bool{}
	for _, other := range entries {
		if other.ID > e.cfg.Settings.ID {
			want[other.Peer] = true
		}
	}
	e.mu.Lock()
	for addr, cancel := range e.dialling {
		if !want[addr] {
			cancel()
			delete(e.dialling, addr)
		}
	}
	for addr := range want {
		if e.dialling[addr] != nil {
			continue
		}
		ctx, cancel := context.WithCancel(context.Background())
		e.dialling[addr] = cancel
		go e.connector.Dial(ctx, addr)
	}
	e.mu.Unlock()
	e.connector.Broadcast(messenger.Frame{Kind: messenger.KindPeers, Peers: &messenger.Peers{Addrs: e.addrs()}}, nil)
}

func (e *Entry) quota(team string) parser.Resources {
	if k := e.curator.Get(team); k != nil {
		return k.Parsed.Quota
	}
	return parser.Resources{}
}
