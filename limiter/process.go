package limiter

import (
	"runtime/debug"
	"syscall"

	"go.uber.org/zap"

	"github.com/endivefall/endivefall/meter"
)

// Limits of a process without settings.
const (
	// defaultMemory is what shares are taken of if the memory of the process is not known.
	defaultMemory = 2 << 30
	// maxDefaultDescriptors bounds the descriptors that are taken from the process's own limit.
	maxDefaultDescriptors = 64 << 10
)

const (
	// minConns is the least number of connections of a listener.
	minConns = 8
	// heapShare is the share of the memory that the Go runtime may use. The rest is for the
	// program's text and for what is allocated while the collector runs.
	heapShare = 0.7
)

// Process has the limits of a process.
type Process struct {
	// Memory is in bytes; 0 if it is not known. Descriptors is 0 for the process's own limit.
	Memory      int64
	Descriptors int
	Log         *zap.Logger
	Count       func(c meter.Counter)
	Gauge       func(g meter.Gauge, value float64)
}

// SetMemoryLimit makes the Go runtime collect garbage more often when the process comes near to
// its memory, if that is known.
func (p Process) SetMemoryLimit() {
	if p.Memory > 0 {
		debug.SetMemoryLimit(int64(heapShare * float64(p.Memory)))
	}
}

// Group returns the limits of a listener that has a share of the process.
func (p Process) Group(metrics meter.Listener, s Share) *Group {
	memory, descriptors := p.Memory, p.Descriptors
	if memory <= 0 {
		memory = defaultMemory
	}
	if descriptors <= 0 {
		descriptors = openFilesLimit()
	}
	of := func(share float64) int64 { return int64(share * float64(memory)) }
	conns := min(int64(s.Descriptors*float64(descriptors)), of(s.ConnMemory)/s.ConnBytes)
	return NewGroup(GroupConfig{
		Metrics: metrics, Conns: int(max(conns, minConns)), BodyBytes: of(s.Bodies), DecodeBytes: of(s.Decoding),
		MaxBody: s.MaxBody, BodyTimeout: s.BodyTimeout, MinRate: s.MinRate, Log: p.Log, Count: p.Count, Gauge: p.Gauge,
	})
}

// openFilesLimit returns the number of descriptors that the process may have.
func openFilesLimit() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return maxDefaultDescriptors
	}
	return int(min(limit.Cur, maxDefaultDescriptors))
}
