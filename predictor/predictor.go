// Package predictor learns how much best-effort tasks interfere with the serving
// tasks on the same worker, and predicts the headroom of serving tasks. It does no
// I/O.
//
// A serving task is modelled as a queue: the inverse of its tail latency is its
// spare rate. The task's own load lowers that rate, in the same way for all tasks of
// a step. Best-effort tasks lower it in proportion to the CPU that they use, with an
// interference coefficient for each pair of a best-effort and a serving image.
package predictor

import (
	"maps"
	"math"
	"slices"
	"time"
)

// Parameters of the model. Rates are in 1/s, relative rates and coefficients are
// fractions of the best rate of the serving image.
const (
	// minBestRateFactor is the lower bound of an image's best rate, as a multiple of
	// the rate that its target requires: the highest rate may not have been observed
	// yet.
	minBestRateFactor = 3.0
	// priorInterference and priorInterferenceStdDev are the relative coefficient assumed for
	// a pair of images that was never observed together: half of the images
	// interfere strongly, the others hardly at all.
	priorInterference, priorInterferenceStdDev = 0.9, 0.7
	// interferenceDecaySeconds is the time in which a coefficient's deviation from the
	// prior falls to about a third.
	interferenceDecaySeconds = 1000.0
	// priorSpareRate and priorSpareRateStdDev are the relative spare rate of a step
	// without recent samples.
	priorSpareRate, priorSpareRateStdDev = 0.6, 0.3
	// trendStdDev is the standard deviation by which the trend of a relative spare
	// rate changes within a second: loads swing by a half within ten seconds.
	trendStdDev = 0.04
	// trendDecaySeconds is the time in which a trend falls to a third.
	trendDecaySeconds = 4.0
	// burstStdDev is the standard deviation of a single run's relative spare rate
	// from that of its step, burstDecaySeconds the time in which a deviation falls
	// to a third.
	burstStdDev, burstDecaySeconds = 0.06, 1.2
	// maxSampleGapSeconds is the time without samples after which a spare rate is
	// reset to the prior.
	maxSampleGapSeconds = 8.0
	// minStdErr is the lower bound of a sample's standard error, as a fraction of the
	// best rate.
	minStdErr = 0.03
	// targetMargin is the safety margin, as a fraction of the rate that a target
	// requires.
	targetMargin = 0.05
	// confidenceStdDevs is the safety margin for the errors of interference coefficients, in
	// standard errors. Predicted loads have none beside targetMargin: the owner leaves
	// headroom to what runs already, so that errors of loads average out over its workers.
	confidenceStdDevs = 0.5
	// censoringThreshold is the relative rate below which a sample only shows that
	// the task is overloaded, not by how much.
	censoringThreshold = 0.04
)

// Usage maps best-effort images to the fraction of the worker's CPU that they use.
type Usage map[string]float64

// Sample is the spare rate of a serving task at one moment.
type Sample struct {
	// Group names the step whose tasks share a load, Image is what they run. Run
	// names the task's run; bursts are not learned if it is empty.
	Group, Image, Run string
	// Rate and its standard error are in 1/s.
	Rate, StdErr float64
	// RequiredRate is the spare rate in 1/s at which the task meets its target.
	RequiredRate float64
}

// Predictor estimates spare rates and interference. It is not safe for concurrent
// use.
type Predictor struct {
	// images has the models by serving image, groups the serving image by group.
	images map[string]*imageModel
	groups map[string]string
}

// imageModel is the model of a serving image and of the steps that run it.
type imageModel struct {
	filter
	// bestRate is the highest rate in 1/s observed, or its lower bound.
	bestRate  float64
	updatedAt time.Time
	// interference has the indexes of the coefficients in the filter, by best-effort
	// image. loads has those of the spare rates without best-effort tasks, by group;
	// each is followed by its trend.
	interference map[string]int
	loads        map[string]int
	sampledAt    map[string]time.Time // time of a group's last sample
	// bursts has the indexes of the deviations of the runs' spare rates from their
	// group's, by run.
	bursts map[string]int
}

func newImageModel(at time.Time) *imageModel {
	return &imageModel{interference: map[string]int{}, loads: map[string]int{}, sampledAt: map[string]time.Time{}, bursts: map[string]int{}, updatedAt: at}
}

