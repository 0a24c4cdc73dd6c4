package protector

import "time"

// learn compares the tail latency with what was expected. What kinds that were
// measured often do not explain is put on the base, which the service's own
// load moves; else on the kinds of which little is known, first on those that
// started lately.
func (p *Protector) learn(now time.Time, tail float64) {
	hurt := p.hurt()
	if p.base == 0 {
		p.base = min(tail/(1+hurt), aim*float64(p.bound))
	}
	expected := p.base * (1 + hurt)
	if p.known() {
		weight := fall
		if tail > expected {
			weight = rise
		}
		p.base += weight * (tail/(1+hurt) - p.base)
		return
	}
	switch {
	case tail > alarm*float64(p.bound) && tail > expected:
		p.blame(now, (tail-expected)/p.base)
	case tail < expected:
		scale := 1 - ease*min(1, (expected-tail)/expected)
		for _, kind := range p.kinds() {
			if p.seen[kind] < sure {
				p.effects[kind] = clamp(p.effect(kind) * scale)
			}
		}
	}
	p.base += settle * (tail/(1+p.hurt()) - p.base)
}

// known says whether every running kind was measured often enough.
func (p *Protector) known() bool {
	for _, s := range p.tasks {
		if p.seen[s.Kind] < sure {
			return false
		}
	}
	return true
}

// kinds lists the kinds that run.
func (p *Protector) kinds() []string {
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

// blame raises the effects of the running kinds so that they explain more.
func (p *Protector) blame(now time.Time, more float64) {
	weights := map[string]float64{}
	shares := map[string]float64{}
	total := 0.0
	for _, s := range p.tasks {
		if p.seen[s.Kind] >= sure {
			continue
		}
		w := p.effect(s.Kind) * s.share
		if now.Sub(s.StartedAt) < recent {
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
		p.effects[kind] = clamp(p.effect(kind) + more*w/total/max(shares[kind], floor))
	}
}
