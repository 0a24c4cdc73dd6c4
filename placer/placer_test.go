package placer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivefall/endivefall/decoder"
	"github.com/endivefall/endivefall/parser"
)

var agentSize = parser.Resources{Processors: 16, Memory: 60 * decoder.GiB}

func newPlacer(n int, now func() time.Time) *Placer {
	p := New(Config{Now: now, Rand: rand.New(rand.NewPCG(1, 1))})
	for i := range n {
		p.Update(Agent{ID: fmt.Sprintf("a%05d", i), Total: agentSize, Free: agentSize})
	}
	return p
}

func TestPick(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(0, 0)
	oneProcessor := Request{Need: parser.Resources{Processors: 1, Memory: decoder.GiB}}
	c.Run("never more than the free resources of an agent", func(c *qt.C) {
		p := newPlacer(1, func() time.Time { return now })
		n := 0
		for ; ; n++ {
			if _, ok := p.Pick(oneProcessor); !ok {
				break
			}
		}
		c.Assert(n, qt.Equals, 16)
	})
	c.Run("only urgent tasks where the contract is at risk", func(c *qt.C) {
		p := newPlacer(0, func() time.Time { return now })
		p.Update(Agent{ID: "a", Total: agentSize, Free: agentSize, UnderPressure: true})
		got, ok := p.Pick(oneProcessor)
		c.Assert(ok, qt.IsFalse)
		c.Assert(got.Alternatives, qt.DeepEquals, []Alternative{{ID: "a", Reason: "contract-at-risk"}})
		urgent := oneProcessor
		urgent.Urgent = true
		_, ok = p.Pick(urgent)
		c.Assert(ok, qt.IsTrue)
	})
	c.Run("a worker at which several runs fail is excluded for a time", func(c *qt.C) {
		p := newPlacer(1, func() time.Time { return now })
		c.Assert(p.RecordResult("a00000", "r1", true), qt.IsFalse)
		c.Assert(p.RecordResult("a00000", "r1", true), qt.IsFalse, qt.Commentf("failures of one run count once"))
		c.Assert(p.RecordResult("a00000", "r2", true), qt.IsFalse)
		c.Assert(p.RecordResult("a00000", "r3", true), qt.IsTrue)
		_, ok := p.Pick(oneProcessor)
		c.Assert(ok, qt.IsFalse)
		now = now.Add(minExclusion + time.Second)
		_, ok = p.Pick(oneProcessor)
		c.Assert(ok, qt.IsTrue)
	})
	c.Run("a job that fits on no instance is detected", func(c *qt.C) {
		p := newPlacer(3, func() time.Time { return now })
		largest, fits := p.Largest(parser.Resources{Processors: 17})
		c.Assert(fits, qt.IsFalse)
		c.Assert(largest, qt.Equals, agentSize)
	})
}

// BenchmarkPick measures one placement by the number of agents.
func BenchmarkPick(b *testing.B) {
	for _, n := range []int{100, 1_000, 17_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			p := newPlacer(n, time.Now)
			req := Request{Need: parser.Resources{Processors: 0.001, Memory: 1}}
			for b.Loop() {
				if _, ok := p.Pick(req); !ok {
					b.Fatal("no room")
				}
			}
		})
	}
}
