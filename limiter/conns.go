package limiter

import "container/list"

// Conns accounts for the connections of a listener. It is not safe for concurrent use.
type Conns struct {
	// capacity is the most connections that may be open.
	capacity int
	// open is the number of open connections.
	open int
	// waiting holds the connections that are idle or whose request is incomplete, in the order in
	// which they began to be so.
	waiting list.List
}

// NewConns returns an account of at most capacity connections.
func NewConns(capacity int) *Conns { return &Conns{capacity: capacity} }

// Open returns the number of open connections.
func (c *Conns) Open() int { return c.open }

// Add adds a connection that waits for its first request. If there are too many, it removes the
// one that waits for longest and returns it; ok is false if none waits, and the connection is
// then not added.
func (c *Conns) Add(conn *Conn) (victim *Conn, ok bool) {
	if c.open >= c.capacity {
		front := c.waiting.Front()
		if front == nil {
			return nil, false
		}
		victim, _ = front.Value.(*Conn)
		c.Remove(victim)
	}
	c.open++
	conn.open = true
	conn.position = c.waiting.PushBack(conn)
	return victim, true
}

// Wait notes that a connection begins to wait for its peer: for a request, or for its rest.
func (c *Conns) Wait(conn *Conn) {
	if !conn.open {
		return
	}
	c.Serve(conn)
	conn.position = c.waiting.PushBack(conn)
}

// Serve notes that the connection has a complete request, or a peer that is known. It is not
// closed to make room until it waits again. It returns false if the connection was removed before.
func (c *Conns) Serve(conn *Conn) bool {
	if conn.position != nil {
		c.waiting.Remove(conn.position)
		conn.position = nil
	}
	return conn.open
}

// Remove removes a connection. Calls after the first have no effect.
func (c *Conns) Remove(conn *Conn) {
	c.Serve(conn)
	if conn.open {
		conn.open = false
		c.open--
	}
}
