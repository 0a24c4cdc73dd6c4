package messenger

import (
	"context"
	"testing"

	"github.com/coder/websocket"
	qt "github.com/frankban/quicktest"
)

func TestTrafficCountsFramesByKind(t *testing.T) {
	c := qt.New(t)
	traffic := &Traffic{}
	handled := make(chan struct{})
	peer, _ := pair(t, Config{Traffic: traffic, Handle: func(conn *Conn, f Frame) {
		c.Check(conn.TrySend(Frame{Kind: KindStateReply, ID: f.ID, StateReply: &StateReply{State: "running"}}), qt.IsNil)
		close(handled)
	}})
	query, err := Encode(Frame{Kind: KindStateQuery, ID: 1, StateQuery: &StateQuery{Job: "job"}})
	c.Assert(err, qt.IsNil)
	c.Assert(peer.Write(context.Background(), websocket.MessageBinary, query), qt.IsNil)
	<-handled
	_, reply, err := peer.Read(context.Background())
	c.Assert(err, qt.IsNil)
	kinds, _ := traffic.Take()
	c.Check(kinds, qt.DeepEquals, []KindBytes{{Kind: KindStateQuery, Received: int64(len(query))}, {Kind: KindStateReply, Sent: int64(len(reply))}})
	kinds, _ = traffic.Take()
	c.Check(kinds, qt.HasLen, 0)
	var none *Traffic
	none.addSent(KindStateQuery, 1) // a connection without a Traffic
}
