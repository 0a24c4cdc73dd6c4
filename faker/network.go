package faker

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

// ErrPartitioned is returned for a connection between processes that can't reach
// each other, or to an address without a listener.
var ErrPartitioned = errors.New("no network path between the processes")

// Network connects processes in memory and can partition them.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*memoryListener
	// partitions holds the separated pairs of process names.
	partitions map[[2]string]bool
	// frozen holds the processes that neither send nor receive.
	frozen map[string]bool
	// links holds the links of processes whose rate is limited.
	links map[string]*link
	conns map[*memoryConn]bool
}

// NewNetwork returns a network without partitions.
func NewNetwork() *Network {
	return &Network{listeners: map[string]*memoryListener{}, partitions: map[[2]string]bool{}, frozen: map[string]bool{}, links: map[string]*link{}, conns: map[*memoryConn]bool{}}
}

func pairOf(a, b string) [2]string {
	if a > b {
		a, b = b, a
	}
	return [2]string{a, b}
}

// SetPartition starts or ends a partition between two processes. If silent, their
// connections stay open but drop all data; otherwise they are closed.
func (n *Network) SetPartition(a, b string, partitioned, silent bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	pair := pairOf(a, b)
	n.partitions[pair] = partitioned
	if !partitioned {
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

// SetFrozen starts or ends a freeze of a process. Its connections stay open but drop
// all data, until they are closed at the end. Its kernel still accepts connections, on
// which it sends nothing.
func (n *Network) SetFrozen(name string, frozen bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.frozen[name] = frozen
	for c := range n.conns {
		switch {
		case c.pair[0] != name && c.pair[1] != name:
		case frozen:
			c.mute()
		default:
			_ = c.Close()
			delete(n.conns, c)
		}
	}
}

// SetRate limits what all connections of a process carry together, in bytes per second.
func (n *Network) SetRate(name string, bytesPerSecond float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.links[name] = &link{bytesPerSecond: bytesPerSecond}
}

// transmit waits until the links of both processes have carried size bytes, or closed is
// closed.
func (n *Network) transmit(pair [2]string, size int, closed <-chan struct{}) {
	n.mu.Lock()
	links := []*link{n.links[pair[0]], n.links[pair[1]]}
	n.mu.Unlock()
	for _, l := range links {
		if l != nil {
			l.transmit(size, closed)
		}
	}
}

// Listen opens a process's listener at an address.
func (n *Network) Listen(name string, addr netip.AddrPort) net.Listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &memoryListener{network: n, name: name, addr: addr.String(), incoming: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[addr.String()] = l
	return l
}

// idleTimeout is how long an unused HTTP connection is kept.
const idleTimeout = 20 * time.Second

// Client returns an HTTP client that dials as the named process.
func (n *Network) Client(name string) *http.Client {
	return &http.Client{Transport: &http.Transport{IdleConnTimeout: idleTimeout, DialContext: func(ctx context.Context, _, addr string) (net.Conn, error) {
		return n.dial(ctx, name, addr)
	}}}
}

func (n *Network) dial(ctx context.Context, name, addr string) (net.Conn, error) {
	n.mu.Lock()
	listener := n.listeners[addr]
	if listener == nil || n.partitions[pairOf(name, listener.name)] {
		n.mu.Unlock()
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: ErrPartitioned}
	}
	local, remote := net.Pipe()
	pair := pairOf(name, listener.name)
	clientConn, serverConn := newMemoryConn(n, local, pair), newMemoryConn(n, remote, pair)
	n.conns[clientConn], n.conns[serverConn] = true, true
	if n.frozen[name] || n.frozen[listener.name] {
		clientConn.mute()
		n.mu.Unlock()
		return clientConn, nil
	}
	n.mu.Unlock()
	select {
	case listener.incoming <- serverConn:
		return clientConn, nil
	case <-listener.closed:
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: ErrPartitioned}
	case <-ctx.Done():
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: ctx.Err()}
	}
}

// CloseConnections closes every connection of a process, as its exit would.
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
	network  *Network
	pair     [2]string
	muteOnce sync.Once
	// muted is closed once the connection drops all data.
	muted chan struct{}
	// closed is closed by Close, but not when the network closes the connection.
	closed    chan struct{}
	closeOnce sync.Once
}

func newMemoryConn(n *Network, c net.Conn, pair [2]string) *memoryConn {
	return &memoryConn{Conn: c, network: n, pair: pair, muted: make(chan struct{}), closed: make(chan struct{})}
}

func (c *memoryConn) mute() { c.muteOnce.Do(func() { close(c.muted) }) }

// Close closes the connection.
func (c *memoryConn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// Write writes to the peer; on a muted connection it drops the bytes.
func (c *memoryConn) Write(p []byte) (int, error) {
	written := 0
	for {
		select {
		case <-c.muted:
			return len(p), nil
		default:
		}
		chunk := p[written:min(written+maxPacketBytes, len(p))]
		c.network.transmit(c.pair, len(chunk), c.closed)
		n, err := c.Conn.Write(chunk)
		written += n
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

// Read reads from the peer; on a muted connection it blocks until Close.
func (c *memoryConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	select {
	case <-c.muted:
		<-c.closed
		return 0, net.ErrClosed
	default:
		return n, err
	}
}

// memoryListener accepts in-memory connections.
type memoryListener struct {
	network    *Network
	name, addr string
	incoming   chan net.Conn
	closed     chan struct{}
	closeOnce  sync.Once
}

// Accept waits for a connection.
func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.incoming:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close closes the listener.
func (l *memoryListener) Close() error {
	l.closeOnce.Do(func() {
		close(l.closed)
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
