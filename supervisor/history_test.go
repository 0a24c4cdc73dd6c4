package supervisor_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"github.com/endivefall/endivefall/advancer"
	"github.com/endivefall/endivefall/faker"
	"github.com/endivefall/endivefall/logger"
	"github.com/endivefall/endivefall/messenger"
	"github.com/endivefall/endivefall/pacer"
	"github.com/endivefall/endivefall/supervisor"
)

var (
	histories = flag.Int("histories", 12, "seeded histories of one agent under faults")
	logged    = flag.Bool("logged", false, "print the agent's log")
	firstSeed = flag.Uint64("seed", 1, "seed of the first history")
)

const (
	// historyParts is the number of parts of a history, each of which has partSteps steps and
	// ends with a check. maxStepPause is the longest time between two steps, and
	// pollInterval how often the owner looks at the agent's snapshots.
	historyParts = 16
	partSteps    = 15
	maxStepPause = 200 * time.Millisecond
	pollInterval = 20 * time.Millisecond
	// settleTime follows the faults, until what they have led to has ended: a lease and
	// four calls of 700 ms each.
	settleTime = leaseDuration + 4*700*time.Millisecond
	// paceSettleTime follows the faults before the paces are compared: a connection that is
	// given up after 1.2 s, a call that waits 700 ms for its reply, and one that is sent
	// a second after it was refused.
	paceSettleTime = 2900 * time.Millisecond
	// paceCheckTime is how long the paces are compared, and maxPaceLag how long the agent may
	// report a pace that the worker lacks: a snapshot and the next comparison of what is
	// wanted and known take 700 ms.
	paceCheckTime, maxPaceLag = 3 * time.Second, time.Second
	// latencyTargetMs is the target of latency-critical tasks. Their tail latencies lie from
	// minTailMs to maxTailMs and change every few steps.
	latencyTargetMs      = 100
	minTailMs, maxTailMs = 30, 150
	stepsPerMeasurement  = 4
)

// TestHistories runs an agent under starts and stops, lost, late and refused calls, and
// restarts of the agent, the worker and the connection to the owner. In the end the worker
// must run what the owner wants, at the pace that the agent reports.
func TestHistories(t *testing.T) {
	for n := range *histories {
		seed := *firstSeed + uint64(n)
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) {
			t.Parallel()
			inBubble(t, func(_ *qt.C, h *harness) { runHistory(h, seed) })
		})
	}
}

// history is a history of one agent. All fields but draws, shares, beats and
// measurements, which harness.mu guards, belong to the goroutine of the test.
type history struct {
	*harness
	r    *rand.Rand
	seed uint64
	// draws counts the random numbers by their use.
	draws map[string]int
	// shares has the share of calls of a kind that meet a fault.
	shares map[string]float64
	// beats counts the heartbeats; mu guards it.
	beats uint64
	// measurements counts the steps, from which the measurements follow; mu guards it.
	measurements int
	tasks        int
	process      int
	// runs are those that the owner has started, in that order.
	runs  []*ownedRun
	byKey map[string]*ownedRun
	// link is the connection to which the owner sends commands, sent the number of the
	// commands sent on it.
	link *messenger.Conn
	sent uint64
	// violations describes what must not happen.
	violations []string
}

func runHistory(base *harness, seed uint64) {
	h := &history{harness: base, r: rand.New(rand.NewPCG(seed, 0)), seed: seed, draws: map[string]int{}, shares: map[string]float64{}, byKey: map[string]*ownedRun{}}
	h.worker.CPU, h.worker.Memory = 100000, 100000
	h.worker.Plan = h.planOf
	h.set(func() { h.fault = h.faultOf })
	h.stopAgent()
	h.startAgent()
	h.wait(time.Second)
	for range historyParts {
		for range partSteps {
			h.set(func() { h.measurements++ })
			h.step()
			h.wait(time.Duration(h.r.Int64N(int64(maxStepPause))))
		}
		h.set(func() {
			h.shares = map[string]float64{}
			h.acking, h.unregistered = true, false
		})
		h.wait(paceSettleTime)
		h.checkPaces()
		h.wait(maxFaultDuration + settleTime)
		h.checkRuns()
	}
	h.c.Check(h.violations, qt.HasLen, 0)
	h.c.Check(h.count("start") > 20, qt.IsTrue)
}

