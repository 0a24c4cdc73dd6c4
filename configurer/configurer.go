// Package configurer reads and checks the settings of a process.
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
	ID                  string         `yaml:"id" validate:"required,hostname_rfc1123,max=63"`
	Domain              string         `yaml:"domain" validate:"required"`
	Region              string         `yaml:"region"`
	Listen              netip.AddrPort `yaml:"listen" validate:"required"`
	Peer                netip.AddrPort `yaml:"peer" validate:"required"`
	Platform            netip.AddrPort `yaml:"platform" validate:"required"`
	Secret              string         `yaml:"secret" validate:"max=256"`
	Shards              int            `yaml:"shards" validate:"gte=0,lte=64"`
	Lease               time.Duration  `yaml:"lease" validate:"gte=0"`
	OwnershipTTL        time.Duration  `yaml:"hold" validate:"gte=0"`
	LeaseMargin         time.Duration  `yaml:"margin" validate:"gte=0"`
	DrainTimeout        time.Duration  `yaml:"drain" validate:"gte=0"`
	ShutdownDelay       time.Duration  `yaml:"turn" validate:"gte=0"`
	StoreCallsPerSecond float64        `yaml:"calls" validate:"gte=0"`
	MaxBodySize         decoder.Size   `yaml:"body" validate:"gte=0"`
	Level               string         `yaml:"level" validate:"omitempty,oneof=debug info warn error"`
}

// Agent holds the settings of an agent.
type Agent struct {
	ID             string           `yaml:"id" validate:"required,hostname_rfc1123,max=63"`
	Domain         string           `yaml:"domain" validate:"required"`
	Rack           string           `yaml:"rack"`
	Region         string           `yaml:"region"`
	Listen         netip.AddrPort   `yaml:"listen" validate:"required"`
	Entries        []netip.AddrPort `yaml:"entries" validate:"min=1,dive,required"`
	Worker         netip.AddrPort   `yaml:"worker" validate:"required"`
	Target         netip.AddrPort   `yaml:"target"`
	Team           string           `yaml:"team" validate:"required_with=Service"`
	Service        string           `yaml:"service" validate:"required_with=Team"`
	Secret         string           `yaml:"secret" validate:"max=256"`
	DrainTimeout   time.Duration    `yaml:"drain" validate:"gte=0"`
	ClaimRetention time.Duration    `yaml:"window" validate:"gte=0"`
	Level          string           `yaml:"level" validate:"omitempty,oneof=debug info warn error"`
}

// Defaults of the settings.
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

// SetDefaults sets the defaults of an entry.
func (e *Entry) SetDefaults() {
	fill(&e.Shards, DefaultShards)
	fill(&e.Lease, DefaultLease)
	fill(&e.OwnershipTTL, DefaultOwnershipTTL)
	fill(&e.LeaseMargin, DefaultLeaseMargin)
	fill(&e.DrainTimeout, DefaultDrainTimeout)
	fill(&e.ShutdownDelay, DefaultShutdownDelay)
	fill(&e.StoreCallsPerSecond, DefaultStoreCallsPerSecond)
	fill(&e.MaxBodySize, DefaultMaxBodySize)
	fill(&e.Level, "info")
}

// SetDefaults sets the defaults of an agent.
func (a *Agent) SetDefaults() {
	fill(&a.DrainTimeout, DefaultDrainTimeout)
	fill(&a.ClaimRetention, DefaultClaimRetention)
	fill(&a.Level, "info")
}

func fill[T comparable](into *T, fallback T) {
	var zero T
	if *into == zero {
		*into = fallback
	}
}

// IsDiagnostics says whether err lists faults of a file, rather than a failure to
// read it.
func IsDiagnostics(err error) bool {
	var f decoder.Diagnostics
	return errors.As(err, &f)
}
