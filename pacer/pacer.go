// Package pacer decides how much the tasks that fill a worker may do beside
// those that serve. It answers one load: tails near or over their target while
// something fills. Tasks that press on a tail near its target are slowed, the
// others are let alone.
package pacer

import (
	"slices"
	"strconv"
	"time"

	"github.com/endivefall/endivefall/profiler"
)

// Steps of the control, in percent and shares of the target.
const (
	// every is the time between two decisions; a figure covers half a second.
	every = 500 * time.Millisecond
	// high is the share of the target from which what fills is slowed. Tails
	// swing with their own load up to 0.9 without anything beside them.
	high = 0.9
	// aim is the share that slowing aims at, and up to which tasks are let go.
	aim = 0.78
	// up is how many percent points are given back at a time: full work after
	// two seconds of calm.
	up = 25
	// least is the pressure of a task that is not worth slowing.
	least = 0.01
	// doubted is how many decisions a tail may stay over its target before all
	// that fills is stopped, whatever is known of it: two seconds, half of what
	// the contract allows.
	doubted = 4
)

// Run is a run at the worker.
type Run struct {
	Task    string
	Attempt uint64
	Image   string
	CPU     int64 // what it asks for, in thousandths of a core
	Used    int64 // what it used in the last half second, of a task that fills
	Fills   bool
	Target  int64 // bound of the tail in ms; 0 where the task does not serve
	Tail    int64 // tail latency in ms of the last half second
	Percent int
	Pace    int // percent at which it may work
}

// Change is a new pace for a run, with what decided it.
type Change struct {
	Task         string
	Attempt      uint64
	Pace         int
	Because      string
	Tail, Target int64
	Press        float64
}

// Pacer decides for one worker. It belongs to one goroutine.
type Pacer struct {
	// Known is what has been learned of images beside each other.
	Known *profiler.Profiler
	// next is when the next decision is due.
	next time.Time
	// watched has the serving runs of the last decision.
	watched map[string]bool
	// excess counts the decisions in a row with a tail over its target.
	excess int
}

// New returns a Pacer.
func New() *Pacer { return &Pacer{Known: profiler.New()} }

// serve is a serving task in a decision.
type serve struct {
	Run
	// over is the pressure to be taken away, room what may be added.
	over, room float64
}

// Decide returns the paces to change on a worker of a capacity.
func (p *Pacer) Decide(now time.Time, capacity int64, runs []Run) []Change {
	if now.Before(p.next) || capacity <= 0 {
		return nil
	}
	p.next = now.Add(every)
	serves, fills := p.sort(capacity, runs)
	if len(serves) == 0 {
		return release(fills)
	}
	worst := serves[0]
	if worst.Tail >= worst.Target {
		p.excess++
	} else {
		p.excess = 0
	}
	if p.excess >= doubted {
		return stop(fills, worst)
	}
	paces := make([]float64, len(fills))
	for n, f := range fills {
		paces[n] = float64(f.Pace)
	}
	slowed := map[int]string{}
	for _, s := range serves {
		p.slow(capacity, s, fills, paces, slowed)
	}
	if len(slowed) == 0 {
		p.raise(capacity, serves, fills, paces)
	}
	var changes []Change
	for n, f := range fills {
		pace := int(paces[n])
		if pace == f.Pace {
			continue
		}
		because := "tails below their target"
		if slowed[n] != "" {
			because = slowed[n]
		}
		changes = append(changes, Change{
			Task: f.Task, Attempt: f.Attempt, Pace: pace, Because: because, Tail: worst.Tail, Target: worst.Target,
			Press: p.Known.Press(f.Image, worst.Image),
		})
	}
	return changes
}

