package regulator

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// replay sends starts over a link and returns the longest time that a call to the store
// would have waited behind them, and when the last start had arrived. allows decides when
// a start may be sent.
func replay(starts, startBytes, bytesPerSecond int, r *Regulator, allows func(int) bool) (longestWait, last time.Duration) {
	const agents, step, roundTrip = 18, 5 * time.Millisecond, 20 * time.Millisecond
	epoch := time.Unix(1000, 0)
	type arrival struct {
		agent string
		seq   uint64
		at    time.Duration
	}
	var onTheWay []arrival
	seqs := map[string]uint64{}
	linkFree := time.Duration(0)
	for at := time.Duration(0); starts > 0 || len(onTheWay) > 0; at += step {
		now := epoch.Add(at)
		for len(onTheWay) > 0 && onTheWay[0].at <= at {
			r.Confirmed(onTheWay[0].agent, onTheWay[0].seq, now)
			last, onTheWay = onTheWay[0].at, onTheWay[1:]
		}
		for ; starts > 0 && allows(startBytes); starts-- {
			agent := fmt.Sprint("a", starts%agents)
			seqs[agent]++
			r.Sent(agent, Command{Seq: seqs[agent], Bytes: startBytes, SentAt: now})
			linkFree = max(linkFree, at) + time.Duration(startBytes)*time.Second/time.Duration(bytesPerSecond)
			onTheWay = append(onTheWay, arrival{agent, seqs[agent], linkFree + roundTrip})
		}
		longestWait = max(longestWait, linkFree-at)
	}
	return longestWait, last
}

// An owner whose calls to the store wait for more than its live key's 1.5 s is replaced.
// The starts must still use the link.
func TestABacklogIsSentWithoutDelayingCallsToTheStore(t *testing.T) {
	const starts, startBytes = 2000, 450
	for name, bytesPerSecond := range map[string]int{"2 Mbit/s": 250_000, "20 Mbit/s": 2_500_000, "200 Mbit/s": 25_000_000} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			r := New()
			wait, last := replay(starts, startBytes, bytesPerSecond, r, r.Allows)
			c.Check(wait < 400*time.Millisecond, qt.IsTrue, qt.Commentf("calls wait for %v", wait))
			ideal := time.Duration(starts*startBytes) * time.Second / time.Duration(bytesPerSecond)
			c.Check(last < ideal*5/4+300*time.Millisecond, qt.IsTrue, qt.Commentf("sent after %v, the link allows %v", last, ideal))
			c.Check(r.inFlight, qt.Equals, 0)
			burst, _ := replay(starts, startBytes, bytesPerSecond, New(), func(int) bool { return true })
			t.Logf("calls wait for %v, in one burst for %v", wait, burst)
		})
	}
}

func TestCommandsToAFrozenAgentHoldUpNoOthersForLong(t *testing.T) {
	c := qt.New(t)
	r, now := New(), time.Unix(1000, 0)
	r.Sent("frozen", Command{Seq: 1, Bytes: initialWindow, SentAt: now})
	c.Check(r.Allows(100), qt.IsFalse)
	r.Expire(now.Add(confirmationTimeout + time.Millisecond))
	c.Check(r.Allows(100), qt.IsTrue)
	r.Sent("gone", Command{Seq: 1, Bytes: initialWindow, SentAt: now})
	c.Check(r.Allows(100), qt.IsFalse)
	r.Drop("gone")
	c.Check(r.Allows(100), qt.IsTrue)
	c.Check(r.inFlight, qt.Equals, 0)
}
