package router

import "time"

// Limits of ejection.
const (
	// ejectAfterFailures is the number of consecutive failures that ejects a
	// target.
	ejectAfterFailures = 5
	// ejectFailureShare is the share of recent failures above which a target
	// is ejected.
	ejectFailureShare = 0.5
	// minResponses is the number of responses before the failure share
	// counts.
	minResponses = 10
	// failureShareWeight is the weight of one response in the failure share.
	failureShareWeight = 0.1
	// minEjection and maxEjection limit the duration of an ejection, which
	// doubles with each ejection and halves with each restore.
	minEjection = 1 * time.Second
	maxEjection = 60 * time.Second
	// maxEjectedShare is the largest share of a service's targets that may be
	// ejected.
	maxEjectedShare = 0.34
)

// health tracks the failures and ejections of a target. Router.mu guards it.
type health struct {
	responses, consecutiveFailures int
	failureShare                   float64 // moving average of failed responses, from 0 to 1
	// probeAt is when an ejected target may get a probe; zero if the target
	// is not ejected.
	probeAt        time.Time
	ejections      int // increased by an ejection, decreased by a restore
	probesInFlight int // at most one
}

func (h *health) ejected() bool { return !h.probeAt.IsZero() }

// usable reports whether the target may get a request now: it is not ejected,
// or is due for a probe.
func (h *health) usable(now time.Time) bool {
	return !h.ejected() || (!now.Before(h.probeAt) && h.probesInFlight == 0)
}

// record records the result of a request and reports whether the target
// should be ejected.
func (h *health) record(failed bool) bool {
	h.responses++
	h.failureShare += failureShareWeight * (0 - h.failureShare)
	h.consecutiveFailures++
	if !failed {
		h.consecutiveFailures = 0
		return false
	}
	h.failureShare += failureShareWeight
	return h.consecutiveFailures >= ejectAfterFailures || (h.responses >= minResponses && h.failureShare > ejectFailureShare)
}

func (h *health) eject(now time.Time) {
	ejection := min(minEjection<<min(h.ejections, 10), maxEjection)
	h.ejections++
	h.probeAt = now.Add(ejection)
	h.consecutiveFailures, h.responses, h.failureShare = 0, 0, 0
}

func (h *health) restore() {
	h.probeAt = time.Time{}
	h.ejections = max(h.ejections-1, 0)
}
