package router

import (
	"time"

	"github.com/endivefall/endivefall/messenger"
)

// Target is an entry's view of a target of a service. Router.mu guards it.
type Target struct {
	ID     string
	Domain string
	// slowStartAt is when the target was added, its agent connected again, or
	// it was restored after an ejection.
	slowStartAt time.Time
	// inFlight counts this entry's requests at the target.
	inFlight int
	// load is the load that the target's agent reported last. It arrived at
	// loadAt, when this entry had inFlightAtLoad requests at the target.
	load           messenger.Load
	inFlightAtLoad int
	loadAt         time.Time
	// rtt is the round-trip time to the target's agent.
	rtt time.Duration
	// serviceTime is the mean time that a request holds a slot; 0 while
	// unknown.
	serviceTime time.Duration
	draining    bool
	health      health
}

// queue estimates how many requests run or wait at the target: those of other
// entries when the load was reported, and those of this entry now.
func (t *Target) queue() int {
	return max(t.load.Running+t.load.Waiting-t.inFlightAtLoad, 0) + t.inFlight
}

// slots returns the number of slots to count on, which rises during slow
// start.
func (t *Target) slots(now time.Time) float64 {
	slots := float64(max(t.load.Slots, 1))
	age := now.Sub(t.slowStartAt)
	if age >= slowStartTime {
		return slots
	}
	return max(1, slots*float64(age)/float64(slowStartTime))
}

// score estimates how long a request sent now would take, in nanoseconds. A high service time decays towards meanLatency while no
// load is reported, so that a target that was slow once is tried again.
func (t *Target) score(now time.Time, meanLatency time.Duration) float64 {
	serviceTime := t.serviceTime
	if serviceTime == 0 {
		serviceTime = meanLatency
	}
	if age := now.Sub(t.loadAt); serviceTime > meanLatency && age > estimateTTL {
		serviceTime = meanLatency + time.Duration(float64(serviceTime-meanLatency)*float64(estimateTTL)/float64(age))
	}
	slots := t.slots(now)
	requests := float64(t.queue())
	wait := utilizationCost * requests / slots
	if requests >= slots {
		wait += (requests - slots + 1) / slots
	}
	return float64(t.rtt) + float64(serviceTime)*(1+wait)
}
