package limiter

import (
	"container/list"
	"net"
	"sync/atomic"
	"time"
)

// Conn is a connection whose place in Conns is known.
type Conn struct {
	net.Conn
	group *Group
	// open is set while the connection counts; guarded by Group.mu, like position.
	open bool
	// position is the place in Conns.waiting; nil while the connection is served.
	position *list.Element
	// hijacked is set once the connection does not belong to the HTTP server any more.
	hijacked atomic.Bool
}

// Write writes with a deadline that follows from the number of bytes, so that a peer that reads
// nothing does not hold the connection. Time without anything to write does not count.
func (c *Conn) Write(p []byte) (int, error) {
	if !c.hijacked.Load() {
		if err := c.SetWriteDeadline(time.Now().Add(writeTimeout + transferTime(len(p), c.group.cfg.MinRate))); err != nil {
			return 0, err
		}
	}
	return c.Conn.Write(p)
}

// CloseWrite shuts down the writing side, so that the peer reads the whole response before the
// connection is reset for what it has sent and nobody has read.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close closes the connection and ends its account.
func (c *Conn) Close() error {
	c.group.remove(c)
	return c.Conn.Close()
}
