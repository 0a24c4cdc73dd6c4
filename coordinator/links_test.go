package coordinator_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivefall/endivefall/advancer"
	"github.com/endivefall/endivefall/messenger"
)

// An entry that is not the owner must close an agent's connection at once, so that
// the agent looks for the owner before its worker's lease expires.
func TestOnlyTheOwnerKeepsAgentConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		f := newFleet(ctx, t, 1, 3, 0)
		advancer.Sleep(3 * time.Second)
		for n := range 3 {
			e := f.entry(n)
			ws, _, err := messenger.DialWith(ctx, f.network.Client("agent-0"), e.addr, messenger.Hello{
				Version: messenger.Version, Role: messenger.RoleAgent, ID: "agent-0", Incarnation: "b", Started: time.Now(),
			})
			c.Assert(err, qt.IsNil)
			readCtx, cancelRead := context.WithTimeout(ctx, 300*time.Millisecond)
			_, err = messenger.ReadFrame(readCtx, ws)
			c.Check(err, qt.IsNotNil)
			c.Check(readCtx.Err() != nil, qt.Equals, e.isOwner(), qt.Commentf("%s, owner %v", e.name, e.isOwner()))
			cancelRead()
			_ = ws.CloseNow()
		}
		cancel()
		f.close()
		advancer.Sleep(time.Minute)
	})
}

// The owner ended the connection of an entry that asked for more states at once than the
// connection queues replies.
func TestTheOwnerAnswersABurstOfQueries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		const queries, bytesPerSecond = 1000, 200_000
		ctx, cancel := context.WithCancel(context.Background())
		f := newFleet(ctx, t, 1, 3, 0)
		advancer.Sleep(3 * time.Second)
		owner := f.owners()[0]
		ws, _, err := messenger.DialWith(ctx, f.network.Client("entry-9"), owner.addr, messenger.Hello{
			Version: messenger.Version, Role: messenger.RoleEntry, ID: "entry-9", Incarnation: "b", Started: time.Now(),
		})
		c.Assert(err, qt.IsNil)
		var answered atomic.Int64
		conn := messenger.New(messenger.Config{Socket: ws, Handle: func(_ *messenger.Conn, f messenger.Frame) {
			if f.Kind == messenger.KindStateReply {
				answered.Add(1)
			}
		}})
		go func() { _ = conn.Run(ctx) }()
		f.network.SetRate("entry-9", bytesPerSecond)
		for n := range queries {
			c.Assert(conn.Send(ctx, messenger.Frame{Kind: messenger.KindStateQuery, ID: uint64(n + 1), StateQuery: &messenger.StateQuery{}}), qt.IsNil)
		}
		advancer.Sleep(3 * time.Second)
		c.Check(answered.Load(), qt.Equals, int64(queries))
		cancel()
		f.close()
		advancer.Sleep(time.Minute)
	})
}
