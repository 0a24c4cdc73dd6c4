package main

import (
	"net"
	"sync"
	"time"
)

// proxy passes connections to one address on. While it holds, it keeps the bytes of both directions, and those of
// new connections.
type proxy struct {
	listener net.Listener
	to       string
	mu       sync.Mutex
	held     chan struct{} // closed when the hold is over; nil while bytes pass
	conns    map[net.Conn]bool
}

func newProxy(to string) *proxy {
	l, err := net.Listen("tcp", anyPort)
	if err != nil {
		panic(err)
	}
	p := &proxy{listener: l, to: to, conns: map[net.Conn]bool{}}
	go p.serve()
	return p
}

func (p *proxy) addr() string { return p.listener.Addr().String() }

func (p *proxy) serve() {
	for {
		in, err := p.listener.Accept()
		if err != nil {
			return
		}
		go func() {
			p.wait()
			out, err := net.DialTimeout("tcp", p.to, time.Second)
			if err != nil {
				_ = in.Close()
				return
			}
			p.mu.Lock()
			p.conns[in], p.conns[out] = true, true
			p.mu.Unlock()
			go p.pass(in, out)
			p.pass(out, in)
		}()
	}
}

// wait returns once bytes pass.
func (p *proxy) wait() {
	p.mu.Lock()
	held := p.held
	p.mu.Unlock()
	if held != nil {
		<-held
	}
}

func (p *proxy) pass(from, to net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		p.wait()
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	_ = from.Close()
	_ = to.Close()
	p.mu.Lock()
	delete(p.conns, from)
	delete(p.conns, to)
	p.mu.Unlock()
}

// hold keeps all bytes until the returned function is called.
func (p *proxy) hold() func() {
	held := make(chan struct{})
	p.mu.Lock()
	p.held = held
	p.mu.Unlock()
	return func() {
		p.mu.Lock()
		p.held = nil
		p.mu.Unlock()
		close(held)
	}
}

// reset ends all connections.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		_ = c.Close()
	}
}
