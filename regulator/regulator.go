// Package regulator decides how many bytes of commands an owner has on their way to its
// agents. It does no I/O.
//
// Load pattern: power returns with a full backlog, and a new owner with a link of
// 2 Mbit/s has a thousand starts to send at once. Sent as one burst, they delay its calls
// to the store and its acknowledgements until it is replaced.
package regulator

import "time"

// Limits of the window, in bytes, and of the delay that it may cause.
const (
	// initialWindow is delivered in an eighth of a second on a link of 2 Mbit/s.
	initialWindow = 32 << 10
	minWindow     = 4 << 10
	maxWindow     = 4 << 20
	// maxDelay is the time from sending a command to its confirmation above which the
	// window shrinks. Without a queue on the link it takes some 20 ms; the store's live
	// key expires after a second and a half.
	maxDelay = 150 * time.Millisecond
	// shrinkFactor is the part of the window that is kept.
	shrinkFactor = 0.7
	// confirmationTimeout is how long a command without a confirmation counts: its
	// agent may be frozen, which says nothing of the link.
	confirmationTimeout = time.Second
)

// Command is a command that an agent has not confirmed yet.
type Command struct {
	// Seq is its number on the connection, Bytes its approximate size.
	Seq    uint64
	Bytes  int
	SentAt time.Time
}

// Regulator holds the commands on their way to all agents. It is not safe for concurrent
// use.
type Regulator struct {
	// window is the number of bytes that may be on their way.
	window float64
	// pending has the unconfirmed commands by agent, the oldest first; inFlight is the
	// sum of their sizes.
	pending  map[string][]Command
	inFlight int
	// shrinkAfter is when the window may shrink again. Commands sent before it shrank
	// are late for the same reason.
	shrinkAfter time.Time
}

// New returns a Regulator without commands on their way.
func New() *Regulator {
	return &Regulator{window: initialWindow, pending: map[string][]Command{}}
}

// Allows reports whether a command of a size may be sent now.
func (r *Regulator) Allows(bytes int) bool { return r.AllowsBeside(0, bytes) }

// AllowsBeside reports whether a command of a size may be sent beside others that are about to
// be.
func (r *Regulator) AllowsBeside(others, bytes int) bool {
	return r.inFlight+others == 0 || r.inFlight+others+bytes <= int(r.window)
}

// Sent records a command.
func (r *Regulator) Sent(agent string, c Command) {
	r.pending[agent] = append(r.pending[agent], c)
	r.inFlight += c.Bytes
}

// Confirmed records that an agent has got all commands up to a number.
func (r *Regulator) Confirmed(agent string, seq uint64, now time.Time) {
	list := r.pending[agent]
	n := 0
	for ; n < len(list) && list[n].Seq <= seq; n++ {
		r.inFlight -= list[n].Bytes
		r.adapt(list[n], now)
	}
	r.keep(agent, list[n:])
}

// adapt changes the window by how long a command took.
func (r *Regulator) adapt(c Command, now time.Time) {
	switch {
	case now.Sub(c.SentAt) <= maxDelay:
		r.window = min(r.window+float64(c.Bytes), maxWindow)
	case now.After(r.shrinkAfter) && c.SentAt.After(r.shrinkAfter):
		r.window = max(r.window*shrinkFactor, minWindow)
		r.shrinkAfter = now
	}
}

// Expire drops commands that have been on their way for too long.
func (r *Regulator) Expire(now time.Time) {
	for agent, list := range r.pending {
		n := 0
		for ; n < len(list) && now.Sub(list[n].SentAt) > confirmationTimeout; n++ {
			r.inFlight -= list[n].Bytes
		}
		r.keep(agent, list[n:])
	}
}

// Drop drops the commands to an agent whose connection has ended.
func (r *Regulator) Drop(agent string) {
	for _, c := range r.pending[agent] {
		r.inFlight -= c.Bytes
	}
	delete(r.pending, agent)
}

func (r *Regulator) keep(agent string, list []Command) {
	if len(list) == 0 {
		delete(r.pending, agent)
		return
	}
	r.pending[agent] = list
}
