package router

import "time"

// Bounds of ejection.
const (
	// streak is how many failures in a row eject a target.
	streak = 5
	// badShare is the share of recent failures that ejects a target.
	badShare = 0.5
	// enough is how many answers must be seen before the share counts.
	enough = 10
	// recent is the weight of one answer in the share of failures.
	recent = 0.1
	// firstEject and lastEject bound how long a target is ejected; the time
	// doubles with each ejection that follows soon.
	firstEject = 1 * time.Second
	lastEject  = 60 * time.Second
	// maxEjected is the share of a service's targets that may be ejected.
	maxEjected = 0.34
)

// health is how a target's answers went. The Router's lock guards it.
type health struct {
	seen, row int
	failures  float64 // moving share of failures
	// until is when an ejected target gets a probe; zero when not ejected.
	until  time.Time
	times  int // ejections that followed one another
	probes int // probes under way; at most one
}

func (h *health) ejected() bool { return !h.until.IsZero() }

// usable says whether the target may get a request now: it is well, or due for
// a probe.
func (h *health) usable(now time.Time) bool {
	return !h.ejected() || (!now.Before(h.until) && h.probes == 0)
}

// note takes the end of a request and says whether the target should be
// ejected.
func (h *health) note(failed bool) bool {
	h.seen++
	h.failures += recent * (0 - h.failures)
	h.row++
	if !failed {
		h.row = 0
		return false
	}
	h.failures += recent
	return h.row >= streak || (h.seen >= enough && h.failures > badShare)
}

func (h *health) eject(now time.Time) {
	wait := min(firstEject<<min(h.times, 10), lastEject)
	h.times++
	h.until = now.Add(wait)
	h.row, h.seen, h.failures = 0, 0, 0
}

func (h *health) restore() {
	h.until = time.Time{}
	h.times = max(h.times-1, 0)
}
