package e2e

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
)

// process is a started process with its output.
type process struct {
	cmd  *exec.Cmd
	name string
	done chan struct{}
	err  error
	// dumped is set once the process was told to list its goroutines.
	dumped atomic.Bool
	mu     sync.Mutex
	log    bytes.Buffer
}

// Write collects the output of the process.
func (p *process) Write(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.Write(b)
}

func (p *process) logs() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.String()
}

// state returns the state of the process as the kernel reports it.
func (p *process) state() string {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return err.Error()
	}
	for line := range strings.Lines(string(raw)) {
		if state, ok := strings.CutPrefix(line, "State:"); ok {
			return strings.TrimSpace(state)
		}
	}
	return "unknown"
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }
