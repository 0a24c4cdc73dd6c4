// Package provisioner decides how much CPU of each worker is kept for short tasks. It does no I/O.
//
// Load pattern: long-running tasks ask for more CPU than there is and hold what they get for
// minutes, while short tasks of the first priority need a small part of it, in waves and bursts.
// What long-running tasks have taken by the time of a wave is not to be had any more: small tasks of
// half a second waited up to 14 s for it.
package provisioner

import (
	"math"
	"time"
)

const (
	// initialShare is the share of the CPU that short tasks are assumed to have needed before the
	// first observation: long-running tasks start before the callers of short ones come.
	initialShare = 1.0 / 12
	// maxShare bounds the share of the CPU that is kept.
	maxShare = 1.0 / 8
	// margin is how much more than the highest demand of late is kept, as what is free lies in
	// pieces, some of which are too small.
	margin = 1.25
	// halfLife is the time in which the highest demand counts for half, several periods of the
	// waves that callers come in.
	halfLife = 20 * time.Second
)

// Demand follows the demand of short tasks in a pool.
type Demand struct {
	// peak is the highest share of the pool's CPU that they asked for, at the time peakAt.
	peak   float64
	peakAt time.Time
}

// NewDemand returns the demand of a pool of which nothing has been observed at a time.
func NewDemand(at time.Time) *Demand { return &Demand{peak: initialShare / margin, peakAt: at} }

// Observe notes the CPU that short tasks hold or wait for, and that of all workers, in
// thousandths of a core.
func (d *Demand) Observe(now time.Time, demand, capacity int64) {
	if share := float64(demand) / float64(max(capacity, 1)); share >= d.peakNow(now) {
		d.peak, d.peakAt = share, now
	}
}

// peakNow returns what still counts of the highest share.
func (d *Demand) peakNow(now time.Time) float64 {
	return d.peak * math.Exp2(-now.Sub(d.peakAt).Seconds()/halfLife.Seconds())
}

// KeptCPU returns the CPU to keep for further short tasks on a worker with the given CPU, of which
// short tasks hold a part, in thousandths of a core.
func (d *Demand) KeptCPU(now time.Time, cpu, held int64) int64 {
	return max(int64(min(margin*d.peakNow(now), maxShare)*float64(cpu))-held, 0)
}
