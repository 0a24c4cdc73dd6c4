// Package profiler learns how much tasks that fill a worker press on the tails
// of those that serve beside them, by pairs of images. It does no input or
// output.
package profiler

// Constants of the learning.
const (
	// prior is the press of a pair that is not known: the tail of a task that
	// serves leaves room for a filling task on two fifths of the worker.
	prior = 1.5
	// step is how far one observation moves an estimate towards itself.
	step = 0.35
	// leastChange is the least change of use, as a share of the worker, that
	// tells anything.
	leastChange = 0.02
	// maxPress bounds an estimate; half a core of such a task fills the room.
	maxPress = 12
)

// pair is a filling image and a serving one.
type pair struct{ fills, serves string }

// Use is what filling images use of a worker, as shares of it.
type Use map[string]float64

// seen is the last observation of a serving task.
type seen struct {
	pressure float64
	use      Use
}

// Profiler holds what is known. It belongs to one goroutine.
type Profiler struct {
	press map[pair]float64
	// base is the least tail in ms seen of a serving image.
	base map[string]float64
	last map[string]seen
}

// New returns a Profiler that knows nothing.
func New() *Profiler {
	return &Profiler{press: map[pair]float64{}, base: map[string]float64{}, last: map[string]seen{}}
}

// Pressure turns a tail into a figure that grows by like amounts with what
// presses on the task: the load of a queue whose waits make such a tail. It is
// 0 for an undisturbed tail, and towards 1 without bound.
func (p *Profiler) Pressure(image string, tail float64) float64 {
	base := p.base[image]
	if base <= 0 || tail <= base {
		return 0
	}
	return 1 - base/tail
}

// Press returns what a whole worker's use by a filling image adds to the
// pressure of a serving one.
func (p *Profiler) Press(fills, serves string) float64 {
	if w, ok := p.press[pair{fills, serves}]; ok {
		return w
	}
	return prior
}

// Known says whether the pair was ever seen to change together.
func (p *Profiler) Known(fills, serves string) bool {
	_, ok := p.press[pair{fills, serves}]
	return ok
}

// Observe takes a serving task's tail in ms beside what fills the worker. The
// name tells the task's run, so that one observation is compared with the one
// before: its own load changes over many seconds, what fills from one moment
// to the next.
func (p *Profiler) Observe(name, image string, tail float64, use Use) {
	if tail <= 0 {
		return
	}
	if base := p.base[image]; base == 0 || tail < base {
		p.base[image] = tail
	}
	pressure := p.Pressure(image, tail)
	before, ok := p.last[name]
	p.last[name] = seen{pressure, use}
	if !ok {
		return
	}
	p.learn(image, pressure-before.pressure, before.use, use)
}

// learn spreads the error of a predicted change over the images that changed.
func (p *Profiler) learn(image string, change float64, before, after Use) {
	delta := Use{}
	for f, u := range after {
		delta[f] = u - before[f]
	}
	for f, u := range before {
		if _, ok := after[f]; !ok {
			delta[f] = -u
		}
	}
	predicted, square, largest := 0.0, 0.0, 0.0
	for f, d := range delta {
		predicted += p.Press(f, image) * d
		square += d * d
		largest = max(largest, d, -d)
	}
	if largest < leastChange {
		return
	}
	miss := change - predicted
	for f, d := range delta {
		w := p.Press(f, image) + step*miss*d/square
		p.press[pair{f, image}] = min(max(w, 0), maxPress)
	}
}

// Forget drops a run that has ended.
func (p *Profiler) Forget(name string) { delete(p.last, name) }
