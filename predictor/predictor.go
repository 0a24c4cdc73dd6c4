// Package predictor learns how much tasks that fill a worker press on those that
// serve beside them. It does no input or output.
//
// A task that serves is taken as a queue: the inverse of its tail latency is its
// spare rate. Its own load takes from that rate, in a way that tasks of one step
// share, and so does what fills the worker, in proportion to the processor that
// it uses, each pair of images at a press of its own.
package predictor

import (
	"math"
	"time"
)

// Constants of the learning. Rates are in 1/s, use is a share of a worker, and
// what is given in parts is in parts of the best rate of the serving image.
const (
	// idle is the best rate of an image of which little was seen, in parts of
	// what its target asks for.
	idle = 3.0
	// priorPress and priorSpread are what is assumed of a pair that was never
	// seen together, in parts: half of the images press hard, the others hardly
	// at all.
	priorPress, priorSpread = 0.9, 0.7
	// pressLasts is how many seconds it takes until what is known of a press is
	// worth a third.
	pressLasts = 1000.0
	// priorSpare and priorSpareSpread are what is assumed of a load, in parts.
	priorSpare, priorSpareSpread = 0.6, 0.3
	// loadDrift is how much faster a load may change after a second, in parts:
	// loads swing by a half within ten seconds.
	loadDrift = 0.04
	// trendLasts is after how many seconds a trend is a third of what it was.
	trendLasts = 4.0
	// burstSpread is by how much a single task's load differs from that of its
	// step, in parts, and burstLasts for how many seconds.
	burstSpread, burstLasts = 0.06, 1.2
	// gap is how many seconds without readings end what is known of a load.
	gap = 8.0
	// floorSpread bounds how much a single reading is trusted, in parts.
	floorSpread = 0.03
	// margin is kept below a target, as a share of the rate that it asks for.
	margin = 0.05
	// caution is how many standard errors of a load and of a press are kept.
	caution = 0.5
	// censored is the rate, in parts, below which a reading only says that the
	// task is overloaded, not by how much.
	censored = 0.04
)

// Usage is what filling images use of a worker, as shares of it.
type Usage map[string]float64

// Sample is the spare rate of a serving task at one moment.
type Sample struct {
	// Group names the tasks that share a load; Image is what they run. Run names
	// the task's run where its bursts are to be learned, too.
	Group, Image, Run string
	// Rate is in 1/s, with its standard error.
	Rate, StdErr float64
	// RequiredRate is the rate that the task's target asks for.
	RequiredRate float64
}

// Predictor holds what is known. It belongs to one goroutine.
type Predictor struct {
	// images has what is known of each serving image, groups the image of each
	// group.
	images map[string]*image
	groups map[string]string
}

// image is what is known of a serving image and of the loads of the steps that
// run it.
type image struct {
	filter
	// best is the highest rate seen.
	best float64
	at   time.Time
	// press has the values of the filter by filling image, loads by group: the
	// spare rate without anything beside it, and after it its trend.
	press map[string]int
	loads map[string]int
	seen  map[string]time.Time // when a group was read last
	// runs has by how much a run's spare rate differs from its group's.
	runs map[string]int
}

func newImage(at time.Time) *image {
	return &image{press: map[string]int{}, loads: map[string]int{}, seen: map[string]time.Time{}, runs: map[string]int{}, at: at}
}

// New returns a Profiler that knows nothing.
func New() *Predictor {
	return &Predictor{images: map[string]*image{}, groups: map[string]string{}}
}

// Learn takes a sample beside what fills the worker.
func (p *Predictor) Learn(at time.Time, s Sample, use Usage) {
	if s.Rate <= 0 {
		return
	}
	m := p.images[s.Image]
	if m == nil {
		m = newImage(at)
		p.images[s.Image] = m
	}
	p.groups[s.Group] = s.Image
	m.best = max(m.best, s.Rate, idle*s.RequiredRate)
	m.advance(at)
	terms := []term{{m.load(s.Group, at), 1}}
	if s.Run != "" {
		terms = append(terms, term{m.run(s.Run), 1})
	}
	for fills, u := range use {
		if u > 0 {
			terms = append(terms, term{m.pressOf(fills), -u})
		}
	}
	if expected, _ := m.expect(terms); s.Rate < censored*m.best && s.Rate > expected {
		m.bound(s.Group)
		return
	}
	spread := max(s.StdErr, floorSpread*m.best)
	m.take(terms, s.Rate, spread*spread)
	m.bound(s.Group)
}

// bound keeps a spare rate from falling below none: its trend ends there.
func (m *image) bound(group string) {
	if n := m.loads[group]; m.mean[n] < 0 {
		m.mean[n], m.mean[n+1] = 0, max(m.mean[n+1], 0)
	}
}

// advance carries all loads and presses on to a time.
func (m *image) advance(at time.Time) {
	passed := at.Sub(m.at).Seconds()
	if passed <= 0 {
		return
	}
	m.at = at
	for _, n := range m.press {
		m.fade(n, math.Exp(-passed/pressLasts), priorPress*m.best, square(priorSpread*m.best))
	}
	for _, n := range m.runs {
		m.fade(n, math.Exp(-passed/burstLasts), 0, square(burstSpread*m.best))
	}
	for _, n := range m.loads {
		m.move(n, n+1, passed, math.Exp(-passed/trendLasts), square(loadDrift*m.best))
	}
}

