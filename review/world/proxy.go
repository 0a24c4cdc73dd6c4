package main

import (
	"net"
	"sync"
	"sync/atomic"
)

// proxy forwards connections to a target. Open ones can go silent for good.
type proxy struct {
	addr, target string
	mu           sync.Mutex
	silent       []*atomic.Bool
}

// newProxy starts a proxy at a free address.
func newProxy(target string) *proxy {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	p := &proxy{addr: l.Addr().String(), target: target}
	go func() {
		for {
			from, err := l.Accept()
			if err != nil {
				return
			}
			go p.forward(from)
		}
	}()
	return p
}

func (p *proxy) forward(from net.Conn) {
	to, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = from.Close()
		return
	}
	silent := &atomic.Bool{}
	p.mu.Lock()
	p.silent = append(p.silent, silent)
	p.mu.Unlock()
	pump := func(dst, src net.Conn) {
		buf := make([]byte, 32<<10)
		for {
			n, err := src.Read(buf)
			if n > 0 && !silent.Load() {
				if _, writeErr := dst.Write(buf[:n]); writeErr != nil {
					err = writeErr
				}
			}
			if err != nil {
				if !silent.Load() { // the other end of a silent connection hears nothing of it
					_ = dst.Close()
				}
				_ = src.Close()
				return
			}
		}
	}
	go pump(to, from)
	pump(from, to)
}

// silence makes the open connections silent; new ones work.
func (p *proxy) silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.silent {
		s.Store(true)
	}
	p.silent = nil
}
