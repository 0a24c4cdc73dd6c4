package parser

import (
	"time"

	"github.com/endivefall/endivefall/decoder"
)

// Resources holds the amounts that a task or a service reserves on an instance, or
// that an instance has.
type Resources struct {
	Processors   float64      `yaml:"processors" cbor:"1,keyasint,omitempty" json:"processors" validate:"gte=0"`
	Memory       decoder.Size `yaml:"memory" cbor:"2,keyasint,omitempty" json:"memory" validate:"gte=0"`
	Accelerators int          `yaml:"accelerators" cbor:"3,keyasint,omitempty" json:"accelerators" validate:"gte=0"`
}

// Add returns the sum of r and o.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.Processors + o.Processors, r.Memory + o.Memory, r.Accelerators + o.Accelerators}
}

// Sub returns the difference of r and o.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.Processors - o.Processors, r.Memory - o.Memory, r.Accelerators - o.Accelerators}
}

// processorTolerance absorbs rounding errors in sums of processors.
const processorTolerance = 1e-9

// FitsIn reports whether r is within free in every resource.
func (r Resources) FitsIn(free Resources) bool {
	return r.Processors <= free.Processors+processorTolerance && r.Memory <= free.Memory && r.Accelerators <= free.Accelerators
}

// DominantShare returns the largest of the fractions that r is of total in each
// resource.
func (r Resources) DominantShare(total Resources) float64 {
	share := 0.0
	if total.Processors > 0 {
		share = max(share, r.Processors/total.Processors)
	}
	if total.Memory > 0 {
		share = max(share, float64(r.Memory)/float64(total.Memory))
	}
	if total.Accelerators > 0 {
		share = max(share, float64(r.Accelerators)/float64(total.Accelerators))
	}
	return share
}

// Mul returns r multiplied by k.
func (r Resources) Mul(k int) Resources {
	return Resources{r.Processors * float64(k), r.Memory * decoder.Size(k), r.Accelerators * k}
}

// Contract is a service's limit on its tail latency: the given percentile of its
// responses must take at most Limit.
type Contract struct {
	Percentile float64       `yaml:"percentile" json:"percentile" validate:"gt=0,lt=100"`
	Limit      time.Duration `yaml:"bound" json:"bound" validate:"gt=0"`
}

// Service is a latency-critical service of a team.
type Service struct {
	Name        string        `yaml:"name" json:"name" validate:"required,hostname_rfc1123,max=63"`
	Slots       int           `yaml:"slots" json:"slots" validate:"gte=1,lte=1024"`                      // concurrent requests at a target
	Connections int           `yaml:"connections" json:"connections" validate:"gtefield=Slots,lte=8192"` // requests that run or wait at a target
	Need        Resources     `yaml:"need" json:"need"`                                                  // reserved on each instance
	Contract    Contract      `yaml:"contract" json:"contract"`
	Deadline    time.Duration `yaml:"deadline" json:"deadline" validate:"gt=0"`        // of requests without their own
	Priority    int           `yaml:"priority" json:"priority" validate:"gte=0,lte=9"` // higher goes first under load
	Instances   int           `yaml:"instances" json:"instances" validate:"gte=0"`
	Spread      int           `yaml:"spread" json:"spread" validate:"gte=0"` // number of failure domains
	// Idempotent lists the methods whose requests may run more than once.
	Idempotent []string `yaml:"idempotent" json:"idempotent" validate:"dive,oneof=GET HEAD OPTIONS TRACE PUT DELETE POST PATCH"`
}

// Job is a kind of batch job of a team.
type Job struct {
	Name       string        `yaml:"name" json:"name" validate:"required,hostname_rfc1123,max=63"`
	Need       Resources     `yaml:"need" json:"need"`
	Tasks      int           `yaml:"tasks" json:"tasks" validate:"gte=1,lte=100000"`
	Idempotent bool          `yaml:"idempotent" json:"idempotent"`                    // tasks may run more than once
	Urgent     bool          `yaml:"urgent" json:"urgent"`                            // placed first, and may evict other tasks
	Retries    int           `yaml:"retries" json:"retries" validate:"gte=0,lte=100"` // failed attempts of a task that are retried
	Deadline   time.Duration `yaml:"deadline" json:"deadline" validate:"gt=0"`
	Checkpoint bool          `yaml:"checkpoint" json:"checkpoint"`       // tasks can be evicted and resumed
	Payload    string        `yaml:"run" json:"run" validate:"max=4096"` // passed to the worker unchanged
}

// Document describes the services and jobs of a team.
type Document struct {
	Team     string    `yaml:"team" json:"team" validate:"required,hostname_rfc1123,max=63"`
	Quota    Resources `yaml:"quota" json:"quota"`
	Services []Service `yaml:"services" json:"services" validate:"unique=Name,max=1000,dive"`
	Jobs     []Job     `yaml:"jobs" json:"jobs" validate:"unique=Name,max=1000,dive"`
}

// Service returns the service with the given name, or nil.
func (d *Document) Service(name string) *Service {
	for i := range d.Services {
		if d.Services[i].Name == name {
			return &d.Services[i]
		}
	}
	return nil
}

// Job returns the job with the given name, or nil.
func (d *Document) Job(name string) *Job {
	for i := range d.Jobs {
		if d.Jobs[i].Name == name {
			return &d.Jobs[i]
		}
	}
	return nil
}

// IsIdempotent reports whether requests with the method may run more than once.
func (s *Service) IsIdempotent(method string) bool {
	for _, m := range s.Idempotent {
		if m == method {
			return true
		}
	}
	return false
}
