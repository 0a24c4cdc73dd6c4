package orchestrator

import (
	"math"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/endivefall/endivefall/messenger"
	"github.com/endivefall/endivefall/sequencer"
)

// FuzzSnapshot checks that a run of another writer at a worker ends no owner, and that the
// owner goes on with its own.
func FuzzSnapshot(f *testing.F) {
	for _, task := range []string{
		"", ".", "...", "a", "a.0.0.0", "0000000000000001", "0000000000000001.0.0.0", "0000000000000001.0.0.1", "0000000000000001.-1.0.0", "0000000000000001.0.9223372036854775807.0",
		"0000000000000001.0.0.18446744073709551616", "0000000000000001.0.0.0.0", "\xff.0.0.0",
	} {
		for _, attempt := range []uint64{0, 1, 2, math.MaxUint64} {
			f.Add(task, attempt, 101, int64(math.MaxInt64), int64(math.MaxInt64), uint8(1))
			f.Add(task, attempt, math.MinInt, int64(math.MinInt64), int64(math.MinInt64), uint8(99))
		}
	}
	f.Fuzz(func(t *testing.T, task string, attempt uint64, percent int, measurement, warmup int64, status uint8) {
		h := newHarness(qt.New(t), 2)
		j := h.submit(sequencer.Spec{Steps: []sequencer.Step{step(2, 100)}})
		h.o.place()
		for range 2 {
			odd := messenger.RunStatus{Task: task, Attempt: attempt, Phase: messenger.Phase(status), ProgressPercent: percent, Measurement: measurement, PacePercent: percent}
			end := messenger.RunEnd{Seq: attempt, Task: task, Attempt: attempt, Status: messenger.EndStatus(status)}
			h.sendSnapshot("a0", &messenger.WorkerSnapshot{Runs: append(h.runStatuses("a0", messenger.PhaseRunning, 5), odd), RunEnds: []messenger.RunEnd{end}, WarmupMs: warmup, DrainRemainingMs: warmup})
			h.o.place()
			h.reportRunning("a1", 5)
		}
		qt.Assert(t, h.o.jobs[j.Spec.ID] == j, qt.IsTrue)
	})
}
