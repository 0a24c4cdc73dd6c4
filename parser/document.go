package parser

import (
	"time"

	"github.com/endivefall/endivefall/decoder"
)

// Resources is what one task or service instance reserves of its instance.
type Resources struct {
	Processors   float64      `yaml:"processors" cbor:"1,keyasint,omitempty" json:"processors" validate:"gte=0"`
	Memory       decoder.Size `yaml:"memory" cbor:"2,keyasint,omitempty" json:"memory" validate:"gte=0"`
	Accelerators int          `yaml:"accelerators" cbor:"3,keyasint,omitempty" json:"accelerators" validate:"gte=0"`
}

// Add returns the sum of both needs.
func (n Resources) Add(o Resources) Resources {
	return Resources{n.Processors + o.Processors, n.Memory + o.Memory, n.Accelerators + o.Accelerators}
}

// Sub returns what is left of n after o.
func (n Resources) Sub(o Resources) Resources {
	return Resources{n.Processors - o.Processors, n.Memory - o.Memory, n.Accelerators - o.Accelerators}
}

// tolerance absorbs the rounding of sums of processor shares.
const tolerance = 1e-9

// FitsIn says whether n lies within free in every resource.
func (n Resources) FitsIn(free Resources) bool {
	return n.Processors <= free.Processors+tolerance && n.Memory <= free.Memory && n.Accelerators <= free.Accelerators
}

// DominantShare returns the largest part that n takes of total, in any resource: the
// dominant share.
func (n Resources) DominantShare(total Resources) float64 {
	share := 0.0
	if total.Processors > 0 {
		share = max(share, n.Processors/total.Processors)
	}
	if total.Memory > 0 {
		share = max(share, float64(n.Memory)/float64(total.Memory))
	}
	if total.Accelerators > 0 {
		share = max(share, float64(n.Accelerators)/float64(total.Accelerators))
	}
	return share
}

// Mul returns n taken k times.
func (n Resources) Mul(k int) Resources {
	return Resources{n.Processors * float64(k), n.Memory * decoder.Size(k), n.Accelerators * k}
}

// Contract is a service's bound on its tail latency.
type Contract struct {
	Percentile float64       `yaml:"percentile" json:"percentile" validate:"gt=0,lt=100"`
	Limit      time.Duration `yaml:"bound" json:"bound" validate:"gt=0"`
}

// Service is one latency-critical service of a team.
type Service struct {
	Name        string        `yaml:"name" json:"name" validate:"required,hostname_rfc1123,max=63"`
	Slots       int           `yaml:"slots" json:"slots" validate:"gte=1,lte=1024"`
	Connections int           `yaml:"connections" json:"connections" validate:"gtefield=Slots,lte=8192"`
	Need        Resources     `yaml:"need" json:"need"`
	Contract    Contract      `yaml:"contract" json:"contract"`
	Deadline    time.Duration `yaml:"deadline" json:"deadline" validate:"gt=0"`
	Priority    int           `yaml:"priority" json:"priority" validate:"gte=0,lte=9"`
	Instances   int           `yaml:"instances" json:"instances" validate:"gte=0"`
	Spread      int           `yaml:"spread" json:"spread" validate:"gte=0"`
	Idempotent  []string      `yaml:"idempotent" json:"idempotent" validate:"dive,oneof=GET HEAD OPTIONS TRACE PUT DELETE POST PATCH"`
}

// Job is one kind of batch work of a team.
type Job struct {
	Name       string        `yaml:"name" json:"name" validate:"required,hostname_rfc1123,max=63"`
	Need       Resources     `yaml:"need" json:"need"`
	Tasks      int           `yaml:"tasks" json:"tasks" validate:"gte=1,lte=100000"`
	Idempotent bool          `yaml:"idempotent" json:"idempotent"`
	Urgent     bool          `yaml:"urgent" json:"urgent"`
	Retries    int           `yaml:"retries" json:"retries" validate:"gte=0,lte=100"`
	Deadline   time.Duration `yaml:"deadline" json:"deadline" validate:"gt=0"`
	Checkpoint bool          `yaml:"checkpoint" json:"checkpoint"`
	Payload    string        `yaml:"run" json:"run" validate:"max=4096"`
}

// Document is all that one team runs.
type Document struct {
	Team     string    `yaml:"team" json:"team" validate:"required,hostname_rfc1123,max=63"`
	Quota    Resources `yaml:"quota" json:"quota"`
	Services []Service `yaml:"services" json:"services" validate:"unique=Name,max=1000,dive"`
	Jobs     []Job     `yaml:"jobs" json:"jobs" validate:"unique=Name,max=1000,dive"`
}

// Service returns the service of that name, or nil.
func (d *Document) Service(name string) *Service {
	for i := range d.Services {
		if d.Services[i].Name == name {
			return &d.Services[i]
		}
	}
	return nil
}

// Job returns the job of that name, or nil.
func (d *Document) Job(name string) *Job {
	for i := range d.Jobs {
		if d.Jobs[i].Name == name {
			return &d.Jobs[i]
		}
	}
	return nil
}

// IsIdempotent says whether requests of the method may run more than once.
func (s *Service) IsIdempotent(method string) bool {
	for _, m := range s.Idempotent {
		if m == method {
			return true
		}
	}
	return false
}
