package router

import (
	"time"

	"github.com/endivefall/endivefall/messenger"
)

// Target is what one entry knows of a target of a service. The Router's lock
// guards it.
type Target struct {
	ID     string
	Domain string
	// joined is when the target was announced.
	joined time.Time
	// own counts this entry's requests at the target.
	own int
	// told is the load that the target's agent told last, at toldAt, when this
	// entry had toldOwn requests there.
	told    messenger.Load
	toldOwn int
	toldAt  time.Time
	// trip is the round trip to the target's agent.
	trip time.Duration
	// hold is the mean time that a request holds a slot.
	hold    time.Duration
	leaving bool
	health  health
}

// queue estimates how many requests run or wait at the target: what others had
// there when it was told, and what this entry has there now.
func (t *Target) queue() int {
	return max(t.told.Running+t.told.Waiting-t.toldOwn, 0) + t.own
}

// slots returns the target's slots as they count now; a fresh target gets them
// step by step.
func (t *Target) slots(now time.Time) float64 {
	slots := float64(max(t.told.Slots, 1))
	age := now.Sub(t.joined)
	if age >= slowStart {
		return slots
	}
	return max(1, slots*float64(age)/float64(slowStart))
}

// score estimates how long a request sent now would take; lower is better. An
// estimate that is old moves towards the fleet's, so that a target that was
// slow once is tried again.
func (t *Target) score(now time.Time, fleet time.Duration) float64 {
	hold := t.hold
	if hold == 0 {
		hold = fleet
	}
	if idle := now.Sub(t.toldAt); hold > fleet && idle > forget {
		hold = fleet + time.Duration(float64(hold-fleet)*float64(forget)/float64(idle))
	}
	slots := t.slots(now)
	queued := float64(t.queue())
	wait := crowding * queued / slots
	if queued >= slots {
		wait += (queued - slots + 1) / slots
	}
	return float64(t.trip) + float64(hold)*(1+wait)
}
