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
	return p.status("State")
}

// status returns a field of the process's status as the kernel reports it.
func (p *process) status(field string) string {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return err.Error()
	}
	for line := range strings.Lines(string(raw)) {
		if value, ok := strings.CutPrefix(line, field+":"); ok {
			return strings.TrimSpace(value)
		}
	}
	return "unknown"
}

// peakMemory returns the most memory that the process has had resident, in bytes, or 0 once
// it has exited.
func (p *process) peakMemory() int64 {
	var kb int64
	if _, err := fmt.Sscanf(p.status("VmHWM"), "%d kB", &kb); err != nil {
		return 0
	}
	return kb << 10
}

// descriptors returns the number of descriptors that the process has open.
func (p *process) descriptors() int {
	open, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	return len(open)
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }
