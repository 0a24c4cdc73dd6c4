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

var size = parser.Resources{Processors: 16, Memory: 60 * decoder.GiB}

func fleet(n int, now func() time.Time) *Placer {
	p := New(Config{Now: now, Rand: rand.New(rand.NewPCG(1, 1))})
	for i := range n {
		p.Update(Agent{ID: fmt.Sprintf("a%05d", i), Total: size, Free: size})
	}
	return p
}

func TestPick(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(0, 0)
	one := Request{Need: parser.Resources{Processors: 1, Memory: decoder.GiB}}
	c.Run("never more than an agent told it has free", func(c *qt.C) {
		p := fleet(1, func() time.Time { return now })
		n := 0
		for ; ; n++ {
			if _, ok := p.Pick(one); !ok {
				break
			}
		}
		c.Assert(n, qt.Equals, 16)
	})
	c.Run("not where the contract is at risk, unless it is urgent", func(c *qt.C) {
		p := fleet(0, func() time.Time { return now })
		p.Update(Agent{ID: "a", Total: size, Free: size, UnderPressure: true})
		got, ok := p.Pick(one)
		c.Assert(ok, qt.IsFalse)
		c.Assert(got.Alternatives, qt.DeepEquals, []Alternative{{ID: "a", Reason: "contract-at-risk"}})
		urgent := one
		urgent.Urgent = true
		_, ok = p.Pick(urgent)
		c.Assert(ok, qt.IsTrue)
	})
	c.Run("a worker at which several runs fail is set aside, and tried again later", func(c *qt.C) {
		p := fleet(1, func() time.Time { return now })
		c.Assert(p.RecordResult("a00000", "r1", true), qt.IsFalse)
		c.Assert(p.RecordResult("a00000", "r1", true), qt.IsFalse, qt.Commentf("one run's failures are its own"))
		c.Assert(p.RecordResult("a00000", "r2", true), qt.IsFalse)
		c.Assert(p.RecordResult("a00000", "r3", true), qt.IsTrue)
		_, ok := p.Pick(one)
		c.Assert(ok, qt.IsFalse)
		now = now.Add(firstAside + time.Second)
		_, ok = p.Pick(one)
		c.Assert(ok, qt.IsTrue)
	})
	c.Run("a job that fits no instance is known at once", func(c *qt.C) {
		p := fleet(3, func() time.Time { return now })
		largest, fits := p.Largest(parser.Resources{Processors: 17})
		c.Assert(fits, qt.IsFalse)
		c.Assert(largest, qt.Equals, size)
	})
}

// BenchmarkPick is the time of one placement by the size of the fleet.
func BenchmarkPick(b *testing.B) {
	for _, n := range []int{100, 1_000, 17_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			p := fleet(n, time.Now)
			w := Request{Need: parser.Resources{Processors: 0.001, Memory: 1}}
			for b.Loop() {
				if _, ok := p.Pick(w); !ok {
					b.Fatal("no room")
				}
			}
		})
	}
}