// reportf records what must not happen.
func (h *history) reportf(format string, args ...any) {
	h.violations = append(h.violations, fmt.Sprintf(format, args...))
}

// draw returns a pseudo-random number in [0, 1) that depends on the seed, the purpose and
// the number of draws for it. The caller holds mu.
func (h *history) draw(purpose string) float64 {
	h.draws[purpose]++
	return rand.New(rand.NewPCG(h.seed, xxhash.Sum64String(fmt.Sprint(purpose, h.draws[purpose])))).Float64()
}

// faultOf returns the fault of a call. The caller holds mu.
func (h *history) faultOf(call string) faker.PoolFault {
	if h.draw(call) >= h.shares[call] {
		return faker.PoolFault{Delay: time.Millisecond}
	}
	amount := h.draw(call + "amount")
	kind := int(h.draw(call+"kind") * 6)
	switch {
	case kind < 2:
		return faker.PoolFault{LoseReply: true}
	case kind == 2:
		return faker.PoolFault{LoseReply: true, ApplyDelay: time.Duration(amount * float64(2*time.Second))}
	case kind == 3:
		return faker.PoolFault{LoseReply: true, Drop: true}
	case kind == 4 || call == "look":
		return faker.PoolFault{Delay: time.Millisecond, ReplyDelay: time.Duration(amount * float64(900*time.Millisecond))}
	case amount < 0.5:
		return faker.PoolFault{Refusal: supervisor.ErrStaleFence}
	}
	return faker.PoolFault{Refusal: supervisor.ErrUnhealthy}
}

// planOf returns what a task does: those whose names begin with short end by themselves.
func (h *history) planOf(task string, attempt uint64) faker.PoolRunPlan {
	r := rand.New(rand.NewPCG(h.seed, xxhash.Sum64String(runName(task, attempt))))
	if strings.HasPrefix(task, "short") {
		return faker.PoolRunPlan{Duration: 50*time.Millisecond + time.Duration(r.Int64N(int64(3*time.Second))), Fails: r.Float64() < 0.1}
	}
	return faker.PoolRunPlan{Measure: func(time.Duration) int64 {
		if !strings.HasPrefix(task, "serving") {
			return 500
		}
		h.mu.Lock()
		n := h.measurements
		h.mu.Unlock()
		r := rand.New(rand.NewPCG(h.seed, xxhash.Sum64String(fmt.Sprint(task, n/stepsPerMeasurement))))
		return minTailMs + r.Int64N(maxTailMs-minTailMs)
	}}
}

func (h *history) stopAgent() {
	h.stop()
	<-h.done
	h.wait(pollInterval)
	h.set(func() { h.snapshot, h.ackedEnd = nil, 0 })
	h.link = nil
}

func (h *history) startAgent() {
	h.process++
	log := zap.NewNop()
	if *logged {
		var err error
		log, err = logger.New(os.Stdout, "debug")
		h.c.Assert(err, qt.IsNil)
	}
	h.sup = supervisor.New(supervisor.Config{
		ID: "agent", Incarnation: fmt.Sprint("process-", h.process), Worker: h.worker.Client(), LeaseDuration: leaseDuration, Now: time.Now, Log: log,
		FindOwner: func(context.Context) (netip.AddrPort, uint64, error) { return ownerAddr, 1, nil },
		Client:    h.network.Client("agent"), Pacer: pacer.New(),
	})
	ctx, stop := context.WithCancel(context.Background())
	done, sup := make(chan struct{}), h.sup
	h.stop, h.done = stop, done
	go func() {
		defer close(done)
		sup.Serve(ctx)
	}()
	go func() {
		for ctx.Err() == nil {
			sup.HandleHeartbeat(ctx, h.heartbeat())
			select {
			case <-time.After(time.Second):
			case <-ctx.Done():
			}
		}
	}()
}

func (h *history) heartbeat() supervisor.Heartbeat {
	var seq uint64
	h.set(func() {
		h.beats++
		seq = h.beats
	})
	return h.worker.Heartbeat(seq)
}

// wait lets time pass while the owner goes on working.
func (h *history) wait(duration time.Duration) {
	for end := time.Now().Add(duration); time.Now().Before(end); {
		advancer.Sleep(min(pollInterval, time.Until(end)))
		h.pollOwner()
	}
}

// maxFaultDuration bounds how long a fault acts.
const maxFaultDuration = 3 * time.Second

