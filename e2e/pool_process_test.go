package e2e

import (
	"syscall"

	"github.com/endivefall/endivefall/platform/standin"
)

// poolProcess is a process with the arguments for restarting it after its exit.
type poolProcess struct {
	*process
	role, conf string
	// peer is the address at which an entry is reached as the owner.
	peer string
	// worker is the worker of an agent.
	worker *standin.Worker
	// path has the links of the process on the way of a stop from the store to the worker.
	path   []*link
	paused bool
	// ending is set from the signal that ends the process to its restart.
	ending bool
}

// send sends a signal to the process and records what it does to it.
func (p *poolProcess) send(s syscall.Signal) {
	switch s {
	case syscall.SIGKILL, syscall.SIGTERM:
		p.ending = true
	case syscall.SIGSTOP:
		p.paused = true
	case syscall.SIGCONT:
		p.paused = false
	}
	p.signal(s)
}

// exited reports whether the process has exited.
func (p *poolProcess) exited() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// absent reports whether the process has ended or is about to.
func (p *poolProcess) absent() bool { return p.ending || p.exited() }

// disturbed reports whether the process is absent or paused, or has a faulty link.
func (p *poolProcess) disturbed() bool {
	faulty := false
	for _, l := range p.path {
		faulty = l.disturbed() || faulty
	}
	return faulty || p.paused || p.absent()
}
