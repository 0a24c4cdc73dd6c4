package configurer

import (
	"net/netip"
	"time"
)

// PoolEntry holds the settings of an entry of the pools.
type PoolEntry struct {
	ID        string         `yaml:"id" validate:"required,max=63"`
	Domain    string         `yaml:"domain" validate:"required"`
	Listen    netip.AddrPort `yaml:"listen" validate:"required"` // for callers
	ReadyAddr netip.AddrPort `yaml:"ready" validate:"required"`  // for the balancer's check
	Peer      netip.AddrPort `yaml:"peer" validate:"required"`   // for entries and agents
	// Bind is where it listens for peers if that isn't Peer, as behind a
	// forwarder.
	Bind    netip.AddrPort `yaml:"bind"`
	Metrics netip.AddrPort `yaml:"metrics"`
	Store   netip.AddrPort `yaml:"store" validate:"required"`
	// Advice is the service of the queues' policies, where there is one.
	Advice netip.AddrPort `yaml:"advice"`
	// Cores is the processor that it may use, Speed how fast that is against
	// the other entries'; the most powerful one is the first to become owner.
	Cores float64 `yaml:"cores" validate:"gte=0"`
	Speed float64 `yaml:"speed" validate:"gte=0"`
	// MaxWorkerLease is the longest lease that a worker takes.
	MaxWorkerLease time.Duration `yaml:"hold" validate:"gt=0"`
	// JobRetention is how long the state of a job that is over is kept at least.
	JobRetention time.Duration `yaml:"keep" validate:"gt=0"`
	// DrainTimeout is how long the process may take to end.
	DrainTimeout time.Duration `yaml:"drain" validate:"gt=0"`
	Level        string        `yaml:"level" validate:"omitempty,oneof=debug info warn error"`
}

// PoolAgent holds the settings of an agent of a pool.
type PoolAgent struct {
	ID      string         `yaml:"id" validate:"required,max=63"`
	Domain  string         `yaml:"domain" validate:"required"`
	Listen  netip.AddrPort `yaml:"listen" validate:"required"` // for the worker's heartbeats
	Metrics netip.AddrPort `yaml:"metrics"`
	Worker  netip.AddrPort `yaml:"worker" validate:"required"`
	Store   netip.AddrPort `yaml:"store" validate:"required"`
	Pool    string         `yaml:"pool" validate:"required"` // service that the worker belongs to
	// MaxWorkerLease is the longest lease that the worker takes.
	MaxWorkerLease time.Duration `yaml:"hold" validate:"gt=0"`
	Level          string        `yaml:"level" validate:"omitempty,oneof=debug info warn error"`
}

// ReadPoolEntry reads the settings of an entry of the pools from a file.
func (c *Configurer) ReadPoolEntry(file string) (*PoolEntry, error) {
	var e PoolEntry
	if err := c.read(file, &e); err != nil {
		return nil, err
	}
	fill(&e.Level, "info")
	fill(&e.Bind, e.Peer)
	fill(&e.Speed, 1)
	return &e, nil
}

// ReadPoolAgent reads the settings of an agent of a pool from a file.
func (c *Configurer) ReadPoolAgent(file string) (*PoolAgent, error) {
	var a PoolAgent
	if err := c.read(file, &a); err != nil {
		return nil, err
	}
	fill(&a.Level, "info")
	return &a, nil
}
