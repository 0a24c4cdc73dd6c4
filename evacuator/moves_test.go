package evacuator

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestMoves guards against more tasks of a step away than its submitter allows, and against moves
// that cost more than they save.
func TestMoves(t *testing.T) {
	long := 10 * time.Second
	for _, test := range []struct {
		name string
		run  Run
		want Action
	}{
		{"service, all others at work", Run{Step: &Step{}, AtWork: true}, Move},
		{"service, one is away", Run{Step: &Step{Unavailable: 1}, AtWork: true}, AwaitTurn},
		{"service, one of two is away", Run{Step: &Step{MaxUnavailable: 2, Unavailable: 1}, AtWork: true}, Move},
		{"service, two of two are away", Run{Step: &Step{MaxUnavailable: 2, Unavailable: 2}, AtWork: true}, AwaitTurn},
		{"service that is itself not at work", Run{Step: &Step{Unavailable: 1}}, Move},
		{"service that is not at work beside another", Run{Step: &Step{Unavailable: 2}}, AwaitTurn},
		{"gang of services", Run{Step: &Step{}, AtWork: true, Gang: true}, Finish},
		{"gang that checkpoints", Run{Gang: true, Checkpointable: true, Remaining: long, Saved: true}, Finish},
		{"long task with a new checkpoint", Run{Checkpointable: true, Remaining: long, Saved: true, CheckpointAge: 200 * time.Millisecond}, Move},
		{"long task with an old checkpoint", Run{Checkpointable: true, Remaining: long, Saved: true, CheckpointAge: 900 * time.Millisecond}, AwaitCheckpoint},
		{"long task without a checkpoint", Run{Checkpointable: true, Remaining: long}, AwaitCheckpoint},
		{"task that soon ends", Run{Checkpointable: true, Remaining: 2 * time.Second, Saved: true}, Finish},
		{"long task that saves nothing", Run{Remaining: long}, Finish},
	} {
		t.Run(test.name, func(t *testing.T) {
			qt.Check(t, Choose(test.run), qt.Equals, test.want)
		})
	}
}

// TestTurnsOfAStep guards against runs of one round that are chosen together, and against a turn
// that is lost to a run without room.
func TestTurnsOfAStep(t *testing.T) {
	c := qt.New(t)
	step := &Step{MaxUnavailable: 2}
	r := Run{Step: step, AtWork: true}
	c.Check([]Action{Choose(r), Choose(r), Choose(r)}, qt.DeepEquals, []Action{Move, Move, AwaitTurn})
	r.Keep()
	c.Check(Choose(r), qt.Equals, Move)
}

// Times of the replayed load.
const (
	round       = 250 * time.Millisecond
	timeToServe = 2500 * time.Millisecond // from the stop of a service to its full work elsewhere
	replayed    = 30 * time.Second
)

// service is a long-running step of 14 tasks, of which several are in the evacuated domain.
type service struct {
	inside int
	backAt []time.Duration // when the moved tasks are at work again
}

func (s *service) unavailable(now time.Duration) int {
	n := 0
	for _, at := range s.backAt {
		if at > now {
			n++
		}
	}
	return n
}

// replay empties a domain with 21 services and returns the most tasks of a service that were away
// at once and the time after which the domain is empty.
func replay(move func(s *service, now time.Duration) int) (worst int, emptyAt time.Duration) {
	services := make([]*service, 21)
	for n := range services {
		services[n] = &service{inside: 3 + n%4} // of 14 tasks in three domains
	}
	for now := time.Duration(0); now < replayed; now += round {
		for _, s := range services {
			for range move(s, now) {
				s.inside--
				s.backAt = append(s.backAt, now+timeToServe)
				emptyAt = now
			}
			worst = max(worst, s.unavailable(now))
		}
	}
	for _, s := range services {
		if s.inside > 0 {
			emptyAt = replayed
		}
	}
	return worst, emptyAt
}

// TestServicesLeaveADomain replays an evacuation beside services without a limit, and compares it
// with the two simplest policies: stop all at once, or leave all where they are.
func TestServicesLeaveADomain(t *testing.T) {
	c := qt.New(t)
	worst, emptyAt := replay(func(s *service, now time.Duration) int {
		step := &Step{Unavailable: s.unavailable(now)}
		moved := 0
		for range s.inside {
			if Choose(Run{Step: step, AtWork: true}) == Move {
				moved++
			}
		}
		return moved
	})
	allAtOnce, _ := replay(func(s *service, _ time.Duration) int { return s.inside })
	_, never := replay(func(*service, time.Duration) int { return 0 })
	t.Logf("at most %d away, empty after %s", worst, emptyAt)
	c.Check(worst, qt.Equals, 1)
	c.Check(emptyAt <= 5*timeToServe+round, qt.IsTrue, qt.Commentf("%s", emptyAt))
	c.Check(allAtOnce, qt.Equals, 6)
	c.Check(never, qt.Equals, replayed)
}

// TestLongRunningTasksMoveOnlyIntoRoomThatNobodyWaitsFor guards against services that took the room of
// waiting work in the domains that are left: batch jobs fell from 0.69 to 0.39 of their worth.
func TestLongRunningTasksMoveOnlyIntoRoomThatNobodyWaitsFor(t *testing.T) {
	for _, test := range []struct {
		name      string
		contended bool
		want      Action
	}{
		{"other work waits", true, AwaitRoom},
		{"nothing waits", false, Move},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			step := &Step{}
			c.Check(Choose(Run{Step: step, AtWork: true, Contended: test.contended}), qt.Equals, test.want)
			c.Check(step.Unavailable, qt.Equals, map[bool]int{true: 0, false: 1}[test.contended], qt.Commentf("counted only if it moves"))
		})
	}
	qt.Check(t, Choose(Run{Checkpointable: true, Contended: true, Saved: true, Remaining: minRemaining}), qt.Equals, Move, qt.Commentf("short tasks need room for moments"))
}
