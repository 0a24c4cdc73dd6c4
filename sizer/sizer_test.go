package sizer

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/endivefall/endivefall/decoder"
	"github.com/endivefall/endivefall/parser"
)

func need(processors float64, memory decoder.Size) parser.Resources {
	return parser.Resources{Processors: processors, Memory: memory}
}

func sized(declared, peak parser.Resources) parser.Resources {
	s := New()
	for range enough {
		s.Observe("team/job", peak)
	}
	return s.Size("team/job", declared)
}

func TestSizes(t *testing.T) {
	c := qt.New(t)
	declared := need(4, 8*decoder.GiB)
	c.Run("a size moves towards the peak with a margin", func(c *qt.C) {
		got := sized(declared, need(1, 2*decoder.GiB))
		c.Assert(got.Processors > 1 && got.Processors < 1.3, qt.IsTrue)
		c.Assert(got.Memory > 2*decoder.GiB && got.Memory < 3*decoder.GiB, qt.IsTrue)
	})
	c.Run("a size that was too small grows", func(c *qt.C) {
		c.Assert(sized(declared, need(4, 12*decoder.GiB)).Memory > 12*decoder.GiB, qt.IsTrue)
	})
	c.Run("a few tasks tell nothing yet", func(c *qt.C) {
		s := New()
		s.Observe("team/job", need(1, decoder.GiB))
		c.Assert(s.Size("team/job", declared), qt.Equals, declared)
	})
	c.Run("a task without a measurement tells nothing", func(c *qt.C) {
		c.Assert(sized(declared, parser.Resources{}), qt.Equals, declared)
	})
}

// TestTaskThatTakesAllItIsGivenDoesNotGrow: such tasks show their reservation
// as their peak, and the margin raised it again and again, until no instance
// had room and the jobs never ended (history with seed 8).
func TestTaskThatTakesAllItIsGivenDoesNotGrow(t *testing.T) {
	c := qt.New(t)
	s := New()
	declared := need(3, decoder.GiB)
	for range 1000 {
		s.Observe("team/job", s.Size("team/job", declared))
	}
	c.Assert(s.Size("team/job", declared), qt.Equals, declared)
}
