// Package dialer opens TCP connections that detect an unresponsive peer.
package dialer

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Timeouts of a connection.
const (
	// connectTimeout bounds connecting: several round trips within a region.
	connectTimeout = 400 * time.Millisecond
	// idleTimeout is how long an unused connection is kept.
	idleTimeout = 20 * time.Second
)

// Dialer opens connections that end when sent bytes stay unacknowledged.
type Dialer struct {
	netDialer net.Dialer
	// sent and received count the bytes of all connections.
	sent, received atomic.Int64
}

// New returns a Dialer. The kernel ends a connection whose bytes stay
// unacknowledged for longer than ackTimeout. Keep-alive probes detect a lost peer on a
// connection on which nothing is sent.
func New(ackTimeout time.Duration) *Dialer {
	return &Dialer{netDialer: net.Dialer{
		Timeout:         connectTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: ackTimeout, Interval: ackTimeout, Count: 2},
		Control: func(_, _ string, c syscall.RawConn) error {
			var sockErr error
			err := c.Control(func(fd uintptr) {
				sockErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(ackTimeout.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return sockErr
		},
	}}
}

// Dial connects to addr.
func (d *Dialer) Dial(ctx context.Context, network, addr string) (net.Conn, error) {
	conn, err := d.netDialer.DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	return &countedConn{conn, d}, nil
}

// TakeBytes returns the bytes sent and received since the last call.
func (d *Dialer) TakeBytes() (sent, received int64) {
	return d.sent.Swap(0), d.received.Swap(0)
}

// countedConn counts the bytes of a connection.
type countedConn struct {
	net.Conn
	dialer *Dialer
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.dialer.received.Add(int64(n))
	return n, err
}

func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.dialer.sent.Add(int64(n))
	return n, err
}

// Client returns an HTTP client with at most conns connections per host. Each
// request must be bounded by its context. A connection whose request timed out is
// not reused.
func (d *Dialer) Client(conns int) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext: d.Dial, MaxConnsPerHost: conns, MaxIdleConnsPerHost: conns,
		IdleConnTimeout: idleTimeout, DisableCompression: true,
	}}
}
