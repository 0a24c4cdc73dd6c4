// Package retrier derives the Retry-After of a rejected request. It does no I/O.
//
// Load: the store answers nobody for 1 to 10 s while callers go on arriving. A caller retries 4
// times and then gives up its job. A constant second reaches 4 s of an outage, and sends all callers
// of an outage back in its last second at once.
package retrier

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Retries is the number of times that callers repeat a rejected request.
const Retries = 4

// Reach is the longest outage of which each caller is served with Retries, at whatever moment of the
// outage it arrives. Batch jobs still have a value after that time.
const Reach = 10 * time.Second

// Cause is why a request was rejected.
type Cause string

// Causes of a rejection.
const (
	// StoreUnavailable means that the store did not answer, directly or through another entry.
	StoreUnavailable Cause = "store_unavailable"
	// QueueFull means that too many submissions wait for the store.
	QueueFull Cause = "queue_full"
	// Shed means that there is no memory for the submission, or that it arrived too slowly.
	Shed Cause = "shed"
	// TooManyCancels means that too many unknown jobs were canceled.
	TooManyCancels Cause = "too_many_cancels"
	// Unconfigured means that this entry has read no configuration yet.
	Unconfigured Cause = "no_configuration"
	// Outdated means that the path is unknown in a configuration that may be out of date.
	Outdated Cause = "configuration_out_of_date"
	// StateUnavailable means that the state of a job or a queue can't be read at present.
	StateUnavailable Cause = "state_unavailable"
)

// Rejection describes a rejected request.
type Rejection struct {
	Cause Cause
	// Caller identifies the caller over all of its retries, like the ID of its job.
	Caller string
	// Outage is for how long the store has answered nothing; 0 while it answers.
	Outage time.Duration
	// Room is the time until there is room for more requests; 0 if room is not what is lacking.
	Room time.Duration
}

const (
	// minDelay is the delay while no outage is known: another entry may serve the request.
	minDelay = time.Second
	// minRoomSpread is the shortest time over which callers without room return, in whole seconds:
	// less would send them all back at once.
	minRoomSpread = 2 * time.Second
	// maxDelay bounds the delays, so that a caller returns soon after a long outage.
	maxDelay = 4 * time.Second
)

// stage is the delay from an age of the outage on.
type stage struct{ from, delay time.Duration }

// schedules are the sequences of delays that callers follow, each caller one of them by its
// hash, so that callers of one moment return at different ones. An entry knows the age of the
// outage, but not how often a caller has been rejected, so that each schedule is a function of the age
// by which Retries delays reach Reach from any arrival: 1, 3, 3, 3 s; 1, 2, 3, 4 s; and
// 2, 2, 3, 3 s from the beginning. Stages begin early by the time for which an entry may not notice
// an outage. The first of them has a delay of one second, as most outages are short.
var schedules = [][]stage{
	{{0, 1 * time.Second}, {700 * time.Millisecond, 3 * time.Second}},
	{{0, 1 * time.Second}, {700 * time.Millisecond, 2 * time.Second}, {2700 * time.Millisecond, 3 * time.Second}, {5700 * time.Millisecond, 4 * time.Second}},
	{{0, 2 * time.Second}, {3700 * time.Millisecond, 3 * time.Second}},
}

// Delay returns after which time the caller should return, in whole seconds.
func Delay(r Rejection) time.Duration {
	delay := minDelay
	hash := xxhash.Sum64String(r.Caller)
	if r.Outage > 0 {
		for _, s := range schedules[hash%uint64(len(schedules))] {
			if r.Outage >= s.from {
				delay = s.delay
			}
		}
	}
	if r.Room > 0 { // as much comes free in a second period of that length
		spread := float64(hash>>32) / math.MaxUint32
		delay = max(delay, (r.Room + time.Duration(float64(max(r.Room, minRoomSpread))*spread)).Truncate(time.Second))
	}
	return min(delay, maxDelay)
}
