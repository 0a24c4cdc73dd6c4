package protector

import "time"

// updateEstimates compares the tail latency with the expected one. If every
// running kind has been measured often enough, the difference changes
// baseTail, since the service's own load moves it. Otherwise it changes the
// coefficients of the kinds with few measurements, most of all those of tasks
// that started recently, and baseTail only slowly.
func (p *Protector) updateEstimates(now time.Time, tail float64) {
	increase := p.expectedIncrease()
	if p.baseTail == 0 {
		p.baseTail = min(tail/(1+increase), plannedTailFraction*float64(p.limit))
	}
	expected := p.baseTail * (1 + increase)
	if p.allMeasured() {
		weight := baseFallWeight
		if tail > expected {
			weight = baseRiseWeight
		}
		p.baseTail += weight * (tail/(1+increase) - p.baseTail)
		return
	}
	switch {
	case tail > alarmTailFraction*float64(p.limit) && tail > expected:
		p.attributeIncrease(now, (tail-expected)/p.baseTail)
	case tail < expected:
		scale := 1 - interferenceDecay*min(1, (expected-tail)/expected)
		for _, kind := range p.runningKinds() {
			if p.measurements[kind] < minMeasurements {
				p.interference[kind] = clampInterference(p.coefficient(kind) * scale)
			}
		}
	}
	p.baseTail += uncertainBaseWeight * (tail/(1+p.expectedIncrease()) - p.baseTail)
}

// allMeasured reports whether every running kind was measured often enough.
func (p *Protector) allMeasured() bool {
	for _, s := range p.tasks {
		if p.measurements[s.Kind] < minMeasurements {
			return false
		}
	}
	return true
}

// runningKinds returns the kinds of the running tasks.
func (p *Protector) runningKinds() []string {
	seen := map[string]bool{}
	var kinds []string
	for _, s := range p.tasks {
		if !seen[s.Kind] {
			seen[s.Kind] = true
			kinds = append(kinds, s.Kind)
		}
	}
	return kinds
}

// attributeIncrease raises the coefficients of the running kinds with few
// measurements until they explain the additional increase of the tail
// latency. Recently started tasks count four times.
func (p *Protector) attributeIncrease(now time.Time, increase float64) {
	weights := map[string]float64{}
	shares := map[string]float64{}
	total := 0.0
	for _, s := range p.tasks {
		if p.measurements[s.Kind] >= minMeasurements {
			continue
		}
		w := p.coefficient(s.Kind) * s.share
		if now.Sub(s.StartedAt) < newTaskAge {
			w *= 4
		}
		weights[s.Kind] += w
		shares[s.Kind] += s.share
		total += w
	}
	if total == 0 {
		return
	}
	for kind, w := range weights {
		p.interference[kind] = clampInterference(p.coefficient(kind) + increase*w/total/max(shares[kind], minShare))
	}
}