// sort learns from the runs and parts them: serving ones, the worst first, and
// filling ones.
func (p *Pacer) sort(capacity int64, runs []Run) ([]serve, []Run) {
	use := profiler.Use{}
	for _, r := range runs {
		if r.Fills {
			use[r.Image] += float64(r.Used) / float64(capacity)
		}
	}
	var serves []serve
	var fills []Run
	watched := map[string]bool{}
	for _, r := range runs {
		if r.Fills {
			fills = append(fills, r)
		}
		if r.Target <= 0 || r.Percent < 100 {
			continue
		}
		name := r.Task + "/" + strconv.FormatUint(r.Attempt, 10)
		watched[name] = true
		p.Known.Observe(name, r.Image, float64(r.Tail), use)
		now := p.Known.Pressure(r.Image, float64(r.Tail))
		good := p.Known.Pressure(r.Image, aim*float64(r.Target))
		s := serve{Run: r, room: max(good-now, 0)}
		if float64(r.Tail) >= high*float64(r.Target) {
			s.over = now - good
		}
		serves = append(serves, s)
	}
	for name := range p.watched {
		if !watched[name] {
			p.Known.Forget(name)
		}
	}
	p.watched = watched
	slices.SortStableFunc(serves, func(a, b serve) int { return int(b.Tail*a.Target - a.Tail*b.Target) })
	return serves, fills
}

// weight is what a filling run at full pace adds to a serving one's pressure.
func (p *Pacer) weight(capacity int64, f Run, serves string) float64 {
	return p.Known.Press(f.Image, serves) * float64(f.CPU) / float64(capacity)
}

// slow takes a serving task's excess from the filling runs that press most.
func (p *Pacer) slow(capacity int64, s serve, fills []Run, paces []float64, slowed map[int]string) {
	if s.over <= 0 {
		return
	}
	order := make([]int, len(fills))
	for n := range order {
		order[n] = n
	}
	slices.SortStableFunc(order, func(a, b int) int {
		wa, wb := p.weight(capacity, fills[a], s.Image), p.weight(capacity, fills[b], s.Image)
		switch {
		case wa > wb:
			return -1
		case wa < wb:
			return 1
		}
		return 0
	})
	left := s.over
	for _, n := range order {
		w := p.weight(capacity, fills[n], s.Image)
		if left <= 0 || w < least || paces[n] == 0 {
			continue
		}
		cut := min(paces[n], 100*left/w)
		paces[n] -= cut
		left -= w * cut / 100
		slowed[n] = "it presses on a tail near its target"
	}
}

// raise gives the filling runs back what every serving one has room for, those
// that press least first.
func (p *Pacer) raise(capacity int64, serves []serve, fills []Run, paces []float64) {
	order := make([]int, len(fills))
	press := make([]float64, len(fills))
	for n, f := range fills {
		order[n] = n
		for _, s := range serves {
			press[n] = max(press[n], p.weight(capacity, f, s.Image))
		}
	}
	slices.SortStableFunc(order, func(a, b int) int {
		switch {
		case press[a] < press[b]:
			return -1
		case press[a] > press[b]:
			return 1
		}
		return 0
	})
	for _, n := range order {
		add := min(up, 100-paces[n])
		for _, s := range serves {
			if w := p.weight(capacity, fills[n], s.Image); w >= least {
				add = min(add, 100*s.room/w)
			}
		}
		if add <= 0 {
			continue
		}
		paces[n] += add
		for m := range serves {
			serves[m].room -= p.weight(capacity, fills[n], serves[m].Image) * add / 100
			serves[m].room = max(serves[m].room, 0)
		}
	}
}

// release lets all that fills work again where nothing serves.
func release(fills []Run) []Change {
	var changes []Change
	for _, f := range fills {
		if f.Pace < 100 {
			changes = append(changes, Change{Task: f.Task, Attempt: f.Attempt, Pace: 100, Because: "nothing serves here"})
		}
	}
	return changes
}

// stop ends all work of what fills.
func stop(fills []Run, worst serve) []Change {
	var changes []Change
	for _, f := range fills {
		if f.Pace > 0 {
			changes = append(changes, Change{
				Task: f.Task, Attempt: f.Attempt, Because: "a tail stays over its target", Tail: worst.Tail, Target: worst.Target,
			})
		}
	}
	return changes
}
