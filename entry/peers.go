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

// peerRoutes returns the handler of the listener for agents and other entries.
func (e *Entry) peerRoutes() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(messenger.PeerPath, e.connector)
	return mux
}

// fillWelcome fills the welcome of a new peer: the addresses of the entries, and
// whether this entry needs documents.
func (e *Entry) fillWelcome(w *messenger.Welcome) {
	w.Peers = e.peerAddrs()
	w.NeedsDocuments = !e.publisher.Synced()
}

func (e *Entry) peerAddrs() []netip.AddrPort {
	var addrs []netip.AddrPort
	for _, other := range e.announcer.Entries() {
		addrs = append(addrs, other.Peer)
	}
	return addrs
}

// peerConnected handles a new link. The peer is sent every document first.
func (e *Entry) peerConnected(l *connector.Link) {
	for _, f := range e.cataloger.Frames() {
		_ = l.TrySend(f)
	}
	if l.Hello.Role != messenger.RoleAgent {
		return
	}
	e.dispatcher.AddTarget(&l.Hello)
	e.updatePlacer(l, &l.Hello.Heartbeat)
	if sch := e.scheduler.Load(); sch != nil {
		sch.AgentConnected(l.Hello.ID)
	}
}

// peerDisconnected handles the end of a link; an agent that has reconnected stays
// registered.
func (e *Entry) peerDisconnected(l *connector.Link) {
	if l.Hello.Role != messenger.RoleAgent {
		return
	}
	if current := e.connector.Link(l.Hello.ID); current == nil {
		e.dispatcher.RemoveTarget(&l.Hello)
		e.placer.Remove(l.Hello.ID)
	}
}

func (e *Entry) updatePlacer(l *connector.Link, heartbeat *messenger.Heartbeat) {
	hello := &l.Hello
	e.placer.Update(placer.Agent{
		ID: hello.ID, Domain: hello.Domain, Rack: hello.Rack, Region: hello.Region,
		Total: heartbeat.Total, Free: heartbeat.Free, Evictable: heartbeat.Evictable, UnderPressure: heartbeat.UnderPressure, Draining: heartbeat.Draining,
	})
}

// handle processes the frames of a peer, in the order of their arrival. It never
// blocks.
func (e *Entry) handle(l *connector.Link, f messenger.Frame) {
	switch f.Kind {
	case messenger.KindDocs:
		e.putDocuments(f.Docs)
	case messenger.KindHeartbeat:
		e.handleHeartbeat(l, f.Heartbeat)
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

// handleHeartbeat updates the state of an agent and sends it a reply that extends
// the deadlines of its grants.
func (e *Entry) handleHeartbeat(l *connector.Link, heartbeat *messenger.Heartbeat) {
	if l.Hello.Role != messenger.RoleAgent {
		return
	}
	e.dispatcher.UpdateTarget(&l.Hello, heartbeat)
	e.updatePlacer(l, heartbeat)
	reply := &messenger.HeartbeatReply{Echo: heartbeat.Sent, Now: e.now()}
	if sch := e.scheduler.Load(); sch != nil && len(heartbeat.Shards) > 0 {
		reply.Renewals = sch.ExtendLeases(l.Hello.ID, heartbeat.Shards, l.RemoteDeadline)
	}
	_ = l.TrySend(messenger.Frame{Kind: messenger.KindHeartbeatReply, HeartbeatReply: reply})
}

// putDocuments stores the documents of a peer. The cataloger calls broadcastDocument
// for each one that is newer than the stored one.
func (e *Entry) putDocuments(docs *messenger.Docs) {
	for _, doc := range docs.Docs {
		_, _ = e.cataloger.Put(doc)
	}
}

// broadcastDocument sends a document to all peers.
func (e *Entry) broadcastDocument(doc messenger.Doc) {
	e.connector.Broadcast(messenger.Frame{Kind: messenger.KindDocs, Docs: &messenger.Docs{Docs: []messenger.Doc{doc}}}, nil)
}

// entriesChanged maintains links to the other entries and sends their addresses
// to the peers. Of two entries, the one with the smaller id dials.
func (e *Entry) entriesChanged(entries []announcer.Entry) {
	want := map[netip.AddrPort]bool{}
	for _, other := range entries {
		if other.ID > e.cfg.Settings.ID {
			want[other.Peer] = true
		}
	}
	e.mu.Lock()
	for addr, cancel := range e.dialing {
		if !want[addr] {
			cancel()
			delete(e.dialing, addr)
		}
	}
	for addr := range want {
		if e.dialing[addr] != nil {
			continue
		}
		ctx, cancel := context.WithCancel(context.Background())
		e.dialing[addr] = cancel
		go e.connector.Dial(ctx, addr)
	}
	e.mu.Unlock()
	e.connector.Broadcast(messenger.Frame{Kind: messenger.KindPeers, Peers: &messenger.Peers{Addrs: e.peerAddrs()}}, nil)
}

func (e *Entry) quota(team string) parser.Resources {
	if doc := e.cataloger.Get(team); doc != nil {
		return doc.Parsed.Quota
	}
	return parser.Resources{}
}
