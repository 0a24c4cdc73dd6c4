// Package sequencer defines jobs with steps, tracks their progress, and determines
// which tasks may run next. It does no I/O.
package sequencer

import (
	"errors"
	"fmt"
	"math"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// ErrInvalid means that a job can't be decoded or is not valid.
var ErrInvalid = errors.New("invalid job")

// Limits of a job, as one progress record holds all of its tasks.
const (
	// MaxSteps bounds the steps of a job.
	MaxSteps = 64
	maxTasks = 10000
)

// Limits of numbers, so that sums over all tasks and workers don't overflow.
const (
	// maxAmount bounds what a task requests of a resource.
	maxAmount = 1 << 40
	// maxUnixSeconds bounds due times: the encoding has no years above 9999.
	maxUnixSeconds = 253402300799
)

// Step is a set of identical tasks.
type Step struct {
	Count  int   `cbor:"1,keyasint"`
	CPU    int64 `cbor:"2,keyasint,omitempty"` // thousandths of a core for each task
	Memory int64 `cbor:"3,keyasint,omitempty"` // MB
	GPU    int64 `cbor:"4,keyasint,omitempty"`
	// Estimate is the submitter's rough estimate of a task's duration.
	Estimate       time.Duration `cbor:"5,keyasint,omitempty"`
	DependsOn      []int         `cbor:"6,keyasint,omitempty"` // steps that must be done first
	Checkpointable bool          `cbor:"7,keyasint,omitempty"`
	Gang           bool          `cbor:"8,keyasint,omitempty"`
	TightlyCoupled bool          `cbor:"9,keyasint,omitempty"`  // a gang that is slower across racks
	RequiredLabel  string        `cbor:"10,keyasint,omitempty"` // label that the worker must have
	PreferredRack  string        `cbor:"11,keyasint,omitempty"` // rack that holds the data
	// MaxPerWorker is how many tasks of the step one worker may run; 0 means no limit.
	MaxPerWorker    int    `cbor:"12,keyasint,omitempty"`
	Speculative     bool   `cbor:"13,keyasint,omitempty"` // a second copy may run at the same time
	LongRunning     bool   `cbor:"14,keyasint,omitempty"` // runs until the job is canceled
	Image           string `cbor:"15,keyasint,omitempty"`
	LatencyTargetMs int64  `cbor:"16,keyasint,omitempty"` // upper bound of the tail latency
	BestEffort      bool   `cbor:"17,keyasint,omitempty"` // runs on CPU that others leave unused
	// MaxUnavailable is how many tasks of a long-running step the system itself may
	// have interrupted at once; 0 means that it is not set.
	MaxUnavailable int `cbor:"18,keyasint,omitempty"`
}

// Spec is an accepted job. It never changes.
type Spec struct {
	ID    string `cbor:"1,keyasint"`
	Queue string `cbor:"2,keyasint"`
	// Pool and PolicyRestricted are where its tasks may start by the configuration of PoolVersion, with which it
	// was accepted. Later versions go before that.
	Pool             string        `cbor:"3,keyasint"`
	Payload          string        `cbor:"4,keyasint,omitempty"`
	Steps            []Step        `cbor:"5,keyasint"`
	Priority         int           `cbor:"6,keyasint,omitempty"` // 0 is the highest
	MaxAttempts      int           `cbor:"7,keyasint,omitempty"` // failed runs after which a task fails
	StretchFactor    float64       `cbor:"8,keyasint,omitempty"`
	LatencyAllowance time.Duration `cbor:"9,keyasint,omitempty"` // objective beyond StretchFactor times the estimate
	// Repeat is how often the steps run; 0 means once, without a due time.
	Repeat           int           `cbor:"10,keyasint,omitempty"`
	FirstDue         time.Time     `cbor:"11,keyasint,omitempty"` // due time of occurrence 0
	Interval         time.Duration `cbor:"12,keyasint,omitempty"`
	PolicyRestricted bool          `cbor:"14,keyasint,omitempty"`
	PoolVersion      uint64        `cbor:"15,keyasint,omitempty"`
	// Path is the host and prefix of the queue as the job was accepted. The queue that has them later has
	// the job, too, whatever its name.
	Path string `cbor:"16,keyasint,omitempty"`
	// AcceptedAt is the wall time at which an entry accepted the job.
	AcceptedAt time.Time `cbor:"13,keyasint"`
}

// Shrink drops the texts that only starts of tasks need. It is for jobs that have ended, whose state callers may
// ask for long after.
func (s *Spec) Shrink() {
	s.Payload = ""
	for n := range s.Steps {
		step := &s.Steps[n]
		step.Image, step.RequiredLabel, step.PreferredRack = "", "", ""
	}
}

// String returns a description of the step without spaces, for logs.
func (s *Step) String() string {
	text := fmt.Sprintf("%dx%dm/%dMB/%s", s.Count, s.CPU, s.Memory, s.Estimate)
	for _, trait := range []struct {
		set  bool
		name string
	}{
		{s.Checkpointable, "saves"},
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
			text += "," + trait.name
		}
	}
	return text
}

// MayBeGranted reports whether the ledger may name the agent of each task of the step: a
// write before each start pays where starts are rare. The members of gangs start together,
// and a speculative task may run at two agents.
func (s *Step) MayBeGranted() bool { return s.LongRunning && !s.Gang && !s.Speculative }

// Check returns an error that wraps ErrInvalid if the job is not valid.
func (s *Spec) Check() error {
	if len(s.Steps) == 0 || len(s.Steps) > MaxSteps {
		return fmt.Errorf("%w: %d steps, want 1 to %d", ErrInvalid, len(s.Steps), MaxSteps)
	}
	tasks := 0
	for n, step := range s.Steps {
		if step.Count < 1 || step.Count > maxTasks || min(step.CPU, step.Memory, step.GPU) < 0 || max(step.CPU, step.Memory, step.GPU) > maxAmount || step.MaxPerWorker < 0 {
			return fmt.Errorf("%w: step %d has a count or resource request out of range", ErrInvalid, n)
		}
		for _, dependency := range step.DependsOn {
			if dependency < 0 || dependency >= n {
				return fmt.Errorf("%w: step %d depends on step %d, which is not an earlier step", ErrInvalid, n, dependency)
			}
		}
		tasks += step.Count
	}
	if s.Repeat > maxTasks || tasks*max(s.Repeat, 1) > maxTasks {
		return fmt.Errorf("%w: more than %d tasks", ErrInvalid, maxTasks)
	}
	return s.checkDueTimes()
}

func (s *Spec) checkDueTimes() error {
	switch {
	case s.Repeat < 0:
		return fmt.Errorf("%w: %d occurrences", ErrInvalid, s.Repeat)
	case s.Repeat == 0:
		return nil
	case s.Interval < 0 || s.Interval > math.MaxInt64/time.Duration(s.Repeat):
		return fmt.Errorf("%w: interval of %s is out of range", ErrInvalid, s.Interval)
	case s.FirstDue.Unix() < 0 || s.FirstDue.Unix() > maxUnixSeconds:
		return fmt.Errorf("%w: first due time is out of range", ErrInvalid)
	}
	return nil
}

// Encode returns the job as CBOR.
func (s *Spec) Encode() ([]byte, error) { return encMode.Marshal(s) }

// DecodeSpec reads a job that was written by Encode, and checks it.
func DecodeSpec(raw []byte) (*Spec, error) {
	var s Spec
	if err := cbor.Unmarshal(raw, &s); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	return &s, s.Check()
}

var encMode = func() cbor.EncMode {
	mode, err := cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}()
