package predictor

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivefall/endivefall/simulator"
)

var start = time.Unix(1000, 0)

// pressOf is the press of the images in these tests.
func pressOf(fills, _ string) float64 { return map[string]float64{"heavy": 2, "light": 0.1}[fills] }

// watch has a profiler watch a task whose load swings, beside uses that change.
func watch(p *Predictor, ticks int, use func(n int) Usage) *simulator.ServingTask {
	s := &simulator.ServingTask{Image: "s", BaseTailMs: 25, Load: 0.45, LoadAmplitude: 0.5, Period: 20 * time.Second}
	crowd := simulator.SimulatedWorker{Tasks: []*simulator.ServingTask{s}, Interference: pressOf, Rand: rand.New(rand.NewPCG(1, 2))}
	sharp := NewUnsmoother()
	for n := range ticks {
		at := time.Duration(n) * simulator.MeasurementInterval
		crowd.UpdateMeasurements(at, use(n))
		if tail, spread, ok := sharp.Unsmooth("run", start.Add(at), s.ReportedTailMs); ok {
			p.Learn(start.Add(at), Sample{Group: "g", Image: "s", Rate: 1000 / tail, StdErr: 1000 * spread / tail / tail}, use(n))
		}
	}
	return s
}

// Two images take turns beside a task whose own load swings meanwhile.
func TestPressIsLearnedBesideASwingingLoad(t *testing.T) {
	c := qt.New(t)
	p := New()
	watch(p, 160, func(n int) Usage {
		use := Usage{}
		if n/6%3 == 1 {
			use["heavy"] = 0.1
		}
		if n/9%2 == 1 {
			use["light"] = 0.3
		}
		return use
	})
	// A load of 1 is a rate of 1/25 ms = 40/s.
	heavy, _ := p.Interference("heavy", "s")
	light, _ := p.Interference("light", "s")
	c.Check(math.Abs(heavy-80) < 16, qt.IsTrue, qt.Commentf("%g, 80 is right", heavy))
	c.Check(math.Abs(light-4) < 8, qt.IsTrue, qt.Commentf("%g, 4 is right", light))
	c.Check(p.Observed("other", "s"), qt.IsFalse)
	other, spread := p.Interference("other", "s")
	c.Check(other > light && other < heavy && spread > other/2, qt.IsTrue, qt.Commentf("%g, %g", other, spread))
}

func TestALoadIsForeseen(t *testing.T) {
	c := qt.New(t)
	p := New()
	const ticks = 60 // the load rises fastest at the end of a swing's first quarter but 5 s
	watch(p, ticks, func(int) Usage { return nil })
	at := time.Duration(ticks-1) * simulator.MeasurementInterval
	for _, ahead := range []time.Duration{0, 500 * time.Millisecond, time.Second} {
		load := 0.45 * (1 + 0.5*math.Sin(2*math.Pi*float64(at+ahead)/float64(20*time.Second)))
		rate, spread, ok := p.SpareRate("g", "", start.Add(at+ahead))
		c.Assert(ok, qt.IsTrue)
		c.Check(math.Abs(rate-40*(1-load)) < 3, qt.IsTrue, qt.Commentf("%v: %g of %g", ahead, rate, 40*(1-load)))
		c.Check(spread < 4, qt.IsTrue, qt.Commentf("%v: %g", ahead, spread))
	}
	_, _, ok := p.SpareRate("unknown", "", start)
	c.Assert(ok, qt.IsFalse)
}

func TestRoomKeepsAMarginAndTheTrend(t *testing.T) {
	c := qt.New(t)
	p := New()
	watch(p, 40, func(int) Usage { return nil })
	at := start.Add(39 * simulator.MeasurementInterval)
	spare, _, _ := p.SpareRate("g", "", at)
	room, ok := p.Headroom("g", "", at, at.Add(time.Second), 125)
	c.Assert(ok, qt.IsTrue)
	c.Assert(room < spare-RequiredRate(125), qt.IsTrue)
	none, _ := p.Headroom("g", "", at, at, 20)
	c.Assert(none, qt.Equals, 0.0, qt.Commentf("the target is below the tail of an idle task"))
}

// A tail of seconds tells that there is too much, not how much.
func TestAnOverloadedTaskTellsNoLessThanIsKnown(t *testing.T) {
	c := qt.New(t)
	p := New()
	p.Learn(start, Sample{Group: "g", Image: "s", Rate: 20}, nil)
	p.Merge(start, "heavy", "s", 100, 10)
	p.Learn(start, Sample{Group: "g", Image: "s", Rate: 0.5}, Usage{"heavy": 0.5})
	press, _ := p.Interference("heavy", "s")
	c.Assert(press >= 100, qt.IsTrue, qt.Commentf("%g", press))
}

func TestWhatAnotherProcessKnowsIsTakenWhereItIsMore(t *testing.T) {
	c := qt.New(t)
	p := New()
	p.Merge(start, "f", "s", 30, 2)
	p.Merge(start, "f", "s", 90, 5)
	press, spread := p.Interference("f", "s")
	c.Assert(press, qt.Equals, 30.0)
	c.Assert(spread, qt.Equals, 2.0)
}

func TestLoadsOfStepsThatEndedAreForgotten(t *testing.T) {
	c := qt.New(t)
	p := New()
	for n := range 3 {
		p.Learn(start, Sample{Group: fmt.Sprint(n), Image: "s", Rate: 20}, nil)
	}
	p.Merge(start, "f", "s", 7, 1)
	p.Forget("1")
	p.Retain(map[string]bool{"2": true}, nil)
	c.Assert(p.groups, qt.HasLen, 1)
	c.Assert(p.images["s"].mean, qt.HasLen, 3, qt.Commentf("a load, its trend and a press"))
	press, _ := p.Interference("f", "s")
	c.Assert(press, qt.Equals, 7.0)
	rate, _, ok := p.SpareRate("2", "", start)
	c.Assert(ok, qt.IsTrue)
	c.Assert(rate > 10, qt.IsTrue)
}

func TestSharpening(t *testing.T) {
	c := qt.New(t)
	s := NewUnsmoother()
	_, _, ok := s.Unsmooth("r", start, 100)
	c.Assert(ok, qt.IsFalse, qt.Commentf("one figure tells nothing"))
	for name, one := range map[string]struct {
		after time.Duration
		tail  float64
		want  float64
		ok    bool
	}{
		"a rise":             {figureEvery, 200, 300, true},
		"one figure missed":  {2 * figureEvery, 175, 200, true},
		"a steep fall":       {figureEvery, 52, 4, false},
		"no figure":          {figureEvery, 0, 0, false},
		"the same figure":    {figureEvery, 100, 100, true},
		"after a long while": {time.Minute, 300, 313, true},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			s := NewUnsmoother()
			s.Unsmooth("r", start, 100)
			got, spread, ok := s.Unsmooth("r", start.Add(one.after), one.tail)
			c.Assert(ok, qt.Equals, one.ok)
			if ok {
				c.Assert(math.Abs(got-one.want) < 1, qt.IsTrue, qt.Commentf("%g", got))
				c.Assert(spread > 0 && spread < got, qt.IsTrue)
			}
		})
	}
	s.Retain(map[string]bool{})
	c.Assert(s.last, qt.HasLen, 0)
}