// step does something to the agent.
func (h *history) step() {
	duration := time.Duration(h.r.Int64N(int64(maxFaultDuration)))
	switch n := h.r.IntN(100); {
	case n < 38:
		h.startRun()
	case n < 64:
		h.stopRun()
	case n < 78: // calls of one kind, or of all, meet faults
		calls := [][]string{{"start"}, {"stop"}, {"look"}, {"pace"}, {"pace"}, {"start", "stop", "look", "pace"}}[h.r.IntN(6)]
		share := 0.2 + 0.7*h.r.Float64()
		h.setShares(calls, share)
		time.AfterFunc(duration, func() { h.setShares(calls, 0) })
	case n < 81: // the worker sees a higher fence from elsewhere
		beat := h.heartbeat()
		fence := uint64(time.Now().UnixMilli()) + h.r.Uint64N(1000)
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		_, _ = h.worker.Client().List(ctx, supervisor.ListRequest{WorkerID: beat.WorkerID, Fence: fence})
		cancel()
	case n < 87:
		h.stopAgent()
		h.wait(duration / 2)
		h.startAgent()
	case n < 93: // the worker starts again, mostly under its ID
		id := "worker"
		if h.r.IntN(3) == 0 {
			h.tasks++
			id = fmt.Sprint("worker-", h.tasks)
		}
		h.worker.Crash()
		h.wait(duration / 4)
		h.worker.Restart(id, time.UnixMilli(5_000_000+h.r.Int64N(5_000_000)))
		go h.sup.HandleHeartbeat(context.Background(), h.heartbeat())
	case n < 97:
		h.ownerConn().Close("connection is lost")
	default: // the owner renews no lease, or acknowledges nothing
		silent := h.r.IntN(2) == 0
		h.set(func() { h.acking, h.unregistered = !silent, true })
		time.AfterFunc(duration, func() { h.set(func() { h.acking, h.unregistered = true, false }) })
	}
}

func (h *history) setShares(calls []string, share float64) {
	h.set(func() {
		for _, call := range calls {
			h.shares[call] = share
		}
	})
}

// checkRuns checks that the worker runs what it should, and that the agent says so.
func (h *history) checkRuns() {
	active := map[string]string{} // incarnation by run
	var events []faker.PoolEvent
	h.set(func() { events = h.events })
	for _, e := range events {
		name := runName(e.Task, e.Attempt)
		switch e.Kind {
		case "start":
			for other := range active {
				if strings.HasPrefix(other, e.Task+"#") {
					h.reportf("%s started while %s worked", name, other)
				}
			}
			active[name] = e.Incarnation
		case "end":
			delete(active, name)
		case "gone":
			for run, incarnation := range active {
				if incarnation == e.Incarnation {
					delete(active, run)
				}
			}
		}
	}
	listed := map[string]bool{}
	for _, status := range h.latestSnapshot().Runs {
		name := runName(status.Task, status.Attempt)
		listed[name] = true
		if active[name] == "" {
			h.reportf("%s is listed, but does not work", name)
		}
		if status.Phase != messenger.PhaseRunning {
			h.reportf("%s works, but is listed in phase %d", name, status.Phase)
		}
	}
	for _, r := range h.runs {
		name := runName(r.task, r.attempt)
		if active[name] != "" && !listed[name] {
			h.reportf("%s works, but is not listed", name)
		}
		if active[name] != "" && r.stop {
			h.reportf("%s works, but is to stop", name)
		}
	}
}

// checkPaces checks that the worker gets the paces that the agent reports.
func (h *history) checkPaces() {
	type mismatch struct{ worker, agent int }
	current, since, reported := map[string]mismatch{}, map[string]time.Time{}, map[string]bool{}
	for end := time.Now().Add(paceCheckTime); time.Now().Before(end); h.wait(pollInterval) {
		paces := h.worker.Paces()
		for _, status := range h.latestSnapshot().Runs {
			pace, ok := paces[status.Task]
			if pair := (mismatch{pace, status.PacePercent}); !ok || current[status.Task] != pair || pace == status.PacePercent {
				current[status.Task], since[status.Task] = pair, time.Now()
			}
			if time.Since(since[status.Task]) > maxPaceLag && !reported[status.Task] {
				reported[status.Task] = true
				h.reportf("%s works at %d percent, but is listed at %d", status.Task, pace, status.PacePercent)
			}
		}
	}
}
