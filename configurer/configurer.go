// Package configurer reads and validates the settings file of a process.
package configurer

import (
	"errors"
	"fmt"
	"net/netip"
	"os"
	"time"

	"github.com/endivefall/endivefall/decoder"
)

// Entry holds the settings of an entry instance.
type Entry struct {
	ID       string         `yaml:"id" validate:"required,hostname_rfc1123,max=63"` // unique among entries
	Domain   string         `yaml:"domain" validate:"required"`                     // failure domain
	Region   string         `yaml:"region"`
	Listen   netip.AddrPort `yaml:"listen" validate:"required"`   // for callers and operators
	Peer     netip.AddrPort `yaml:"peer" validate:"required"`     // for agents and other entries
	Platform netip.AddrPort `yaml:"platform" validate:"required"` // the platform's key-value service
	Secret   string         `yaml:"secret" validate:"max=256"`    // shared by all entries and agents
	// Shards is the number of shards of the ledger. It takes effect only in the
	// entry that creates the ledger.
	Shards int `yaml:"shards" validate:"gte=0,lte=64"`
	// Lease is how long an agent continues its work without contact to the owner.
	Lease time.Duration `yaml:"lease" validate:"gte=0"`
	// OwnershipTTL is how long the ownership of a shard lasts without renewal, and
	// so how long grants are extended through an outage of the store. It also
	// limits how long a lost agent may take to return with the end of a task that
	// must not run again.
	OwnershipTTL time.Duration `yaml:"hold" validate:"gte=0"`
	// LeaseMargin is added to an expired lease before its work counts as ended, for
	// the stop time of workers and the drift of clocks.
	LeaseMargin time.Duration `yaml:"margin" validate:"gte=0"`
	// DrainTimeout plus ShutdownDelay limits the duration of a shutdown. Requests that
	// are still in flight are then cut off.
	DrainTimeout time.Duration `yaml:"drain" validate:"gte=0"`
	// ShutdownDelay is the minimum time from reporting unready to refusing
	// connections, so that the balancer notices first.
	ShutdownDelay       time.Duration `yaml:"turn" validate:"gte=0"`
	StoreCallsPerSecond float64       `yaml:"calls" validate:"gte=0"`
	MaxBodySize         decoder.Size  `yaml:"body" validate:"gte=0"`
	// Memory and Descriptors are what the instance has of both; 0 if that is not known. Limits
	// for callers and peers are shares of them.
	Memory      decoder.Size `yaml:"memory" validate:"gte=0"`
	Descriptors int          `yaml:"descriptors" validate:"gte=0"`
	Level       string       `yaml:"level" validate:"omitempty,oneof=debug info warn error"`
}

// Agent holds the settings of an agent.
type Agent struct {
	ID           string           `yaml:"id" validate:"required,hostname_rfc1123,max=63"` // unique among agents
	Domain       string           `yaml:"domain" validate:"required"`                     // failure domain
	Rack         string           `yaml:"rack"`
	Region       string           `yaml:"region"`
	Listen       netip.AddrPort   `yaml:"listen" validate:"required"`             // for health checks, metrics and status
	Entries      []netip.AddrPort `yaml:"entries" validate:"min=1,dive,required"` // peer addresses; the others are discovered
	Worker       netip.AddrPort   `yaml:"worker" validate:"required"`             // the worker of this instance
	Target       netip.AddrPort   `yaml:"target"`                                 // the target of this instance
	Team         string           `yaml:"team" validate:"required_with=Service"`
	Service      string           `yaml:"service" validate:"required_with=Team"`
	Secret       string           `yaml:"secret" validate:"max=256"`
	DrainTimeout time.Duration    `yaml:"drain" validate:"gte=0"`
	// ClaimRetention is how long an idempotency key is kept.
	ClaimRetention time.Duration `yaml:"window" validate:"gte=0"`
	// Memory and Descriptors are what the instance has of both; 0 if that is not known. Limits
	// for callers and peers are shares of them.
	Memory      decoder.Size `yaml:"memory" validate:"gte=0"`
	Descriptors int          `yaml:"descriptors" validate:"gte=0"`
	Level       string       `yaml:"level" validate:"omitempty,oneof=debug info warn error"`
}

// Default values of the settings.
const (
	DefaultShards              = 4
	DefaultLease               = 10 * time.Second
	DefaultOwnershipTTL        = 10 * time.Minute
	DefaultLeaseMargin         = 2 * time.Second
	DefaultDrainTimeout        = 30 * time.Second
	DefaultShutdownDelay       = 2 * time.Second
	DefaultStoreCallsPerSecond = 50.0
	DefaultMaxBodySize         = 64 * decoder.MiB
	DefaultClaimRetention      = 10 * time.Minute
)

// Configurer reads settings files.
type Configurer struct {
	decoder *decoder.Decoder
}

// New returns a Configurer.
func New() *Configurer {
	return &Configurer{decoder: decoder.New()}
}

// ReadEntry reads the settings of an entry from a file.
func (c *Configurer) ReadEntry(file string) (*Entry, error) {
	var e Entry
	if err := c.read(file, &e); err != nil {
		return nil, err
	}
	e.SetDefaults()
	if e.OwnershipTTL < 3*e.Lease {
		return nil, decoder.Diagnostics{{File: file, Line: 1, Column: 1, Field: "hold", Message: "must be at least three leases; raise hold or lower lease"}}
	}
	return &e, nil
}

// ReadAgent reads the settings of an agent from a file.
func (c *Configurer) ReadAgent(file string) (*Agent, error) {
	var a Agent
	if err := c.read(file, &a); err != nil {
		return nil, err
	}
	a.SetDefaults()
	if a.Service != "" && !a.Target.IsValid() {
		return nil, decoder.Diagnostics{{File: file, Line: 1, Column: 1, Field: "target", Message: "is missing; a service needs the address of its target"}}
	}
	return &a, nil
}

func (c *Configurer) read(file string, into any) error {
	src, err := os.ReadFile(file)
	if err != nil {
		return fmt.Errorf("reading settings: %w", err)
	}
	_, err = c.decoder.Decode(file, src, into)
	return err
}

// SetDefaults sets each zero field that has a default.
func (e *Entry) SetDefaults() {
	setDefault(&e.Shards, DefaultShards)
	setDefault(&e.Lease, DefaultLease)
	setDefault(&e.OwnershipTTL, DefaultOwnershipTTL)
	setDefault(&e.LeaseMargin, DefaultLeaseMargin)
	setDefault(&e.DrainTimeout, DefaultDrainTimeout)
	setDefault(&e.ShutdownDelay, DefaultShutdownDelay)
	setDefault(&e.StoreCallsPerSecond, DefaultStoreCallsPerSecond)
	setDefault(&e.MaxBodySize, DefaultMaxBodySize)
	setDefault(&e.Level, "info")
}

// SetDefaults sets each zero field that has a default.
func (a *Agent) SetDefaults() {
	setDefault(&a.DrainTimeout, DefaultDrainTimeout)
	setDefault(&a.ClaimRetention, DefaultClaimRetention)
	setDefault(&a.Level, "info")
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// IsDiagnostics reports whether err lists errors in a file, rather than a failure
// to read it.
func IsDiagnostics(err error) bool {
	var diagnostics decoder.Diagnostics
	return errors.As(err, &diagnostics)
}
