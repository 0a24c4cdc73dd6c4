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

// coefficientOf returns the interference of the images in these tests.
func coefficientOf(bestEffortImage, _ string) float64 {
	return map[string]float64{"heavy": 2, "light": 0.1}[bestEffortImage]
}

// learnFrom feeds a predictor the samples of a serving task whose load swings, while
// best-effort images use the worker to varying degrees.
func learnFrom(p *Predictor, ticks int, usage func(n int) Usage) *simulator.ServingTask {
	serving := &simulator.ServingTask{Image: "s", BaseTailMs: 25, Load: 0.45, LoadAmplitude: 0.5, Period: 20 * time.Second}
	worker := simulator.SimulatedWorker{Tasks: []*simulator.ServingTask{serving}, Interference: coefficientOf, Rand: rand.New(rand.NewPCG(1, 2))}
	unsmoother := NewUnsmoother()
	for n := range ticks {
		at := time.Duration(n) * simulator.MeasurementInterval
		worker.UpdateMeasurements(at, usage(n))
		if tailMs, stdErr, ok := unsmoother.Unsmooth("run", start.Add(at), serving.ReportedTailMs); ok {
			p.Learn(start.Add(at), Sample{Group: "g", Image: "s", Rate: 1000 / tailMs, StdErr: 1000 * stdErr / tailMs / tailMs}, usage(n))
		}
	}
	return serving
}

// Two best-effort images run in turns while the load of the serving task swings.
func TestInterferenceIsLearnedUnderSwingingLoad(t *testing.T) {
	c := qt.New(t)
	p := New()
	learnFrom(p, 160, func(n int) Usage {
		usage := Usage{}
		if n/6%3 == 1 {
			usage["heavy"] = 0.1
		}
		if n/9%2 == 1 {
			usage["light"] = 0.3
		}
		return usage
	})
	// A load of 1 is a rate of 1/25 ms = 40/s.
	heavy, _ := p.Interference("heavy", "s")
	light, _ := p.Interference("light", "s")
	c.Check(math.Abs(heavy-80) < 16, qt.IsTrue, qt.Commentf("%g, want 80", heavy))
	c.Check(math.Abs(light-4) < 8, qt.IsTrue, qt.Commentf("%g, want 4", light))
	c.Check(p.HasEstimate("other", "s"), qt.IsFalse)
	other, stdErr := p.Interference("other", "s")
	c.Check(other > light && other < heavy && stdErr > other/2, qt.IsTrue, qt.Commentf("%g, %g", other, stdErr))
}

func TestSpareRateIsPredicted(t *testing.T) {
	c := qt.New(t)
	p := New()
	const ticks = 60 // up to 14.75 s of a 20 s period: the load is lowest and begins to rise
	learnFrom(p, ticks, func(int) Usage { return nil })
	at := time.Duration(ticks-1) * simulator.MeasurementInterval
	for _, ahead := range []time.Duration{0, 500 * time.Millisecond, time.Second} {
		load := 0.45 * (1 + 0.5*math.Sin(2*math.Pi*float64(at+ahead)/float64(20*time.Second)))
		rate, stdErr, ok := p.SpareRate("g", "", start.Add(at+ahead))
		c.Assert(ok, qt.IsTrue)
		c.Check(math.Abs(rate-40*(1-load)) < 3, qt.IsTrue, qt.Commentf("%v: %g, want %g", ahead, rate, 40*(1-load)))
		c.Check(stdErr < 4, qt.IsTrue, qt.Commentf("%v: %g", ahead, stdErr))
	}
	_, _, ok := p.SpareRate("unknown", "", start)
	c.Assert(ok, qt.IsFalse)
}

func TestHeadroomKeepsMargin(t *testing.T) {
	c := qt.New(t)
	p := New()
	learnFrom(p, 40, func(int) Usage { return nil })
	at := start.Add(39 * simulator.MeasurementInterval)
	spare, _, _ := p.SpareRate("g", "", at)
	headroom, ok := p.Headroom("g", "", at, at.Add(time.Second), 125)
	c.Assert(ok, qt.IsTrue)
	c.Assert(headroom < spare-RequiredRate(125), qt.IsTrue)
	none, _ := p.Headroom("g", "", at, at, 20)
	c.Assert(none, qt.Equals, 0.0, qt.Commentf("the target is below the tail of an idle task"))
}

