package relayer

import "time"

// kind is a kind of calls that the store may answer while it does not answer others.
type kind int

const (
	kindRead kind = iota
	kindTransaction
	kindLease
	kinds // number of kinds
)

// kind returns the kind of the call.
func (c *call) kind() kind {
	switch c.Op {
	case opCommit:
		return kindTransaction
	case opCreateLease, opRenewLease, opRevokeLease:
		return kindLease
	}
	return kindRead
}

// maxSilenceGap is how long after the last call without an answer a silence counts on. Reads and renewals of
// leases go on all the time, transactions come with callers: nothing else may show the end of an outage.
const maxSilenceGap = 10 * time.Second

// silence is a time in which the store answers no call of a kind. The zero value is none.
type silence struct {
	since, failedAt time.Time
}

// extend notes a call without an answer.
func (s *silence) extend(sent, now time.Time) {
	if s.length(sent) == 0 {
		s.since = sent
	}
	s.failedAt = now
}

// length returns for how long the silence has lasted.
func (s *silence) length(now time.Time) time.Duration {
	if s.since.IsZero() || now.Sub(s.failedAt) > maxSilenceGap {
		return 0
	}
	return now.Sub(s.since)
}
