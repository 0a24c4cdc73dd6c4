package coordinator_test

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/endivefall/endivefall/advancer"
	"github.com/endivefall/endivefall/coordinator"
	"github.com/endivefall/endivefall/elector"
	"github.com/endivefall/endivefall/faker"
	"github.com/endivefall/endivefall/sequencer"
)

// TestHistoriesWithCancels cancels most jobs, at any moment, beside faults that each meet
// one worker, its agent or one kind of their calls, and beside entries that are lost.
func TestHistoriesWithCancels(t *testing.T) {
	runHistories(t, nil, func(f *fleet, r *rand.Rand) {
		f.setFaults(func() { f.canceledJobs = canceledJobs })
		f.injectCancelFault(r)
	})
}

// TestHistoriesWithCancelsOfJobsInDoubt loses most replies to writes for some seconds. Callers
// whose submissions got no answer cancel them, and the store may carry the writes out later.
// In seed 28 such a job ran after its cancel.
func TestHistoriesWithCancelsOfJobsInDoubt(t *testing.T) {
	runHistories(t, []uint64{28}, func(f *fleet, r *rand.Rand) {
		f.setFaults(func() { f.canceledJobs = canceledJobs })
		if r.IntN(2) == 0 {
			f.injectCancelFault(r)
			return
		}
		duration := time.Duration(1000+r.IntN(4000)) * time.Millisecond
		f.disturb("", duration+maxLateWrite)
		f.setFaults(func() { f.storeReplyLoss = 0.8 })
		time.AfterFunc(duration, func() { f.setFaults(func() { f.storeReplyLoss = 0 }) })
	})
}

// maxLateWrite is how long after its call the fleet's store carries a write out at the latest.
const maxLateWrite = 6 * time.Second

const (
	// canceledJobs is the share of jobs that are canceled, endlessJobs the share of
	// long-running ones, of which a third is latency-critical and a third best-effort.
	canceledJobs, endlessJobs = 0.75, 0.25
	// minCancelDelay and maxCancelDelay bound how long after its acceptance a job is
	// canceled. Half of the delays are below their geometric mean.
	minCancelDelay, maxCancelDelay = 2 * time.Millisecond, 15 * time.Second
	// cancelTries is how often a caller sends a cancel whose outcome is unknown.
	cancelTries = 4
	// latencyTargetMs is the target of latency-critical tasks, whose tail latencies lie
	// between it and its multiples by minTail and maxTail and change each tailPeriod.
	latencyTargetMs  = 100
	minTail, maxTail = 0.3, 1.5
	tailPeriod       = time.Second
)

const (
	// heartbeatInterval is the time between two heartbeats of the fleet's workers.
	heartbeatInterval = time.Second
	// reconnectTimeout is after how long an agent leaves an owner that does not answer,
	// and maxListTime how long one of its lists may take.
	reconnectTimeout, maxListTime = 1200 * time.Millisecond, 1200 * time.Millisecond
	// workerSettleTime is how long the faults of one worker and its agent act on after
	// their end: the next heartbeat and list show the runs, on a new connection.
	workerSettleTime = heartbeatInterval + reconnectTimeout + maxListTime
)

// settleTime is how long faults of an entry or the store act on after their end: until
// there is another owner, and no run has a lease from the one before.
var settleTime = elector.ConfirmationTTL + coordinator.RunLease(maxWorkerLease)

// disturb records that a fault meets a worker, or all if it has no name, for some time from
// now on.
func (f *fleet) disturb(worker string, duration time.Duration) {
	settle := workerSettleTime
	if worker == "" {
		settle = settleTime
	}
	f.auditor.Disturb(worker, time.Now(), time.Now().Add(duration+settle))
}

// varySteps makes some jobs long-running, latency-critical or best-effort, and reports
// whether the job is to be canceled. It changes nothing in the other kinds of histories.
func (f *fleet) varySteps(spec *sequencer.Spec) (canceled bool) {
	f.mu.Lock()
	share := f.canceledJobs
	f.mu.Unlock()
	if share == 0 {
		return false
	}
	r := f.random("steps" + spec.ID)
	if r.Float64() < endlessJobs {
		step := sequencer.Step{Count: 2, CPU: 500, Memory: 100, LongRunning: true, Image: "idle"}
		switch r.IntN(3) {
		case 0:
			step.Image, step.LatencyTargetMs = "serving", latencyTargetMs
		case 1:
			step.Image, step.BestEffort = "filling", true
		}
		spec.Steps = []sequencer.Step{step}
	}
	return r.Float64() < share
}

// measurement returns the measurements of a long-running task.
func (f *fleet) measurement(task string) func(time.Duration) int64 {
	id, _, step, _, err := sequencer.ParseTaskName(task)
	if err != nil {
		return nil
	}
	switch s := f.auditor.Spec(id).Steps[step]; {
	case s.LatencyTargetMs > 0:
		return func(worked time.Duration) int64 {
			r := f.random(fmt.Sprint(task, worked/tailPeriod))
			return int64(float64(s.LatencyTargetMs) * (minTail + r.Float64()*(maxTail-minTail)))
		}
	default:
		return func(time.Duration) int64 { return s.CPU }
	}
}

