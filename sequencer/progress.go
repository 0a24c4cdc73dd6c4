package sequencer

import (
	"errors"
	"fmt"
	"slices"

	"github.com/fxamacker/cbor/v2"
)

// State is the state of a job.
type State string

// States of a job.
const (
	Queued   State = "queued"
	Running  State = "running"
	Complete State = "complete"
	Failed   State = "failed"
	Canceled State = "canceled"
)

// Final reports whether the state never changes again.
func (s State) Final() bool { return s == Complete || s == Failed || s == Canceled }

// Progress is the part of a job's progress that is stored in the ledger: all that a
// new owner can't learn from the agents.
type Progress struct {
	State State `cbor:"1,keyasint"`
	// Tasks has the tasks that are done, have failed attempts, a checkpoint or an agent, or
	// were lost in crashes, by occurrence, step and index.
	Tasks []TaskRecord `cbor:"2,keyasint,omitempty"`
	// GrantTerm is Job.GrantTerm.
	GrantTerm uint64 `cbor:"3,keyasint,omitempty"`
	// Placement is Job.Placement if it is of a later version of the configuration than that of the
	// job's Spec.
	Placement *Placement `cbor:"4,keyasint,omitempty"`
}

// TaskRecord is the durable part of a task.
type TaskRecord struct {
	Occurrence int    `cbor:"1,keyasint,omitempty"`
	Step       int    `cbor:"2,keyasint,omitempty"`
	Index      int    `cbor:"3,keyasint,omitempty"`
	Done       bool   `cbor:"4,keyasint,omitempty"`
	Checkpoint string `cbor:"5,keyasint,omitempty"`
	// FailedAttempts has the attempts that failed.
	FailedAttempts []uint64 `cbor:"6,keyasint,omitempty"`
	// CrashOdds and Crashes are those of Task.
	CrashOdds float64 `cbor:"7,keyasint,omitempty"`
	Crashes   []Crash `cbor:"8,keyasint,omitempty"`
	// Agent is that of Task.
	Agent string `cbor:"9,keyasint,omitempty"`
}

// hasRun reports whether the record shows that the task has run: a grant does not.
func (r *TaskRecord) hasRun() bool {
	return r.Done || r.Checkpoint != "" || len(r.FailedAttempts) > 0 || len(r.Crashes) > 0 || r.CrashOdds > 0
}

// Encode returns the progress as CBOR.
func (p *Progress) Encode() ([]byte, error) { return encMode.Marshal(p) }

// EncodeWithin returns the progress as CBOR in no more than a number of bytes, and how many checkpoints it leaves
// out for that, the largest first: without its checkpoint, a task only repeats work if all that keep it
// are lost at once.
func (p *Progress) EncodeWithin(limit int) (raw []byte, omitted int, err error) {
	raw, err = p.Encode()
	if err != nil || len(raw) <= limit {
		return raw, 0, err
	}
	small := *p
	small.Tasks = slices.Clone(p.Tasks)
	bySize := make([]*TaskRecord, 0, len(small.Tasks))
	for n := range small.Tasks {
		if small.Tasks[n].Checkpoint != "" {
			bySize = append(bySize, &small.Tasks[n])
		}
	}
	slices.SortStableFunc(bySize, func(a, b *TaskRecord) int { return len(b.Checkpoint) - len(a.Checkpoint) })
	excess := len(raw) - limit
	for _, record := range bySize {
		if excess <= 0 {
			break
		}
		excess -= len(record.Checkpoint)
		record.Checkpoint = ""
		omitted++
	}
	if raw, err = small.Encode(); err == nil && len(raw) > limit {
		err = fmt.Errorf("%w: progress of %d bytes without checkpoints", ErrTooLarge, len(raw))
	}
	return raw, omitted, err
}

// DecodeProgress reads progress that was written by Encode.
func DecodeProgress(raw []byte) (*Progress, error) {
	var p Progress
	if err := cbor.Unmarshal(raw, &p); err != nil {
		return nil, fmt.Errorf("%w: progress: %w", ErrInvalid, err)
	}
	return &p, p.check()
}

// ErrTooLarge means that progress does not fit into a value of the ledger.
var ErrTooLarge = errors.New("progress is too large")

// maxAttempt bounds the attempts in a record; a later attempt has a higher number.
const maxAttempt = 1 << 53

func (p *Progress) check() error {
	switch p.State {
	case "", Queued, Running, Complete, Failed, Canceled:
	default:
		return fmt.Errorf("%w: progress: state %q is not known", ErrInvalid, p.State)
	}
	for _, record := range p.Tasks {
		tooLarge := func(attempt uint64) bool { return attempt > maxAttempt }
		if slices.ContainsFunc(record.FailedAttempts, tooLarge) || slices.ContainsFunc(record.Crashes, func(c Crash) bool { return tooLarge(c.Attempt) }) {
			return fmt.Errorf("%w: progress: an attempt is out of range", ErrInvalid)
		}
	}
	return nil
}
