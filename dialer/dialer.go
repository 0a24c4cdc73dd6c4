// Package dialer opens TCP connections that notice a peer that has gone silent.
package dialer

import (
	"context"
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Bounds of a connection.
const (
	// connectTimeout bounds opening one: several round trips within a region.
	connectTimeout = 400 * time.Millisecond
	// idleTimeout is how long an unused connection is kept.
	idleTimeout = 20 * time.Second
)

// Dialer opens connections whose unacknowledged bytes end them.
type Dialer struct {
	net net.Dialer
}

// New returns a Dialer; a connection whose bytes stay unacknowledged for longer
// than silence is ended by the kernel.
func New(silence time.Duration) *Dialer {
	return &Dialer{net: net.Dialer{
		Timeout:         connectTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: silence, Interval: silence, Count: 2},
		Control: func(_, _ string, c syscall.RawConn) error {
			var failed error
			err := c.Control(func(fd uintptr) {
				failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silence.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return failed
		},
	}}
}

// Dial opens a connection.
func (d *Dialer) Dial(ctx context.Context, network, addr string) (net.Conn, error) {
	return d.net.DialContext(ctx, network, addr)
}

// Client returns an HTTP caller with at most conns connections to a host. The
// caller bounds each call by its context; a connection whose call ran out of
// time is not used again.
func (d *Dialer) Client(conns int) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext: d.Dial, MaxConnsPerHost: conns, MaxIdleConnsPerHost: conns,
		IdleConnTimeout: idleTimeout, DisableCompression: true,
	}}
}