// cancelLater cancels a job some time after it was accepted.
func (f *fleet) cancelLater(id string) {
	r := f.random("cancel" + id)
	span := math.Log(float64(maxCancelDelay) / float64(minCancelDelay))
	time.AfterFunc(time.Duration(float64(minCancelDelay)*math.Exp(r.Float64()*span)), func() { f.cancelSurely(id, r) })
}

// cancelSurely cancels a job and tries again at other entries if the outcome is unknown.
func (f *fleet) cancelSurely(id string, r *rand.Rand) {
	f.auditor.CancelJob(id, false)
	for range cancelTries {
		ctx, cancel := context.WithTimeout(f.ctx, 3*time.Second)
		acknowledged := f.cancelAt(ctx, id, f.entry(r.IntN(16)))
		cancel()
		if acknowledged || f.ctx.Err() != nil {
			return
		}
	}
}

// replyFault returns a fault of a call that is carried out in time.
func (f *fleet) replyFault(purpose string) faker.PoolFault {
	if f.draw(purpose+"late") < 0.4 {
		return faker.PoolFault{Delay: time.Millisecond, ReplyDelay: time.Duration(f.draw(purpose+"delay") * float64(900*time.Millisecond))}
	}
	return faker.PoolFault{LoseReply: true}
}

// injectCancelFault injects a fault that meets one worker or one entry.
func (f *fleet) injectCancelFault(r *rand.Rand) {
	a := f.agents[fmt.Sprintf("agent-%d", r.IntN(len(f.agents)))]
	duration := time.Duration(500+r.IntN(3500)) * time.Millisecond
	if r.IntN(3) == 0 {
		f.cancelRunsOf(a, duration, r)
	}
	switch kind := r.IntN(13); kind {
	case 0, 1, 2, 3, 4, 5: // replies to one kind of calls are lost or late, or all kinds
		calls := [][]string{{"start"}, {"stop"}, {"look"}, {"pace"}, {"start", "stop"}, {"start", "stop", "look", "pace"}}[kind]
		share := 0.2 + 0.6*r.Float64()
		f.disturb(a.name, duration)
		f.setCallFaults(a.name, calls, share)
		time.AfterFunc(duration, func() { f.setCallFaults(a.name, calls, 0) })
	case 6, 7: // the agent's process is killed and restarted
		f.disturb(a.name, duration)
		f.stopAgent(a)
		advancer.Sleep(duration / 2)
		f.startAgent(a)
	case 8: // the worker crashes
		f.disturb(a.name, 0)
		f.restartWorker(a)
	case 9: // the worker starts again under its ID
		f.disturb(a.name, duration)
		a.worker.Crash()
		advancer.Sleep(duration / 3)
		f.restartWorkerUnderItsID(a)
	case 10: // the agent is cut off from the entries
		f.disturb(a.name, duration)
		f.cutOff(a.name, duration, r.IntN(2) == 0)
	default:
		f.injectEntryFault(r, duration)
	}
}

// injectEntryFault kills or replaces an entry, or cuts it off.
func (f *fleet) injectEntryFault(r *rand.Rand, duration time.Duration) {
	e := f.entry(r.IntN(16))
	if owners := f.owners(); len(owners) > 0 && r.IntN(2) == 0 {
		e = owners[0]
	}
	var n int
	_, _ = fmt.Sscanf(e.name, "entry-%d", &n)
	f.disturb("", duration)
	switch r.IntN(3) {
	case 0:
		f.kill(e)
		advancer.Sleep(duration / 2)
		f.startEntry(e.name, n)
	case 1:
		ctx, cancel := context.WithTimeout(f.ctx, 3*time.Second)
		e.coordinator.HandOver(ctx)
		cancel()
		f.kill(e)
		f.startEntry(e.name, n)
		f.disturb("", 0)
	case 2:
		f.setFaults(func() { f.rejected[e.name] = true })
		f.cutOff(e.name, duration, r.IntN(2) == 0)
		time.AfterFunc(duration, func() { f.setFaults(func() { f.rejected[e.name] = false }) })
	}
}

// cancelRunsOf cancels jobs of a worker within the duration of the fault that begins now.
func (f *fleet) cancelRunsOf(a *agentNode, duration time.Duration, r *rand.Rand) {
	canceled := map[string]bool{}
	for _, task := range a.worker.Running() {
		id := sequencer.JobOf(task)
		keyed := rand.New(rand.NewPCG(r.Uint64(), xxhash.Sum64String(id)))
		if !canceled[id] && keyed.Float64() < 0.5 {
			canceled[id] = true
			time.AfterFunc(time.Duration(keyed.Float64()*float64(duration)), func() { f.cancelSurely(id, keyed) })
		}
	}
}

func (f *fleet) setCallFaults(worker string, calls []string, share float64) {
	f.setFaults(func() {
		for _, call := range calls {
			f.callFaults[worker+call] = share
		}
	})
}

// cutOff cuts a process off from all others for some time.
func (f *fleet) cutOff(name string, duration time.Duration, silent bool) {
	var others []string
	f.setFaults(func() {
		for other := range f.entries {
			others = append(others, other)
		}
	})
	for other := range f.agents {
		others = append(others, other)
	}
	others = slices.DeleteFunc(others, func(other string) bool { return other == name })
	for _, other := range others {
		f.network.SetPartition(name, other, true, silent)
	}
	time.AfterFunc(duration, func() {
		for _, other := range others {
			f.network.SetPartition(name, other, false, false)
		}
	})
}
