package orchestrator

import "time"

const (
	// minAgentsForIsolation is the number of agents below which ownership is not
	// released for unreachable ones.
	minAgentsForIsolation = 3
	// firstContactTimeout is how long the agents have to find a new owner: they need two
	// seconds to give up one that acts on an old confirmation, and then look up and dial
	// the next one.
	firstContactTimeout = 6 * time.Second
)

// isolation decides when an owner that reaches too few of its agents gives ownership up.
// A partition may have cut it off from them. An owner that agents are still finding their
// way to is not cut off: if it gave up, so would the next one.
type isolation struct {
	// firstContactBy is the time until which agents may still find this owner.
	firstContactBy time.Time
	// since is the time since which too few agents are reachable and their number has
	// not grown; zero while enough are reachable.
	since time.Time
	// reachable is the number of reachable agents at the last call.
	reachable int
	// established is set once most agents have been reachable.
	established bool
}

// giveUp reports whether ownership is to be given up, given how many agents are reachable
// now.
func (i *isolation) giveUp(now time.Time, reachable, agents int) bool {
	grown := reachable > i.reachable
	i.reachable = reachable
	if agents < minAgentsForIsolation || reachable*2 >= agents {
		i.established = i.established || reachable > 0
		i.since = time.Time{}
		return false
	}
	if i.since.IsZero() || grown || !i.established && now.Before(i.firstContactBy) {
		i.since = now
	}
	return now.Sub(i.since) > isolationTimeout
}