// load returns the value of a group's spare rate.
func (m *image) load(group string, at time.Time) int {
	n, ok := m.loads[group]
	if !ok {
		n = m.add(priorSpare*m.best, square(priorSpareSpread*m.best))
		m.add(0, square(loadDrift*m.best))
		m.loads[group] = n
	} else if at.Sub(m.seen[group]).Seconds() > gap {
		m.reset(n, priorSpare*m.best, square(priorSpareSpread*m.best))
		m.reset(n+1, 0, square(loadDrift*m.best))
	}
	m.seen[group] = at
	return n
}

// run returns the value of a run's difference from its group.
func (m *image) run(name string) int {
	n, ok := m.runs[name]
	if !ok {
		n = m.add(0, square(burstSpread*m.best))
		m.runs[name] = n
	}
	return n
}

// pressOf returns the value of a filling image's press.
func (m *image) pressOf(fills string) int {
	n, ok := m.press[fills]
	if !ok {
		n = m.add(priorPress*m.best, square(priorSpread*m.best))
		m.press[fills] = n
	}
	return n
}

// SpareRate returns the spare rate that a step's tasks will have with nothing beside
// them, or one run of them where it is named, with its standard error; false where
// nothing is known of them.
func (p *Predictor) SpareRate(group, run string, at time.Time) (rate, spread float64, ok bool) {
	m := p.images[p.groups[group]]
	if m == nil {
		return 0, 0, false
	}
	n, ahead := m.loads[group], max(at.Sub(m.at).Seconds(), 0)
	terms := []term{{n, 1}, {n + 1, ahead}}
	left := math.Exp(-ahead / burstLasts)
	if burst, ok := m.runs[run]; ok {
		terms = append(terms, term{burst, left})
	}
	rate, variance := m.expect(terms)
	variance += square(loadDrift*m.best)*ahead*ahead*ahead/3 + (1-left*left)*square(burstSpread*m.best)
	return rate, math.Sqrt(max(variance, 0)), true
}

// RequiredRate returns the spare rate in 1/s that a target in ms asks for.
func RequiredRate(target int64) float64 { return 1000 / float64(target) }

// Headroom returns the rate in 1/s that a step's tasks, or one run of them, can surely
// spare between two times and stay below a target in ms; false where nothing is
// known of them.
func (p *Predictor) Headroom(group, run string, from, until time.Time, target int64) (float64, bool) {
	spare, spread, ok := p.SpareRate(group, run, from)
	if !ok {
		return 0, false
	}
	if later, wider, _ := p.SpareRate(group, run, until); later-caution*wider < spare-caution*spread {
		spare, spread = later, wider
	}
	return max(spare-caution*spread-RequiredRate(target)*(1+margin), 0), true
}

// UpperInterference returns what a whole worker's use by a filling image may take from the
// spare rate of a serving one, in 1/s.
func (p *Predictor) UpperInterference(fills, serves string) float64 {
	press, spread := p.Interference(fills, serves)
	return press + caution*spread
}

// Interference returns what a whole worker's use by a filling image takes from the
// spare rate of a serving one, with its standard error.
func (p *Predictor) Interference(fills, serves string) (press, spread float64) {
	m := p.images[serves]
	if m == nil {
		return 0, 0
	}
	n, ok := m.press[fills]
	if !ok {
		return priorPress * m.best, priorSpread * m.best
	}
	return max(m.mean[n], 0), math.Sqrt(max(m.cov[n][n], 0))
}

// Observed says whether the pair was ever seen together.
func (p *Predictor) Observed(fills, serves string) bool {
	m := p.images[serves]
	if m == nil {
		return false
	}
	_, ok := m.press[fills]
	return ok
}

// Merge takes what another process knows of a pair, where that is more.
func (p *Predictor) Merge(at time.Time, fills, serves string, press, spread float64) {
	m := p.images[serves]
	if m == nil {
		m = newImage(at)
		p.images[serves] = m
	}
	n, ok := m.press[fills]
	if !ok {
		m.press[fills] = m.add(press, square(spread))
		return
	}
	if square(spread) < m.cov[n][n] {
		m.reset(n, press, square(spread))
	}
}

// Forget drops the load of a step that has ended.
func (p *Predictor) Forget(group string) {
	m := p.images[p.groups[group]]
	delete(p.groups, group)
	if m == nil {
		return
	}
	n := m.loads[group]
	delete(m.loads, group)
	delete(m.seen, group)
	m.remove(n + 1)
	m.remove(n)
}

// remove drops a value of the filter.
func (m *image) remove(n int) {
	m.drop(n)
	for _, index := range []map[string]int{m.press, m.loads, m.runs} {
		for name, at := range index {
			if at > n {
				index[name] = at - 1
			}
		}
	}
}

// Retain drops the loads of all steps and the bursts of all runs but those named.
func (p *Predictor) Retain(groups, runs map[string]bool) {
	for group := range p.groups {
		if !groups[group] {
			p.Forget(group)
		}
	}
	for _, m := range p.images {
		for run, n := range m.runs {
			if !runs[run] {
				delete(m.runs, run)
				m.remove(n)
			}
		}
	}
}

func square(x float64) float64 { return x * x }
