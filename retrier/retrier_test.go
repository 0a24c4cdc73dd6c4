package retrier

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	// slowRejection is how long a submission is tried before it is rejected while the entry does
	// not yet count on an outage, which it does from failFastAfter on.
	slowRejection, failFastAfter = 350 * time.Millisecond, 600 * time.Millisecond
	// maxLag is for how long an entry may not notice an outage.
	maxLag = 600 * time.Millisecond
	// roundTrip is the time of a call and its reply.
	roundTrip = 5 * time.Millisecond
)

// policy returns the delay of a caller that is rejected at an age of an outage.
type policy func(caller string, outage time.Duration) time.Duration

func built(caller string, outage time.Duration) time.Duration {
	return Delay(Rejection{Cause: StoreUnavailable, Caller: caller, Outage: outage})
}

func constant(d time.Duration) policy {
	return func(string, time.Duration) time.Duration { return d }
}

// replay returns when a caller that arrives at a time of an outage is served, and whether it is.
func (p policy) replay(caller string, arrival, length time.Duration, lag func() time.Duration) (time.Duration, bool) {
	at := arrival
	for retry := 0; ; retry++ {
		if at >= length {
			return at, true
		}
		if at < failFastAfter {
			at += slowRejection // tried again meanwhile
			if at >= length {
				return at, true
			}
		}
		if retry == Retries {
			return 0, false
		}
		at += p(caller, max(at-lag(), time.Millisecond)) + roundTrip
	}
}

// outcome is what the callers of an outage got.
type outcome struct {
	served float64 // share
	// excess is the mean time after the outage at which they were served, burst the highest rate of
	// their returns in half a second, as a multiple of the rate of arrivals, those included.
	excess time.Duration
	burst  float64
	// worth is the mean value of their jobs with a critical path and an objective.
	quick, batch float64
}

func (p policy) outage(length time.Duration) outcome {
	const callers = 6000
	const window = 500 * time.Millisecond
	r := rand.New(rand.NewPCG(1, uint64(length)))
	var o outcome
	returns := map[time.Duration]int{}
	var excess time.Duration
	for n := range callers {
		arrival := time.Duration(r.Float64() * float64(length))
		at, ok := p.replay(fmt.Sprint(n), arrival, length, func() time.Duration { return time.Duration(r.Float64() * float64(maxLag)) })
		if !ok {
			continue
		}
		o.served++
		excess += at - length
		returns[(at-length)/window]++
		o.quick += value(at-arrival+1600*time.Millisecond, 2650*time.Millisecond)
		o.batch += value(at-arrival+3400*time.Millisecond, 7800*time.Millisecond)
	}
	for _, n := range returns {
		o.burst = max(o.burst, 1+float64(n)/callers*float64(length)/float64(window))
	}
	o.excess = excess / time.Duration(max(o.served, 1))
	o.served, o.quick, o.batch = o.served/callers, o.quick/callers, o.batch/callers
	return o
}

// value returns the share of a job's value that is left when it completes after a time.
func value(took, objective time.Duration) float64 {
	switch {
	case took <= objective:
		return 1
	case took <= 3*objective:
		return 0.15
	}
	return 0
}

// Callers with 4 retries used them up within 4 s of an outage of 5.4 s. An outage of up to 10 s must
// be survived from each moment of it, with each schedule, while entries notice it late.
func TestEachCallerOutlastsAnOutage(t *testing.T) {
	for lag := time.Duration(0); lag <= maxLag; lag += 100 * time.Millisecond {
		t.Run(lag.String(), func(t *testing.T) {
			c := qt.New(t)
			for length := time.Second; length <= Reach; length += 200 * time.Millisecond {
				for arrival := time.Duration(0); arrival < length; arrival += 10 * time.Millisecond {
					for caller := range 2 * len(schedules) {
						_, ok := policy(built).replay(fmt.Sprint(caller), arrival, length, func() time.Duration { return lag })
						c.Assert(ok, qt.IsTrue, qt.Commentf("outage of %v, arrival after %v, caller %d", length, arrival, caller))
					}
				}
			}
		})
	}
}

// The policy is compared with the constant second, and with the constant that reaches as far: it
// must serve more callers than the first, and be less late and return them more spread out than the
// second.
func TestOutagesOfOneToTenSeconds(t *testing.T) {
	c := qt.New(t)
	var sums [4]outcome
	names := []string{"built", "1 s", "2 s", "3 s"}
	policies := []policy{built, constant(time.Second), constant(2 * time.Second), constant(3 * time.Second)}
	lengths := []time.Duration{}
	for s := range 10 {
		lengths = append(lengths, time.Duration(s+1)*time.Second)
	}
	for _, length := range append(lengths, 5400*time.Millisecond) {
		for n, p := range policies {
			o := p.outage(length)
			t.Logf("%5v %-6s served %.3f, %4d ms after, burst %.1f, quick jobs %.3f, batch jobs %.3f", length, names[n], o.served, o.excess.Milliseconds(), o.burst, o.quick, o.batch)
			sums[n].served += o.served
			sums[n].excess += o.excess
			sums[n].burst = max(sums[n].burst, o.burst)
			if n == 0 {
				c.Check(o.served, qt.Equals, 1.0, qt.Commentf("%v", length))
			}
		}
	}
	c.Check(sums[0].served > sums[1].served, qt.IsTrue)
	c.Check(sums[0].excess < sums[3].excess+time.Second, qt.IsTrue)
	c.Check(sums[0].burst < sums[1].burst, qt.IsTrue)
}

// Retry-After holds whole seconds, and 0 would send the caller back at once.
func TestDelaysAreWholeSecondsOfAtLeastOne(t *testing.T) {
	c := qt.New(t)
	for _, outage := range []time.Duration{-time.Second, 0, 1, 400 * time.Millisecond, 3 * time.Second, time.Hour} {
		for _, room := range []time.Duration{-time.Second, 0, 1, 300 * time.Millisecond, 2 * time.Second, time.Hour} {
			for caller := range 50 {
				d := Delay(Rejection{Cause: QueueFull, Caller: fmt.Sprint(caller), Outage: outage, Room: room})
				c.Assert(d >= minDelay && d <= maxDelay && d%time.Second == 0, qt.IsTrue, qt.Commentf("%v", d))
			}
		}
	}
}

// A caller that is rejected while the store answers, as its entry has no configuration or the owner
// has just changed, was to wait as long as in the outage before.
func TestDelaysAreShortWithoutAnOutage(t *testing.T) {
	c := qt.New(t)
	for _, cause := range []Cause{StoreUnavailable, TooManyCancels, Unconfigured, Outdated, StateUnavailable} {
		for caller := range 50 {
			c.Assert(Delay(Rejection{Cause: cause, Caller: fmt.Sprint(caller)}), qt.Equals, minDelay)
		}
	}
}

// Callers that find no room return while it comes free, not all at its beginning.
func TestCallersWithoutRoomReturnSpreadOut(t *testing.T) {
	for _, room := range []time.Duration{time.Second, 2 * time.Second} {
		c := qt.New(t)
		counts := map[time.Duration]int{}
		for caller := range 1000 {
			counts[Delay(Rejection{Cause: QueueFull, Caller: fmt.Sprint(caller), Room: room})]++
		}
		c.Check(counts, qt.HasLen, 2)
		c.Check(counts[room] > 400 && counts[room+time.Second] > 400, qt.IsTrue, qt.Commentf("%v", counts))
	}
}
