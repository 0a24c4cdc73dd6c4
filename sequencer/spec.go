// Package sequencer holds what a job with steps is, how far it has come, and
// which of its tasks may run next. It does no input or output.
package sequencer

import (
	"errors"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// ErrInvalid says that a job can't be read or makes no sense.
var ErrInvalid = errors.New("bad job")

// Bounds of a job: what one progress record has to carry.
const (
	maxSteps = 64
	maxTasks = 10000
)

// Step is a number of like tasks.
type Step struct {
	Count  int   `cbor:"1,keyasint"`
	CPU    int64 `cbor:"2,keyasint,omitempty"` // thousandths of a core for each task
	Memory int64 `cbor:"3,keyasint,omitempty"` // MB
	GPU    int64 `cbor:"4,keyasint,omitempty"`
	// Estimate is the submitter's rough guess of a task's time.
	Estimate       time.Duration `cbor:"5,keyasint,omitempty"`
	DependsOn      []int         `cbor:"6,keyasint,omitempty"` // steps that must be done first
	Checkpoints    bool          `cbor:"7,keyasint,omitempty"`
	Gang           bool          `cbor:"8,keyasint,omitempty"`
	TightlyCoupled bool          `cbor:"9,keyasint,omitempty"`  // a gang that is slower across racks
	RequiredLabel  string        `cbor:"10,keyasint,omitempty"` // that the worker must have
	PreferredRack  string        `cbor:"11,keyasint,omitempty"` // where the data is
	// MaxPerWorker is how many tasks of the step one worker may run; 0 is any number.
	MaxPerWorker    int    `cbor:"12,keyasint,omitempty"`
	Speculative     bool   `cbor:"13,keyasint,omitempty"` // a second copy may run at the same time
	LongRunning     bool   `cbor:"14,keyasint,omitempty"` // runs until the job is cancelled
	Image           string `cbor:"15,keyasint,omitempty"`
	LatencyTargetMs int64  `cbor:"16,keyasint,omitempty"` // bound of the tail latency in ms
	BestEffort      bool   `cbor:"17,keyasint,omitempty"` // runs on what others leave unused
	// MaxUnavailable is how many tasks of a lasting step may be away at once by the
	// system's own doing; 0 means that none is given.
	MaxUnavailable int `cbor:"18,keyasint,omitempty"`
}

// Spec is an accepted job. It never changes.
type Spec struct {
	ID               string        `cbor:"1,keyasint"`
	Queue            string        `cbor:"2,keyasint"`
	Pool             string        `cbor:"3,keyasint"` // service whose workers run it
	Payload          string        `cbor:"4,keyasint,omitempty"`
	Steps            []Step        `cbor:"5,keyasint"`
	Priority         int           `cbor:"6,keyasint,omitempty"` // 0 comes first
	MaxAttempts      int           `cbor:"7,keyasint,omitempty"` // failed runs after which a task fails
	StretchFactor    float64       `cbor:"8,keyasint,omitempty"`
	LatencyAllowance time.Duration `cbor:"9,keyasint,omitempty"` // objective beyond Stretch times the work
	// Repeat is how often the steps run; 0 is once, without a time.
	Repeat   int           `cbor:"10,keyasint,omitempty"`
	FirstDue time.Time     `cbor:"11,keyasint,omitempty"` // due time of occurrence 0
	Interval time.Duration `cbor:"12,keyasint,omitempty"`
	// PolicyRestricted is set where the queue's policy allows only some workers, which a
	// service tells.
	PolicyRestricted bool `cbor:"14,keyasint,omitempty"`
	// AcceptedAt is the wall time at which an entry took the job.
	AcceptedAt time.Time `cbor:"13,keyasint"`
}

// String tells a step's shape in one word, for logs.
func (s *Step) String() string {
	word := fmt.Sprintf("%dx%dm/%dMB/%s", s.Count, s.CPU, s.Memory, s.Estimate)
	for _, trait := range []struct {
		set  bool
		name string
	}{
		{s.Checkpoints, "saves"},
		{s.Gang, "gang"},
		{s.TightlyCoupled, "tight"},
		{s.Speculative, "copies"},
		{s.LongRunning, "lasts"},
		{s.BestEffort, "fills"},
		{s.MaxPerWorker > 0, "spread" + fmt.Sprint(s.MaxPerWorker)},
		{s.LatencyTargetMs > 0, "target" + fmt.Sprint(s.LatencyTargetMs)},
		{s.RequiredLabel != "", "label-" + s.RequiredLabel},
		{s.PreferredRack != "", "rack-" + s.PreferredRack},
		{s.MaxUnavailable > 0, "missing" + fmt.Sprint(s.MaxUnavailable)},
	} {
		if trait.set {
			word += "," + trait.name
		}
	}
	return word
}

// Check says what is wrong with a job, or nil.
func (s *Spec) Check() error {
	if len(s.Steps) == 0 || len(s.Steps) > maxSteps {
		return fmt.Errorf("%w: %d steps, want 1 to %d", ErrInvalid, len(s.Steps), maxSteps)
	}
	tasks := 0
	for n, step := range s.Steps {
		if step.Count < 1 || step.CPU < 0 || step.Memory < 0 || step.GPU < 0 || step.MaxPerWorker < 0 {
			return fmt.Errorf("%w: step %d has a count or need out of range", ErrInvalid, n)
		}
		for _, before := range step.DependsOn {
			if before < 0 || before >= n {
				return fmt.Errorf("%w: step %d waits for step %d, which is not before it", ErrInvalid, n, before)
			}
		}
		tasks += step.Count
	}
	if tasks*max(s.Repeat, 1) > maxTasks {
		return fmt.Errorf("%w: over %d tasks", ErrInvalid, maxTasks)
	}
	return nil
}

// Encode writes the job for the store.
func (s *Spec) Encode() ([]byte, error) { return encoding.Marshal(s) }

// DecodeSpec reads a job from the store.
func DecodeSpec(raw []byte) (*Spec, error) {
	var s Spec
	if err := cbor.Unmarshal(raw, &s); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	return &s, s.Check()
}

var encoding = func() cbor.EncMode {
	mode, err := cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}()
