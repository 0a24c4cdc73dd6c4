package provisioner

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var start = time.Unix(5000, 0)

// The load: long-running tasks that ask for 1.3 times of what there is, and short ones that need 4%
// of the CPU on average, up to 6% at the peak of a wave, and 1.6 times as much in bursts.
const (
	loadWorkers  = 60
	loadTick     = 50 * time.Millisecond
	loadLength   = time.Minute
	shortRate    = 160.0 // tasks a second
	shortCPU     = 1000
	shortTime    = 540 * time.Millisecond
	wavePeriod   = 11 * time.Second
	waveSwing    = 0.55
	burstEvery   = 30 * time.Second
	burstTime    = 4 * time.Second
	burstFactor  = 1.6
	lastingTime  = 70 * time.Second
	lastingShare = 1.3
)

// replayed is what a policy did in the load.
type replayed struct {
	// late is the share of the short tasks that waited for longer than half of their time.
	late float64
	// longestWait is of a short task.
	longestWait time.Duration
	// lastingCPU is the mean CPU that long-running tasks held, as a share of all.
	lastingCPU float64
}

// loadWorker is a worker of the load.
type loadWorker struct{ cpu, short, lasting int64 }

func (w *loadWorker) free() int64 { return w.cpu - w.short - w.lasting }

// end is a task that ends at a time.
type end struct {
	at      time.Time
	w       *loadWorker
	cpu     int64
	lasting bool
}

// replay plays the load with the CPU that keep returns for a worker kept from long-running tasks. Short
// tasks start on the first worker with room, long-running ones where the least is left.
func replay(seed uint64, observe func(now time.Time, demand, capacity int64), keep func(now time.Time, w *loadWorker) int64) replayed {
	rng := rand.New(rand.NewPCG(seed, 1))
	var workers []*loadWorker
	capacity := int64(0)
	for n := range loadWorkers {
		w := &loadWorker{cpu: []int64{32000, 32000, 48000}[n%3]}
		workers, capacity = append(workers, w), capacity+w.cpu
	}
	var waitingShort []time.Time
	var waitingLasting []int64
	var ends []end
	asked, shorts, late, ticks := int64(0), 0, 0, 0
	r := replayed{}
	for now := start; now.Before(start.Add(loadLength)); now = now.Add(loadTick) {
		kept := ends[:0]
		for _, e := range ends {
			switch {
			case e.at.After(now):
				kept = append(kept, e)
			case e.lasting:
				e.w.lasting -= e.cpu
				asked -= e.cpu
			default:
				e.w.short -= e.cpu
			}
		}
		ends = kept
		for float64(asked) < lastingShare*float64(capacity) {
			cpu := 600 + rng.Int64N(7400)
			waitingLasting, asked = append(waitingLasting, cpu), asked+cpu
		}
		if elapsed := now.Sub(start); elapsed > 7*time.Second {
			wave := 1 + waveSwing*math.Sin(2*math.Pi*elapsed.Seconds()/wavePeriod.Seconds())
			if burst := elapsed % burstEvery; burst < burstTime {
				wave *= burstFactor
			}
			for arrivals := shortRate * wave * loadTick.Seconds(); arrivals > rng.Float64(); arrivals-- {
				waitingShort = append(waitingShort, now)
			}
		}
		demand := int64(len(waitingShort)) * shortCPU
		for _, w := range workers {
			demand += w.short
		}
		observe(now, demand, capacity)
		for len(waitingShort) > 0 {
			w := roomiest(workers, shortCPU)
			if w == nil {
				break
			}
			waited := now.Sub(waitingShort[0])
			waitingShort, shorts = waitingShort[1:], shorts+1
			r.longestWait = max(r.longestWait, waited)
			if waited > shortTime/2 {
				late++
			}
			w.short += shortCPU
			ends = append(ends, end{now.Add(shortTime), w, shortCPU, false})
		}
		rest := waitingLasting[:0]
		for _, cpu := range waitingLasting {
			if w := tightest(workers, cpu, now, keep); w != nil {
				w.lasting += cpu
				ends = append(ends, end{now.Add(time.Duration(rng.ExpFloat64() * float64(lastingTime))), w, cpu, true})
			} else {
				rest = append(rest, cpu)
			}
		}
		waitingLasting = rest
		held := int64(0)
		for _, w := range workers {
			held += w.lasting
		}
		r.lastingCPU, ticks = r.lastingCPU+float64(held)/float64(capacity), ticks+1
	}
	r.late, r.lastingCPU = float64(late)/float64(max(shorts, 1)), r.lastingCPU/float64(ticks)
	return r
}

// roomiest returns the worker with the most free CPU if a task fits there.
func roomiest(workers []*loadWorker, cpu int64) *loadWorker {
	best := workers[0]
	for _, w := range workers {
		if w.free() > best.free() {
			best = w
		}
	}
	if best.free() < cpu {
		return nil
	}
	return best
}

// tightest returns the worker where a long-running task leaves the least beyond what is kept, or nil.
func tightest(workers []*loadWorker, cpu int64, now time.Time, keep func(now time.Time, w *loadWorker) int64) *loadWorker {
	var best *loadWorker
	least := int64(0)
	for _, w := range workers {
		if left := w.free() - cpu - keep(now, w); left >= 0 && (best == nil || left < least) {
			best, least = w, left
		}
	}
	return best
}

// TestShortTasksFindRoomBesideLongRunningOnes guards against short tasks that wait for seconds as
// long-running ones hold all CPU. What callers need: nine of ten short tasks start within half of their
// time, and the services keep 0.94 of what they get without it.
func TestShortTasksFindRoomBesideLongRunningOnes(t *testing.T) {
	for seed := range uint64(2) {
		c := qt.New(t)
		d := NewDemand(start)
		built := replay(seed, d.Observe, func(now time.Time, w *loadWorker) int64 { return d.KeptCPU(now, w.cpu, w.short) })
		nothing := replay(seed, func(time.Time, int64, int64) {}, func(time.Time, *loadWorker) int64 { return 0 })
		t.Logf("seed %d: built %+v, nothing kept %+v", seed, built, nothing)
		c.Check(built.late <= 0.1, qt.IsTrue)
		c.Check(nothing.late > built.late, qt.IsTrue, qt.Commentf("the simplest policy"))
		c.Check(built.lastingCPU >= 0.94*nothing.lastingCPU, qt.IsTrue)
	}
}

// TestDemandIsForgotten guards against CPU that is kept for good after a burst, or where short tasks
// never come.
func TestDemandIsForgotten(t *testing.T) {
	c := qt.New(t)
	d := NewDemand(start)
	c.Check(d.KeptCPU(start, 48000, 0), qt.Equals, int64(4000), qt.Commentf("a twelfth before anything is known"))
	c.Check(d.KeptCPU(start.Add(5*halfLife), 48000, 0) < 150, qt.IsTrue)
	d.Observe(start, 50, 100)
	c.Check(d.KeptCPU(start, 48000, 0), qt.Equals, int64(6000), qt.Commentf("an eighth at most"))
	c.Check(d.KeptCPU(start, 48000, 2000), qt.Equals, int64(4000), qt.Commentf("short tasks hold a part of it"))
	c.Check(d.KeptCPU(start, 48000, 9000), qt.Equals, int64(0))
	d.Observe(start.Add(time.Second), 1, 100)
	c.Check(d.KeptCPU(start.Add(time.Second), 48000, 0), qt.Equals, int64(6000), qt.Commentf("a lull changes nothing at once"))
}