// New returns a Predictor without any samples.
func New() *Predictor {
	return &Predictor{images: map[string]*imageModel{}, groups: map[string]string{}}
}

// Learn updates the model by a sample taken while best-effort tasks use the worker.
func (p *Predictor) Learn(at time.Time, s Sample, usage Usage) {
	if s.Rate <= 0 {
		return
	}
	m := p.images[s.Image]
	if m == nil {
		m = newImageModel(at)
		p.images[s.Image] = m
	}
	p.groups[s.Group] = s.Image
	m.bestRate = max(m.bestRate, s.Rate, minBestRateFactor*s.RequiredRate)
	m.advance(at)
	terms := []term{{m.loadState(s.Group, at), 1}}
	if s.Run != "" {
		terms = append(terms, term{m.burstState(s.Run), 1})
	}
	for _, bestEffortImage := range slices.Sorted(maps.Keys(usage)) { // in order, so that replays repeat
		share := usage[bestEffortImage]
		if share > 0 {
			terms = append(terms, term{m.interferenceState(bestEffortImage), -share})
		}
	}
	if expected, _ := m.predictReading(terms); s.Rate < censoringThreshold*m.bestRate && s.Rate > expected {
		m.clampLoad(s.Group)
		return
	}
	stdErr := max(s.StdErr, minStdErr*m.bestRate)
	m.update(terms, s.Rate, stdErr*stdErr)
	m.clampLoad(s.Group)
}

// clampLoad keeps a group's spare rate from going below zero, and its trend from
// pointing there.
func (m *imageModel) clampLoad(group string) {
	if n := m.loads[group]; m.mean[n] < 0 {
		m.mean[n], m.mean[n+1] = 0, max(m.mean[n+1], 0)
	}
}

// advance moves the whole state forward to a time.
func (m *imageModel) advance(at time.Time) {
	elapsed := at.Sub(m.updatedAt).Seconds()
	if elapsed <= 0 {
		return
	}
	m.updatedAt = at
	for _, n := range m.interference {
		m.revert(n, math.Exp(-elapsed/interferenceDecaySeconds), priorInterference*m.bestRate, square(priorInterferenceStdDev*m.bestRate))
	}
	for _, n := range m.bursts {
		m.revert(n, math.Exp(-elapsed/burstDecaySeconds), 0, square(burstStdDev*m.bestRate))
	}
	for _, n := range m.loads {
		m.integrate(n, n+1, elapsed, math.Exp(-elapsed/trendDecaySeconds), square(trendStdDev*m.bestRate))
	}
}

// loadState returns the index of a group's spare rate. It adds the state if needed,
// and resets it after a gap in the samples.
func (m *imageModel) loadState(group string, at time.Time) int {
	n, ok := m.loads[group]
	if !ok {
		n = m.add(priorSpareRate*m.bestRate, square(priorSpareRateStdDev*m.bestRate))
		m.add(0, square(trendStdDev*m.bestRate))
		m.loads[group] = n
	} else if at.Sub(m.sampledAt[group]).Seconds() > maxSampleGapSeconds {
		m.reset(n, priorSpareRate*m.bestRate, square(priorSpareRateStdDev*m.bestRate))
		m.reset(n+1, 0, square(trendStdDev*m.bestRate))
	}
	m.sampledAt[group] = at
	return n
}

// burstState returns the index of a run's deviation from its group, which it adds if
// needed.
func (m *imageModel) burstState(name string) int {
	n, ok := m.bursts[name]
	if !ok {
		n = m.add(0, square(burstStdDev*m.bestRate))
		m.bursts[name] = n
	}
	return n
}

// interferenceState returns the index of a best-effort image's coefficient, which it
// adds if needed.
func (m *imageModel) interferenceState(bestEffortImage string) int {
	n, ok := m.interference[bestEffortImage]
	if !ok {
		n = m.add(priorInterference*m.bestRate, square(priorInterferenceStdDev*m.bestRate))
		m.interference[bestEffortImage] = n
	}
	return n
}

