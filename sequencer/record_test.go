package sequencer

import (
	"math"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"
)

// Sums and products of these numbers overflow. They passed for jobs with few tasks, whose
// tasks no owner could allocate, or whose records no owner could read again.
func TestJobsWithNumbersThatOverflowAreInvalid(t *testing.T) {
	for name, change := range map[string]func(*Spec){
		"sum of tasks is negative": func(s *Spec) { s.Steps = []Step{{Count: math.MaxInt}, {Count: math.MaxInt}} },
		"sum of tasks is small": func(s *Spec) {
			s.Steps = []Step{{Count: 1 << 62}, {Count: 1 << 62}, {Count: 1 << 62}, {Count: 1<<62 + 1}}
		},
		"occurrences times tasks is 0":  func(s *Spec) { s.Steps, s.Repeat = []Step{{Count: 4}}, 1<<62 },
		"occurrences below 0":           func(s *Spec) { s.Repeat = -1 },
		"occurrences of the far future": func(s *Spec) { s.Repeat, s.FirstDue, s.Interval = 10000, time.Unix(0, 0), math.MaxInt64 },
		"first occurrence after 9999":   func(s *Spec) { s.Repeat, s.FirstDue = 1, time.UnixMilli(1<<53) },
		"first occurrence before 0":     func(s *Spec) { s.Repeat, s.FirstDue = 1, time.UnixMilli(-1<<53) },
		"interval below 0":              func(s *Spec) { s.Repeat, s.FirstDue, s.Interval = 2, time.Unix(0, 0), -time.Second },
		"processor":                     func(s *Spec) { s.Steps[0].CPU = math.MaxInt64 },
		"memory":                        func(s *Spec) { s.Steps[0].Memory = math.MaxInt64 },
		"accelerators":                  func(s *Spec) { s.Steps[0].GPU = math.MaxInt64 },
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			s := Spec{ID: "00000000000000aa", Steps: []Step{{Count: 1}}}
			c.Assert(s.Check(), qt.IsNil)
			change(&s)
			c.Check(s.Check(), qt.ErrorIs, ErrInvalid)
		})
	}
}

// The attempt after the largest number is 0, which each worker refuses, and a job in a state
// that isn't known would start from its first task.
func TestProgressOfNoOwnerIsInvalid(t *testing.T) {
	for name, p := range map[string]Progress{
		"state":            {State: "lost"},
		"attempt":          {State: Running, Tasks: []TaskRecord{{FailedAttempts: []uint64{math.MaxUint64}}}},
		"attempt in crash": {State: Running, Tasks: []TaskRecord{{Crashes: []Crash{{Attempt: math.MaxUint64}}}}},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			raw, err := p.Encode()
			c.Assert(err, qt.IsNil)
			_, err = DecodeProgress(raw)
			c.Check(err, qt.ErrorIs, ErrInvalid)
		})
	}
}

// oddRecords returns records as another writer may leave them: nested deeply, of another
// type, with numbers out of range, cut off.
func oddRecords(c *qt.C) [][]byte {
	records := [][]byte{nil, {0xff}, []byte(strings.Repeat("\x81", 10000)), []byte("\xa1\x05" + strings.Repeat("\x81", 100) + "\x00")}
	for _, v := range []any{
		7, "text",
		[]any{1, 2},
		map[string]any{"a": 1},
		map[int]any{1: 7, 5: "text"},
		map[int]any{5: []any{map[int]any{1: math.MaxInt}, map[int]any{1: math.MaxInt}}},
		map[int]any{5: []any{map[int]any{1: uint64(math.MaxUint64)}}},
		map[int]any{5: []any{map[int]any{1: 1e300}}},
		map[int]any{5: []any{map[int]any{1: 4}}, 10: 1 << 62},
		map[int]any{1: "running", 2: []any{map[int]any{1: -1, 2: math.MaxInt, 6: []any{uint64(math.MaxUint64)}}}},
	} {
		raw, err := cbor.Marshal(v)
		c.Assert(err, qt.IsNil)
		records = append(records, raw)
	}
	return records
}

// FuzzDecodeStoredSpec checks that a job that passes can be scheduled, and read again.
func FuzzDecodeStoredSpec(f *testing.F) {
	for _, raw := range oddRecords(qt.New(f)) {
		f.Add(raw)
	}
	valid := Spec{ID: "00000000000000aa", Queue: "q", Steps: []Step{{Count: 3, CPU: 1}, {Count: 1, DependsOn: []int{0}}}, Repeat: 3, FirstDue: time.Unix(9, 0), Interval: time.Second}
	raw, err := valid.Encode()
	qt.Assert(f, err, qt.IsNil)
	f.Add(raw)
	f.Add(raw[:len(raw)/2])
	f.Fuzz(func(t *testing.T, raw []byte) {
		s, err := DecodeSpec(raw)
		if err != nil {
			return
		}
		j := NewJob(s, 1, nil)
		j.Runnable(time.Unix(1e9, 0))
		raw, err = s.Encode()
		qt.Assert(t, err, qt.IsNil)
		_, err = DecodeSpec(raw)
		qt.Assert(t, err, qt.IsNil)
	})
}

// FuzzDecodeStoredProgress checks that a job can be scheduled with any progress that passes.
func FuzzDecodeStoredProgress(f *testing.F) {
	for _, raw := range oddRecords(qt.New(f)) {
		f.Add(raw)
	}
	valid := Progress{State: Running, Tasks: []TaskRecord{{Step: 1, Done: true}, {Index: 2, Checkpoint: "c", FailedAttempts: []uint64{1}, Crashes: []Crash{{Attempt: 2}}}}}
	raw, err := valid.Encode()
	qt.Assert(f, err, qt.IsNil)
	f.Add(raw)
	f.Add(raw[:len(raw)/2])
	f.Fuzz(func(t *testing.T, raw []byte) {
		p, err := DecodeProgress(raw)
		if err != nil {
			return
		}
		j := NewJob(&Spec{ID: "00000000000000aa", Steps: []Step{{Count: 3}, {Count: 1}}}, 1, p)
		j.Runnable(time.Unix(1e9, 0))
		raw, err = j.Progress().Encode()
		qt.Assert(t, err, qt.IsNil)
		_, err = DecodeProgress(raw)
		qt.Assert(t, err, qt.IsNil)
	})
}
