package configurer

import (
	"net/netip"
	"time"

	"github.com/endivefall/endivefall/decoder"
)

// PoolEntry holds the settings of an entry of the pools.
type PoolEntry struct {
	ID        string         `yaml:"id" validate:"required,max=63"`
	Domain    string         `yaml:"domain" validate:"required"`
	Listen    netip.AddrPort `yaml:"listen" validate:"required"` // for callers
	ReadyAddr netip.AddrPort `yaml:"ready" validate:"required"`  // for the balancer's readiness check
	Peer      netip.AddrPort `yaml:"peer" validate:"required"`   // for entries and agents
	// Bind is the listen address for peers where it differs from Peer, as behind
	// a port forwarder. The default is Peer.
	Bind    netip.AddrPort `yaml:"bind"`
	Metrics netip.AddrPort `yaml:"metrics"`
	Store   netip.AddrPort `yaml:"store" validate:"required"`
	// PolicyAddr is the address of the queue policy service; optional.
	PolicyAddr netip.AddrPort `yaml:"advice"`
	// Cores is the number of cores that the process may use, Speed their speed
	// relative to the cores of other entries, 1 by default. The entry with the
	// highest product of both is preferred as owner, because the owner does all
	// placement.
	Cores float64 `yaml:"cores" validate:"gte=0"`
	Speed float64 `yaml:"speed" validate:"gte=0"`
	// MaxWorkerLease is the longest lease that a worker accepts.
	MaxWorkerLease time.Duration `yaml:"hold" validate:"gt=0"`
	// JobRetention is the minimum time for which the state of an ended job is kept.
	JobRetention time.Duration `yaml:"keep" validate:"gt=0"`
	// EvacuationBound is the time from the acknowledgement of a request to evacuate a failure domain until which
	// tasks may still start there. Without it requests are obeyed as soon as they are known, and nothing more.
	EvacuationBound time.Duration `yaml:"evacuate" validate:"gte=0"`
	// RemoteFactor is how many times as long a task takes outside the rack that holds its data, and a tightly
	// coupled gang in several racks; 0 if that is not known, so that nothing waits for its rack.
	RemoteFactor float64 `yaml:"remote" validate:"omitempty,gte=1,lte=100"`
	// DrainTimeout limits the duration of a shutdown.
	DrainTimeout time.Duration `yaml:"drain" validate:"gt=0"`
	// Memory and Descriptors are what the instance has of both; 0 if that is not known. Limits
	// for callers and peers are shares of them.
	Memory      decoder.Size `yaml:"memory" validate:"gte=0"`
	Descriptors int          `yaml:"descriptors" validate:"gte=0"`
	Level       string       `yaml:"level" validate:"omitempty,oneof=debug info warn error"`
}

// PoolAgent holds the settings of an agent of a pool.
type PoolAgent struct {
	ID      string         `yaml:"id" validate:"required,max=63"`
	Domain  string         `yaml:"domain" validate:"required"`
	Listen  netip.AddrPort `yaml:"listen" validate:"required"` // for the worker's heartbeats
	Metrics netip.AddrPort `yaml:"metrics"`
	Worker  netip.AddrPort `yaml:"worker" validate:"required"`
	Store   netip.AddrPort `yaml:"store" validate:"required"`
	Pool    string         `yaml:"pool" validate:"required"` // the platform's service that the worker belongs to
	// MaxWorkerLease is the longest lease that the worker accepts.
	MaxWorkerLease time.Duration `yaml:"hold" validate:"gt=0"`
	// Memory and Descriptors are what the instance has of both; 0 if that is not known. Limits
	// for callers and peers are shares of them.
	Memory      decoder.Size `yaml:"memory" validate:"gte=0"`
	Descriptors int          `yaml:"descriptors" validate:"gte=0"`
	Level       string       `yaml:"level" validate:"omitempty,oneof=debug info warn error"`
}

// ReadPoolEntry reads the settings of an entry of the pools from a file.
func (c *Configurer) ReadPoolEntry(file string) (*PoolEntry, error) {
	var e PoolEntry
	if err := c.read(file, &e); err != nil {
		return nil, err
	}
	setDefault(&e.Level, "info")
	setDefault(&e.Bind, e.Peer)
	setDefault(&e.Speed, 1)
	return &e, nil
}

// ReadPoolAgent reads the settings of an agent of a pool from a file.
func (c *Configurer) ReadPoolAgent(file string) (*PoolAgent, error) {
	var a PoolAgent
	if err := c.read(file, &a); err != nil {
		return nil, err
	}
	setDefault(&a.Level, "info")
	return &a, nil
}
