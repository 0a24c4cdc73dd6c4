package orchestrator

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivefall/endivefall/sequencer"
)

// BenchmarkPlace measures a round of placement on full workers, by the number of waiting
// jobs, of the agents, and of the runs that they have.
func BenchmarkPlace(b *testing.B) {
	for _, size := range []struct{ jobs, agents int }{{100, 30}, {1000, 30}, {10000, 30}, {100, 300}, {1000, 300}, {10000, 300}, {100, 3000}, {1000, 3000}} {
		b.Run(fmt.Sprintf("jobs=%d/agents=%d", size.jobs, size.agents), func(b *testing.B) {
			h := newHarness(qt.New(b), size.agents)
			for n := range size.agents {
				j := h.submit(sequencer.Spec{Steps: []sequencer.Step{{Count: 1, CPU: 8000, Memory: 10, LongRunning: true, LatencyTargetMs: 50, Image: fmt.Sprint("s", n%16)}}})
				h.o.place()
				h.reportRunning(h.o.agents[fmt.Sprint("a", n)].id, 100)
				_ = j
			}
			for range size.jobs {
				h.submit(sequencer.Spec{Steps: []sequencer.Step{step(4, 1000)}})
			}
			b.ResetTimer()
			for b.Loop() {
				h.o.place()
			}
		})
	}
}

// BenchmarkClaimRoom measures a search for room for long-running jobs on full workers.
func BenchmarkClaimRoom(b *testing.B) {
	for _, size := range []struct{ jobs, agents int }{{100, 30}, {1000, 30}, {100, 300}, {1000, 300}} {
		b.Run(fmt.Sprintf("jobs=%d/agents=%d", size.jobs, size.agents), func(b *testing.B) {
			h := newHarness(qt.New(b), size.agents)
			h.submit(sequencer.Spec{Steps: []sequencer.Step{step(size.agents*8, 1000)}})
			for h.o.place(); len(h.o.runs) < size.agents*8; h.o.place() {
				h.reportAllRunning()
			}
			for range size.jobs {
				h.submit(lastingSpec(4000))
			}
			h.o.place()
			h.now = h.now.Add(minClaimWait)
			h.reportAllRunning()
			byPool, agents := h.o.candidates()
			b.ResetTimer()
			for b.Loop() {
				h.o.lastClaims = time.Time{}
				h.o.claimRoom(h.o.startBlocked(), byPool, agents, h.now, h.now)
			}
		})
	}
}

// BenchmarkPlaceStarving measures a round of placement while long-running jobs of many sizes, which
// have waited, hold claims on full workers.
func BenchmarkPlaceStarving(b *testing.B) {
	for _, size := range []struct{ jobs, agents int }{{100, 70}, {1000, 70}, {1000, 300}} {
		b.Run(fmt.Sprintf("jobs=%d/agents=%d", size.jobs, size.agents), func(b *testing.B) {
			h := newHarness(qt.New(b), size.agents)
			h.submit(sequencer.Spec{Steps: []sequencer.Step{step(size.agents*8, 1000)}})
			for h.o.place(); len(h.o.runs) < size.agents*8; h.o.place() {
				h.reportAllRunning()
			}
			for n := range size.jobs {
				h.submit(lastingSpec(2000 + int64(n*37%4000)))
			}
			h.o.place()
			h.now = h.now.Add(minClaimWait)
			h.reportAllRunning()
			h.o.place()
			b.ResetTimer()
			for b.Loop() {
				h.o.place()
			}
		})
	}
}
