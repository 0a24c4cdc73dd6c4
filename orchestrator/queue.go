package orchestrator

import (
	"maps"

	"go.uber.org/zap"

	"github.com/endivefall/endivefall/sequencer"
)

// followQueues moves the open jobs to where a new version of the configuration lets their tasks start.
func (o *Orchestrator) followQueues() {
	version := o.cfg.ConfigVersion()
	if version == o.configVersion {
		return
	}
	o.configVersion = version
	for _, j := range o.openJobs {
		o.followQueue(j)
	}
}

// followQueue moves a job to where the configuration in force at this entry lets its tasks start. A job
// without a queue there stays, and so does one that an earlier owner has moved by a later version. The
// placement is written, as the route may be gone when the next owner reads the job.
func (o *Orchestrator) followQueue(j *job) {
	last := j.Placement
	next, ok := o.cfg.Placement(j.Spec)
	if !ok || !j.Move(next) {
		return
	}
	if last.PolicyRestricted {
		o.forgetStepPolicies(j)
	}
	maps.DeleteFunc(o.claims, func(_ *sequencer.Task, cl *claim) bool { return cl.job == j && !o.inPool(cl.agent, j) })
	o.planDue = true
	o.markDirty(j)
	o.cfg.Log.Info("job moved with its queue", zap.String("job", j.Spec.ID), zap.String("queue", j.Spec.Queue), zap.String("from", last.Pool), zap.String("pool", next.Pool),
		zap.Bool("restricted", next.PolicyRestricted), zap.Uint64("config", next.Version), zap.Uint64("config_before", last.Version), zap.Int("runs", len(j.liveRuns)))
}

// inPool reports whether the worker of an agent is one of those at which the tasks of a job may start.
func (o *Orchestrator) inPool(a *agent, j *job) bool {
	return a.snapshot != nil && a.snapshot.Pool == j.Placement.Pool
}
