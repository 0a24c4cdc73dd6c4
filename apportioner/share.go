package apportioner

import (
	"time"

	"github.com/endivefall/endivefall/sequencer"
)

// Share bounds the starts of tasks that have no claim and go before others nevertheless: together
// with those that have one they get half of the CPU, over one to two MaxDelay.
type Share struct {
	// current and previous have what was started since and in the MaxDelay before it.
	current, previous started
	since             time.Time
}

// started is CPU that tasks were started with, in thousandths of a core.
type started struct{ first, others int64 }

// AddFirst counts the start of a task that went before others.
func (s *Share) AddFirst(step *sequencer.Step, now time.Time) {
	s.advance(now)
	s.current.first += reservedCPU(step)
}

// AddOther counts the start of any other task. What was started while none went first is no reason
// for many to do so at once.
func (s *Share) AddOther(step *sequencer.Step, now time.Time) {
	s.advance(now)
	if s.current.first+s.previous.first > 0 {
		s.current.others += reservedCPU(step)
	}
}

// Allows reports whether a task without a claim may go before others. The first one always may.
func (s *Share) Allows(step *sequencer.Step, now time.Time) bool {
	s.advance(now)
	first, others := s.current.first+s.previous.first, s.current.others+s.previous.others
	cpu := reservedCPU(step)
	return first == 0 || first+cpu <= (first+cpu+others)/othersShare
}

func (s *Share) advance(now time.Time) {
	switch age := now.Sub(s.since); {
	case age >= 2*MaxDelay:
		*s = Share{since: now}
	case age >= MaxDelay:
		*s = Share{previous: s.current, since: s.since.Add(MaxDelay)}
	}
}
