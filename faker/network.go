package faker

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync"
)

// ErrPartitioned says that two processes can't reach each other.
var ErrPartitioned = errors.New("no path between the two")

// Network joins processes by in-memory connections that can be cut.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*memoryListener
	// cut has pairs of names without a path.
	cut   map[[2]string]bool
	conns map[*memoryConn]bool
}

// NewNetwork returns a network without cuts.
func NewNetwork() *Network {
	return &Network{listeners: map[string]*memoryListener{}, cut: map[[2]string]bool{}, conns: map[*memoryConn]bool{}}
}

func pairOf(a, b string) [2]string {
	if a > b {
		a, b = b, a
	}
	return [2]string{a, b}
}

// SetPartition takes the path between two names, or gives it back. Silent connections
// stay open and carry nothing more; else they are reset.
func (n *Network) SetPartition(a, b string, cut, silent bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	pair := pairOf(a, b)
	n.cut[pair] = cut
	if !cut {
		return
	}
	for c := range n.conns {
		if c.pair != pair {
			continue
		}
		if silent {
			c.mute()
			continue
		}
		_ = c.Conn.Close()
		delete(n.conns, c)
	}
}

// Listen opens a listener of a process at an address.
func (n *Network) Listen(name string, addr netip.AddrPort) net.Listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &memoryListener{network: n, name: name, addr: addr.String(), in: make(chan net.Conn), done: make(chan struct{})}
	n.listeners[addr.String()] = l
	return l
}

// Client returns an HTTP caller of a process.
func (n *Network) Client(name string) *http.Client {
	return &http.Client{Transport: &http.Transport{DialContext: func(ctx context.Context, _, addr string) (net.Conn, error) {
		return n.dial(ctx, name, addr)
	}}}
}

func (n *Network) dial(ctx context.Context, name, addr string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[addr]
	if l == nil || n.cut[pairOf(name, l.name)] {
		n.mu.Unlock()
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: ErrPartitioned}
	}
	here, there := net.Pipe()
	pair := pairOf(name, l.name)
	a, b := newMemoryConn(here, pair), newMemoryConn(there, pair)
	n.conns[a], n.conns[b] = true, true
	n.mu.Unlock()
	select {
	case l.in <- b:
		return a, nil
	case <-l.done:
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: ErrPartitioned}
	case <-ctx.Done():
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: ctx.Err()}
	}
}

// CloseConnections closes every connection of a process, as its end does.
func (n *Network) CloseConnections(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		if c.pair[0] == name || c.pair[1] == name {
			_ = c.Conn.Close()
			delete(n.conns, c)
		}
	}
}

// memoryConn is one end of a connection.
type memoryConn struct {
	net.Conn
	pair [2]string
	once sync.Once
	// muted is closed when the connection carries nothing more.
	muted chan struct{}
	// closed is closed with the connection.
	closed chan struct{}
	ending sync.Once
}

func newMemoryConn(c net.Conn, pair [2]string) *memoryConn {
	return &memoryConn{Conn: c, pair: pair, muted: make(chan struct{}), closed: make(chan struct{})}
}

func (c *memoryConn) mute() { c.once.Do(func() { close(c.muted) }) }

// Close closes the connection.
func (c *memoryConn) Close() error {
	c.ending.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// Write writes, or loses the bytes of a muted connection.
func (c *memoryConn) Write(p []byte) (int, error) {
	select {
	case <-c.muted:
		return len(p), nil
	default:
		return c.Conn.Write(p)
	}
}

// Read reads; a muted connection shows nothing until it is closed.
func (c *memoryConn) Read(p []byte) (int, error) {
	k, err := c.Conn.Read(p)
	select {
	case <-c.muted:
		<-c.closed
		return 0, net.ErrClosed
	default:
		return k, err
	}
}

// memoryListener takes connections in memory.
type memoryListener struct {
	network    *Network
	name, addr string
	in         chan net.Conn
	done       chan struct{}
	once       sync.Once
}

// Accept waits for a connection.
func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.in:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close closes the listener.
func (l *memoryListener) Close() error {
	l.once.Do(func() {
		close(l.done)
		l.network.mu.Lock()
		if l.network.listeners[l.addr] == l {
			delete(l.network.listeners, l.addr)
		}
		l.network.mu.Unlock()
	})
	return nil
}

// Addr returns the address.
func (l *memoryListener) Addr() net.Addr {
	return net.TCPAddrFromAddrPort(netip.MustParseAddrPort(l.addr))
}