// SpareRate returns the spare rate in 1/s that a step's tasks will have without
// best-effort tasks, and its standard error; for a single run if run is not empty. It
// returns false if there is no sample of the step.
func (p *Predictor) SpareRate(group, run string, at time.Time) (rate, stdErr float64, ok bool) {
	m := p.images[p.groups[group]]
	if m == nil {
		return 0, 0, false
	}
	n, ahead := m.loads[group], max(at.Sub(m.updatedAt).Seconds(), 0)
	terms := []term{{n, 1}, {n + 1, ahead}}
	burstLeft := math.Exp(-ahead / burstDecaySeconds)
	if burst, ok := m.bursts[run]; ok {
		terms = append(terms, term{burst, burstLeft})
	}
	rate, variance := m.predictReading(terms)
	variance += square(trendStdDev*m.bestRate)*ahead*ahead*ahead/3 + (1-burstLeft*burstLeft)*square(burstStdDev*m.bestRate)
	return rate, math.Sqrt(max(variance, 0)), true
}

// RequiredRate returns the spare rate in 1/s at which a tail latency target in ms is
// met.
func RequiredRate(targetMs int64) float64 { return 1000 / float64(targetMs) }

// Headroom returns the rate in 1/s that a step's tasks, or a single run if run is not
// empty, can lose both at from and at until and still meet a target in ms, with a
// safety margin. It returns false if there is no sample of the step.
func (p *Predictor) Headroom(group, run string, from, until time.Time, targetMs int64) (float64, bool) {
	spare, _, ok := p.SpareRate(group, run, from)
	if !ok {
		return 0, false
	}
	later, _, _ := p.SpareRate(group, run, until)
	return max(min(spare, later)-RequiredRate(targetMs)*(1+targetMargin), 0), true
}

// UpperInterference returns the interference coefficient of a pair of images in 1/s
// with a safety margin.
func (p *Predictor) UpperInterference(bestEffortImage, servingImage string) float64 {
	coefficient, stdErr := p.Interference(bestEffortImage, servingImage)
	return coefficient + confidenceStdDevs*stdErr
}

// Interference returns the interference coefficient of a pair of images and its
// standard error: the spare rate in 1/s that the serving image loses if the
// best-effort image uses the whole worker.
func (p *Predictor) Interference(bestEffortImage, servingImage string) (coefficient, stdErr float64) {
	m := p.images[servingImage]
	if m == nil {
		return 0, 0
	}
	n, ok := m.interference[bestEffortImage]
	if !ok {
		return priorInterference * m.bestRate, priorInterferenceStdDev * m.bestRate
	}
	return max(m.mean[n], 0), math.Sqrt(max(m.cov[n][n], 0))
}

// HasEstimate reports whether there is an estimate for a pair of images, from samples or
// from Merge.
func (p *Predictor) HasEstimate(bestEffortImage, servingImage string) bool {
	m := p.images[servingImage]
	if m == nil {
		return false
	}
	_, ok := m.interference[bestEffortImage]
	return ok
}

// Merge adopts another process's estimate for a pair of images if its standard error
// is lower than the one here.
func (p *Predictor) Merge(at time.Time, bestEffortImage, servingImage string, coefficient, stdErr float64) {
	m := p.images[servingImage]
	if m == nil {
		m = newImageModel(at)
		p.images[servingImage] = m
	}
	n, ok := m.interference[bestEffortImage]
	if !ok {
		m.interference[bestEffortImage] = m.add(coefficient, square(stdErr))
		return
	}
	if square(stdErr) < m.cov[n][n] {
		m.reset(n, coefficient, square(stdErr))
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
	delete(m.sampledAt, group)
	m.dropState(n + 1)
	m.dropState(n)
}

// dropState removes a state variable and adjusts the indexes of the others.
func (m *imageModel) dropState(n int) {
	m.remove(n)
	for _, index := range []map[string]int{m.interference, m.loads, m.bursts} {
		for name, state := range index {
			if state > n {
				index[name] = state - 1
			}
		}
	}
}

// Retain drops the loads of all other groups and the bursts of all other runs.
func (p *Predictor) Retain(groups, runs map[string]bool) {
	for group := range p.groups {
		if !groups[group] {
			p.Forget(group)
		}
	}
	for _, m := range p.images {
		for run, n := range m.bursts {
			if !runs[run] {
				delete(m.bursts, run)
				m.dropState(n)
			}
		}
	}
}

func square(x float64) float64 { return x * x }