// A tail latency of seconds shows that the task is overloaded, but not by how much.
func TestOverloadedSampleDoesNotLowerInterference(t *testing.T) {
	c := qt.New(t)
	p := New()
	p.Learn(start, Sample{Group: "g", Image: "s", Rate: 20}, nil)
	p.Merge(start, "heavy", "s", 100, 10)
	p.Learn(start, Sample{Group: "g", Image: "s", Rate: 0.5}, Usage{"heavy": 0.5})
	coefficient, _ := p.Interference("heavy", "s")
	c.Assert(coefficient >= 100, qt.IsTrue, qt.Commentf("%g", coefficient))
}

func TestMergeKeepsTheMoreCertainEstimate(t *testing.T) {
	c := qt.New(t)
	p := New()
	p.Merge(start, "f", "s", 30, 2)
	p.Merge(start, "f", "s", 90, 5)
	coefficient, stdErr := p.Interference("f", "s")
	c.Assert(coefficient, qt.Equals, 30.0)
	c.Assert(stdErr, qt.Equals, 2.0)
}

func TestForgetAndRetainDropLoads(t *testing.T) {
	c := qt.New(t)
	p := New()
	for n := range 3 {
		p.Learn(start, Sample{Group: fmt.Sprint(n), Image: "s", Rate: 20}, nil)
	}
	p.Merge(start, "f", "s", 7, 1)
	p.Forget("1")
	p.Retain(map[string]bool{"2": true}, nil)
	c.Assert(p.groups, qt.HasLen, 1)
	c.Assert(p.images["s"].mean, qt.HasLen, 3, qt.Commentf("a load, its trend and a coefficient"))
	coefficient, _ := p.Interference("f", "s")
	c.Assert(coefficient, qt.Equals, 7.0)
	rate, _, ok := p.SpareRate("2", "", start)
	c.Assert(ok, qt.IsTrue)
	c.Assert(rate > 10, qt.IsTrue)
}

func TestUnsmooth(t *testing.T) {
	c := qt.New(t)
	u := NewUnsmoother()
	_, _, ok := u.Unsmooth("r", start, 100)
	c.Assert(ok, qt.IsFalse, qt.Commentf("a single measurement is not enough"))
	for name, tc := range map[string]struct {
		after time.Duration
		tail  float64
		want  float64
		ok    bool
	}{
		"rising tail latency":          {measurementInterval, 200, 300, true},
		"one measurement missed":       {2 * measurementInterval, 175, 200, true},
		"steeply falling tail latency": {measurementInterval, 52, 4, false},
		"no measurement":               {measurementInterval, 0, 0, false},
		"same measurement":             {measurementInterval, 100, 100, true},
		"after a minute":               {time.Minute, 300, 313, true},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			u := NewUnsmoother()
			u.Unsmooth("r", start, 100)
			got, stdErr, ok := u.Unsmooth("r", start.Add(tc.after), tc.tail)
			c.Assert(ok, qt.Equals, tc.ok)
			if ok {
				c.Assert(math.Abs(got-tc.want) < 1, qt.IsTrue, qt.Commentf("%g", got))
				c.Assert(stdErr > 0 && stdErr < got, qt.IsTrue)
			}
		})
	}
	u.Retain(map[string]bool{})
	c.Assert(u.last, qt.HasLen, 0)
}

// Half a standard error of each predicted load was left unused beside the margin below the target:
// on contended workers best-effort jobs earned 0.70 of their worth in place of 0.80.
func TestHeadroomLeavesNoMoreThanTheMargin(t *testing.T) {
	c := qt.New(t)
	p, at := New(), time.Unix(1000, 0)
	for n := range 8 {
		at = at.Add(250 * time.Millisecond)
		p.Learn(at, Sample{Group: "g", Image: "s", Rate: 60 - float64(n), StdErr: 6, RequiredRate: RequiredRate(100)}, nil)
	}
	until := at.Add(600 * time.Millisecond)
	now, _, _ := p.SpareRate("g", "", at)
	later, stdErr, _ := p.SpareRate("g", "", until)
	c.Assert(later < now && stdErr > 1, qt.IsTrue, qt.Commentf("%g, later %g with an error of %g", now, later, stdErr))
	headroom, ok := p.Headroom("g", "", at, until, 100)
	c.Assert(ok, qt.IsTrue)
	c.Check(headroom, qt.Equals, later-RequiredRate(100)*(1+targetMargin))
}
