package e2e

import (
	"net"
	"sync"
	"time"

	qt "github.com/frankban/quicktest"
)

// Ways of bytes through a link.
const (
	forth = iota
	back
)

// link is a loopback proxy before one address, with faults.
type link struct {
	addr, target string

	mu sync.Mutex
	// delay is what each piece of bytes waits.
	delay time.Duration
	// held bytes of a way wait for the fault's end, even if their sender has gone.
	held   [2]bool
	turned chan struct{} // closed when held changes
	conns  map[net.Conn]struct{}
	opened int
}

// newLink opens a proxy before target, at an address of its own.
func newLink(c *qt.C, target string) *link {
	l := &link{addr: freeAddr(c), target: target, turned: make(chan struct{}), conns: map[net.Conn]struct{}{}}
	listener, err := net.Listen("tcp", l.addr)
	c.Assert(err, qt.IsNil)
	go func() {
		for {
			from, err := listener.Accept()
			if err != nil {
				return // closed at the test's end
			}
			go l.carry(from)
		}
	}()
	c.Cleanup(func() {
		_ = listener.Close()
		l.set(0, [2]bool{})
		l.reset()
	})
	return l
}

// carry forwards a connection until either end closes it.
func (l *link) carry(from net.Conn) {
	to, err := net.Dial("tcp", l.target)
	if err != nil {
		_ = from.Close()
		return
	}
	l.mu.Lock()
	l.opened++
	l.conns[from], l.conns[to] = struct{}{}, struct{}{}
	l.mu.Unlock()
	var ways sync.WaitGroup
	ways.Go(func() { l.pass(to, from, forth) })
	ways.Go(func() { l.pass(from, to, back) })
	ways.Wait()
	l.mu.Lock()
	delete(l.conns, from)
	delete(l.conns, to)
	l.mu.Unlock()
}

// pass forwards the bytes of one way, and closes both ends after the last.
func (l *link) pass(to, from net.Conn, way int) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			l.wait(way)
			if _, wrong := to.Write(buf[:n]); wrong != nil {
				err = wrong
			}
		}
		if err != nil {
			_ = to.Close()
			_ = from.Close()
			return
		}
	}
}

// wait returns when bytes of the way may pass.
func (l *link) wait(way int) {
	l.mu.Lock()
	delay := l.delay
	l.mu.Unlock()
	if delay > 0 {
		<-time.After(delay)
	}
	for {
		l.mu.Lock()
		held, turned := l.held[way], l.turned
		l.mu.Unlock()
		if !held {
			return
		}
		<-turned
	}
}

// carried returns how many connections it has carried.
func (l *link) carried() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.opened
}

// set changes the fault; held bytes of a way that is free again go on, late.
func (l *link) set(delay time.Duration, held [2]bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delay, l.held = delay, held
	close(l.turned)
	l.turned = make(chan struct{})
}

// mend ends the fault, if there is one; reset loses the bytes that are held.
func (l *link) mend(reset bool) {
	l.mu.Lock()
	faulty := l.delay > 0 || l.held != [2]bool{}
	l.mu.Unlock()
	if faulty && reset {
		l.reset()
	}
	if faulty {
		l.set(0, [2]bool{})
	}
}

// reset resets every connection; bytes that are held are lost.
func (l *link) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for conn := range l.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // a connection that is closed already needs none
		}
		_ = conn.Close()
	}
}
