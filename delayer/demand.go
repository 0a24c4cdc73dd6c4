package delayer

import (
	"maps"
	"math"
	"time"

	"github.com/endivefall/endivefall/allocator"
)

const (
	// demandPeriod is the time constant of the demand for a rack: about the time for which most
	// tasks wait and run.
	demandPeriod = 3 * time.Second
	// someDemand and fullDemand are the shares of the CPU in a rack from which on work that does not
	// want the rack leaves room there, and leaves it as far as it can.
	someDemand, fullDemand = 0.4, 0.9
	// minWork is the work, in thousandths of a core-second, below which a rack is forgotten.
	minWork = 1.0
)

// demand is the recent demand by rack.
type demand map[string]*rackDemand

// rackDemand is the CPU time of the tasks that were started lately and prefer a rack.
type rackDemand struct {
	work float64 // thousandths of a core-second, decayed until at
	at   time.Time
}

func (r *rackDemand) decay(now time.Time) {
	r.work *= math.Exp(-max(now.Sub(r.at), 0).Seconds() / demandPeriod.Seconds())
	r.at = now
}

func (m demand) add(rack string, work float64, now time.Time) {
	if m[rack] == nil {
		m[rack] = &rackDemand{at: now}
	}
	m[rack].decay(now)
	m[rack].work += work
}

// setDemand sets the factor and the demand for their racks on the candidates of the pool: what was
// started lately, and what waited at the end of the last round.
func (d *Delayer) setDemand(candidates []*allocator.Candidate, now time.Time) {
	maps.DeleteFunc(d.demand, func(_ string, r *rackDemand) bool {
		r.decay(now)
		return r.work < minWork
	})
	free := map[string]float64{}
	for _, c := range candidates {
		c.RemoteFactor = d.cfg.Factor
		for _, label := range c.Labels {
			if d.demand[label] != nil || d.ahead[label] != (need{}) {
				free[label] += float64(c.CPU - c.LongRunningCPU)
			}
		}
	}
	for rack, cpu := range free {
		waits := d.ahead[rack]
		wanted := d.Demand(rack, now) + waits.cpu + waits.bestEffort
		level := min(max((wanted/max(cpu, 1)-someDemand)/(fullDemand-someDemand), 0), 1)
		for _, c := range Near(rack, candidates) {
			c.RackDemand = max(c.RackDemand, level)
		}
	}
}

// Demand returns the CPU, in thousandths of a core, that tasks which prefer a rack have taken lately.
func (d *Delayer) Demand(rack string, now time.Time) float64 {
	if d.demand[rack] == nil {
		return 0
	}
	d.demand[rack].decay(now)
	return d.demand[rack].work / demandPeriod.Seconds()
}
