package limiter

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestLongestWaitingConnectionGivesWay guards against a crowd of idle connections keeping others
// from being accepted.
func TestLongestWaitingConnectionGivesWay(t *testing.T) {
	c := qt.New(t)
	conns := NewConns(2)
	first, second, third := &Conn{}, &Conn{}, &Conn{}
	conns.Add(first)
	conns.Add(second)
	conns.Wait(first) // a new request begins
	victim, ok := conns.Add(third)
	c.Assert(ok, qt.IsTrue)
	c.Assert(victim, qt.Equals, second)
	c.Assert(conns.Open(), qt.Equals, 2)
}

// TestServedConnectionsAreSpared checks that a request in flight is not cut off for a new one.
func TestServedConnectionsAreSpared(t *testing.T) {
	c := qt.New(t)
	conns := NewConns(1)
	served, late := &Conn{}, &Conn{}
	conns.Add(served)
	conns.Serve(served)
	victim, ok := conns.Add(late)
	c.Assert(ok, qt.IsFalse)
	c.Assert(victim, qt.IsNil)
	conns.Wait(served)
	victim, ok = conns.Add(late)
	c.Assert(ok, qt.IsTrue)
	c.Assert(victim, qt.Equals, served)
}

func TestRemovedConnectionCountsOnce(t *testing.T) {
	c := qt.New(t)
	conns := NewConns(2)
	conn := &Conn{}
	conns.Add(conn)
	conns.Remove(conn)
	conns.Remove(conn)
	conns.Wait(conn)
	c.Assert(conns.Open(), qt.Equals, 0)
	c.Assert(conns.waiting.Len(), qt.Equals, 0)
}
