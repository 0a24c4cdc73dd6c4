package e2e

import (
	"net"
	"sync"
	"time"

	qt "github.com/frankban/quicktest"
)

// Directions of a link: towards its target, and back.
const (
	forward = iota
	backward
)

// link is a TCP proxy on the loopback interface in front of one address. It can
// delay, block and reset connections.
type link struct {
	addr, target string

	mu sync.Mutex
	// delay is added to each read before it is forwarded.
	delay time.Duration
	// blocked is set for a direction whose bytes wait until the fault ends, even if
	// their sender has closed the connection.
	blocked [2]bool
	changed chan struct{} // closed when blocked changes
	conns   map[net.Conn]struct{}
	opened  int
	// wasReset is set if the connections were reset since the last call of disturbed.
	wasReset bool
}

// newLink starts a proxy in front of target, at a free address.
func newLink(c *qt.C, target string) *link {
	l := &link{addr: freeAddr(c), target: target, changed: make(chan struct{}), conns: map[net.Conn]struct{}{}}
	listener, err := net.Listen("tcp", l.addr)
	c.Assert(err, qt.IsNil)
	go func() {
		for {
			from, err := listener.Accept()
			if err != nil {
				return // closed at the end of the test
			}
			go l.proxyConn(from)
		}
	}()
	c.Cleanup(func() {
		_ = listener.Close()
		l.setFault(0, [2]bool{})
		l.reset()
	})
	return l
}

// proxyConn forwards a connection until either end closes it.
func (l *link) proxyConn(from net.Conn) {
	to, err := net.Dial("tcp", l.target)
	if err != nil {
		_ = from.Close()
		return
	}
	l.mu.Lock()
	l.opened++
	l.conns[from], l.conns[to] = struct{}{}, struct{}{}
	l.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { l.copyBytes(to, from, forward) })
	wg.Go(func() { l.copyBytes(from, to, backward) })
	wg.Wait()
	l.mu.Lock()
	delete(l.conns, from)
	delete(l.conns, to)
	l.mu.Unlock()
}

// copyBytes forwards bytes in one direction until either end fails or is closed,
// then closes both ends.
func (l *link) copyBytes(to, from net.Conn, dir int) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			l.waitUnblocked(dir)
			if _, writeErr := to.Write(buf[:n]); writeErr != nil {
				err = writeErr
			}
		}
		if err != nil {
			_ = to.Close()
			_ = from.Close()
			return
		}
	}
}

// waitUnblocked waits for the delay, and until the direction is not blocked.
func (l *link) waitUnblocked(dir int) {
	l.mu.Lock()
	delay := l.delay
	l.mu.Unlock()
	if delay > 0 {
		<-time.After(delay)
	}
	for {
		l.mu.Lock()
		blocked, changed := l.blocked[dir], l.changed
		l.mu.Unlock()
		if !blocked {
			return
		}
		<-changed
	}
}

// connCount returns how many connections the link has forwarded so far.
func (l *link) connCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.opened
}

// setFault replaces the fault. Bytes that waited in a direction that is no longer
// blocked are forwarded late.
func (l *link) setFault(delay time.Duration, blocked [2]bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delay, l.blocked = delay, blocked
	close(l.changed)
	l.changed = make(chan struct{})
}

// disturbed reports whether the link has a fault or was reset since the last call.
func (l *link) disturbed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	wasReset := l.wasReset
	l.wasReset = false
	return wasReset || l.delay > 0 || l.blocked != [2]bool{}
}

// clearFault ends the fault, if there is one. With reset, it first resets the
// connections, so that waiting bytes are lost.
func (l *link) clearFault(reset bool) {
	l.mu.Lock()
	faulty := l.delay > 0 || l.blocked != [2]bool{}
	l.mu.Unlock()
	if faulty && reset {
		l.reset()
	}
	if faulty {
		l.setFault(0, [2]bool{})
	}
}

// reset resets every connection; waiting bytes are lost.
func (l *link) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.wasReset = true
	for conn := range l.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // fails only if the connection is closed already
		}
		_ = conn.Close()
	}
}
