package orchestrator

import (
	"time"

	"github.com/endivefall/endivefall/allocator"
	"github.com/endivefall/endivefall/meter"
	"github.com/endivefall/endivefall/provisioner"
	"github.com/endivefall/endivefall/sequencer"
)

// maxKeptWait is how long a job of which nothing runs waits beside CPU that is kept for short tasks. A
// job may wait for 3 s while there is room for it.
const maxKeptWait = 2 * time.Second

// keepCPU keeps CPU on each worker for the short tasks of the first priority of its pool.
func (o *Orchestrator) keepCPU(byPool map[string][]*allocator.Candidate, blocked func(*sequencer.Task) bool, now, wall time.Time) {
	waiting := o.waitingShortCPU(byPool, blocked, wall)
	kept := int64(0)
	for pool, candidates := range byPool {
		demand, capacity := waiting[pool], int64(0)
		for _, c := range candidates {
			demand += c.ShortCPU
			capacity += c.CPU
		}
		d := o.shortDemands[pool]
		if d == nil {
			d = provisioner.NewDemand(now)
			o.shortDemands[pool] = d
		}
		d.Observe(now, demand, capacity)
		for _, c := range candidates {
			c.KeptCPU = d.KeptCPU(now, c.CPU, c.ShortCPU)
			kept += c.KeptCPU
		}
	}
	o.cfg.Gauge(meter.KeptCPU, float64(kept)/milliPerCore)
}

// milliPerCore converts thousandths of a core.
const milliPerCore = 1000

// waitingShortCPU returns the CPU that short tasks of the first priority wait for, by pool, in
// thousandths of a core. Those that can't meet their objective any more, or that no worker has room
// for, don't count.
func (o *Orchestrator) waitingShortCPU(byPool map[string][]*allocator.Candidate, blocked func(*sequencer.Task) bool, wall time.Time) map[string]int64 {
	waiting, largest := map[string]int64{}, map[string]int64{}
	for pool, candidates := range byPool {
		for _, c := range candidates {
			largest[pool] = max(largest[pool], c.CPU)
		}
	}
	for _, j := range o.openJobs {
		if rank := allocator.RankJob(j.Job, &j.corrections, wall); rank.Class != allocator.Short || rank.Priority > 0 {
			continue
		}
		for _, t := range j.Runnable(wall) {
			step := t.StepSpec()
			if !blocked(t) && !step.LongRunning && !step.BestEffort && step.CPU <= largest[j.Placement.Pool] {
				waiting[j.Placement.Pool] += step.CPU
			}
		}
	}
	return waiting
}
