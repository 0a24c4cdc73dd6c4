package sizer

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/endivefall/endivefall/decoder"
	"github.com/endivefall/endivefall/parser"
)

func resources(processors float64, memory decoder.Size) parser.Resources {
	return parser.Resources{Processors: processors, Memory: memory}
}

// sizeAfter returns the size after minTasks tasks with the given peak.
func sizeAfter(declared, peak parser.Resources) parser.Resources {
	s := New()
	for range minTasks {
		s.Observe("team/job", peak)
	}
	return s.Size("team/job", declared)
}

func TestSizes(t *testing.T) {
	c := qt.New(t)
	declared := resources(4, 8*decoder.GiB)
	c.Run("a size moves towards the peak with a margin", func(c *qt.C) {
		got := sizeAfter(declared, resources(1, 2*decoder.GiB))
		c.Assert(got.Processors > 1 && got.Processors < 1.3, qt.IsTrue)
		c.Assert(got.Memory > 2*decoder.GiB && got.Memory < 3*decoder.GiB, qt.IsTrue)
	})
	c.Run("a size below the peak grows", func(c *qt.C) {
		c.Assert(sizeAfter(declared, resources(4, 12*decoder.GiB)).Memory > 12*decoder.GiB, qt.IsTrue)
	})
	c.Run("too few tasks do not change the size", func(c *qt.C) {
		s := New()
		s.Observe("team/job", resources(1, decoder.GiB))
		c.Assert(s.Size("team/job", declared), qt.Equals, declared)
	})
	c.Run("tasks without a measurement do not change the size", func(c *qt.C) {
		c.Assert(sizeAfter(declared, parser.Resources{}), qt.Equals, declared)
	})
}

// TestTaskThatTakesAllItIsGivenDoesNotGrow guards against reservations that
// grow without end: tasks that use everything they reserve have their
// reservation as their peak, and if the margin is added each time, no
// instance has room in the end and the jobs never complete (history with seed
// 8).
func TestTaskThatTakesAllItIsGivenDoesNotGrow(t *testing.T) {
	c := qt.New(t)
	s := New()
	declared := resources(3, decoder.GiB)
	for range 1000 {
		s.Observe("team/job", s.Size("team/job", declared))
	}
	c.Assert(s.Size("team/job", declared), qt.Equals, declared)
}
