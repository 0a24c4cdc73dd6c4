// Package pacer limits the pace of best-effort tasks on a worker, so that the serving
// tasks there meet their tail latency targets. It learns how much each best-effort
// image interferes with each serving image, predicts the serving tasks' own load, and
// divides the headroom that is left among the best-effort tasks, starting with those
// that interfere least.
package pacer

import (
	"slices"
	"strconv"
	"time"

	"github.com/endivefall/endivefall/predictor"
)

// Parameters of the control loop.
const (
	// decisionInterval is the time between decisions without new measurements:
	// workers measure four times a second.
	decisionInterval = 250 * time.Millisecond
	// planningHorizon is the time for which the headroom must last: until the next
	// decision and until a new pace takes effect.
	planningHorizon = 450 * time.Millisecond
	// minIncreasePercent and minDecreasePercent are the smallest changes of a pace
	// that are worth a call; a pace below minPacePercent becomes 0. They are in
	// percent of full pace.
	minIncreasePercent, minDecreasePercent, minPacePercent = 8, 3, 8
	// negligibleFraction is the interference that is ignored, as a fraction of the
	// rate that a target requires.
	negligibleFraction = 0.02
	// settleTime is how long a run must run at a pace, and minSettledPacePercent the
	// lowest such pace, before its CPU use is extrapolated to full pace.
	settleTime, minSettledPacePercent = 400 * time.Millisecond, 20
	// maxViolation is how long a tail latency may stay over its target before all
	// best-effort tasks are stopped, whatever their estimated interference: half of
	// what the contract allows.
	maxViolation = 2 * time.Second
)

// Run is a run on the worker.
type Run struct {
	Task            string
	Attempt         uint64
	Group           string // name of the step; its tasks share a load
	Image           string
	CPU             int64 // requested CPU, in thousandths of a core
	UsedCPU         int64 // CPU used by a best-effort task, in thousandths of a core
	BestEffort      bool
	LatencyTargetMs int64 // upper bound of the tail latency; 0 if the task is not serving
	TailLatencyMs   int64 // tail latency as reported by the worker
	ProgressPercent int   // progress; a serving task is ready at 100
	PacePercent     int   // allowed pace, in percent of full pace
	// PacedSince is the time at which the pace was set.
	PacedSince time.Time
}

// Name returns a name that is unique among runs.
func (r *Run) Name() string { return r.Task + "/" + strconv.FormatUint(r.Attempt, 10) }

// Change is a new pace for a run and the reason for it: the tail latency and the
// target of the serving task that limits the run, that task's headroom, and the
// interference of the run at full pace. Headroom and Interference are fractions of
// the rate that the target requires.
type Change struct {
	Task                           string
	Attempt                        uint64
	PacePercent                    int
	Reason                         string
	TailLatencyMs, LatencyTargetMs int64
	Headroom, Interference         float64
}

// Pacer sets the paces on one worker. It is not safe for concurrent use.
type Pacer struct {
	// Predictor estimates interference and headroom.
	Predictor *predictor.Predictor
	// MeasurementUpdates counts the updates of the worker's measurements.
	MeasurementUpdates uint64
	unsmoother         *predictor.Unsmoother
	// nextDecision is when the next decision is due, unless measurements or runs
	// change before.
	nextDecision time.Time
	// reportedTailMs has the tail latencies reported last, currentTailMs the present
	// ones derived from them, both by run.
	reportedTailMs map[string]int64
	currentTailMs  map[string]float64
	// bestEffortRuns are the best-effort runs at the last decision.
	bestEffortRuns map[string]bool
	// violatedSince is the time since which a tail latency has been over its target;
	// zero if none is.
	violatedSince time.Time
}

// New returns a Pacer.
func New() *Pacer {
	return &Pacer{Predictor: predictor.New(), unsmoother: predictor.NewUnsmoother(), currentTailMs: map[string]float64{}}
}

// TailLatencyMs returns the current tail latency in ms of a serving run, by Run.Name,
// or 0 if it is not known.
func (p *Pacer) TailLatencyMs(name string) float64 { return p.currentTailMs[name] }

// servingRun is the run of a serving task in a decision.
type servingRun struct {
	Run
	// requiredRate is the spare rate that its target requires, headroom the rate that
	// is left for best-effort tasks, in 1/s.
	requiredRate, headroom float64
}

// Decide returns the paces to change on a worker with the given CPU capacity in
// thousandths of a core.
func (p *Pacer) Decide(now time.Time, capacity int64, runs []Run) []Change {
	if capacity <= 0 {
		return nil
	}
	var serving []servingRun
	var bestEffort []Run
	for _, r := range runs {
		switch {
		case r.BestEffort:
			bestEffort = append(bestEffort, r)
		case r.LatencyTargetMs > 0 && r.ProgressPercent >= 100:
			serving = append(serving, servingRun{Run: r, requiredRate: predictor.RequiredRate(r.LatencyTargetMs)})
		}
	}
	updated := p.learn(now, capacity, serving, bestEffort)
	if !p.runsChanged(bestEffort) && !updated && now.Before(p.nextDecision) {
		return nil
	}
	p.nextDecision = now.Add(decisionInterval)
	if len(serving) == 0 {
		p.violatedSince = time.Time{}
		return resumeAll(bestEffort)
	}
	if worst := p.checkViolation(now, serving); now.Sub(p.violatedSince) >= maxViolation && !p.violatedSince.IsZero() {
		return stopAll(bestEffort, worst)
	}
	p.predictHeadroom(now, serving)
	return p.distribute(now, capacity, serving, bestEffort)
}

// learn updates the predictor if there are new measurements, and reports whether
// there are.
func (p *Pacer) learn(now time.Time, capacity int64, serving []servingRun, bestEffort []Run) bool {
	reportedTailMs := make(map[string]int64, len(serving))
	updated := len(serving) != len(p.reportedTailMs)
	for _, s := range serving {
		name := s.Name()
		reportedTailMs[name] = s.TailLatencyMs
		updated = updated || p.reportedTailMs[name] != s.TailLatencyMs
	}
	if !updated {
		return false
	}
	p.reportedTailMs = reportedTailMs
	p.MeasurementUpdates++
	usage := predictor.Usage{}
	for _, r := range bestEffort {
		usage[r.Image] += float64(r.UsedCPU) / float64(capacity)
	}
	names, groups := make(map[string]bool, len(serving)), make(map[string]bool, len(serving))
	currentTailMs := make(map[string]float64, len(serving))
	for _, s := range serving {
		name := s.Name()
		names[name], groups[s.Group] = true, true
		if tailMs, stdErr, ok := p.unsmoother.Unsmooth(name, now, float64(s.TailLatencyMs)); ok {
			currentTailMs[name] = tailMs
			p.Predictor.Learn(now, predictor.Sample{Group: s.Group, Image: s.Image, Run: name, Rate: 1000 / tailMs, StdErr: 1000 * stdErr / (tailMs * tailMs), RequiredRate: s.requiredRate}, usage)
		}
	}
	p.unsmoother.Retain(names)
	p.Predictor.Retain(groups, names)
	p.currentTailMs = currentTailMs
	return true
}

// runsChanged reports whether the best-effort runs are others than at the last
// decision.
func (p *Pacer) runsChanged(bestEffort []Run) bool {
	names := make(map[string]bool, len(bestEffort))
	changed := len(bestEffort) != len(p.bestEffortRuns)
	for _, r := range bestEffort {
		name := r.Name()
		names[name] = true
		changed = changed || !p.bestEffortRuns[name]
	}
	p.bestEffortRuns = names
	return changed
}

// checkViolation records since when a tail latency has been over its target, and
// returns the run that is worst off.
func (p *Pacer) checkViolation(now time.Time, serving []servingRun) servingRun {
	worst := serving[0]
	for _, s := range serving {
		if s.TailLatencyMs*worst.LatencyTargetMs > worst.TailLatencyMs*s.LatencyTargetMs {
			worst = s
		}
	}
	switch {
	case worst.TailLatencyMs < worst.LatencyTargetMs:
		p.violatedSince = time.Time{}
	case p.violatedSince.IsZero():
		p.violatedSince = now
	}
	return worst
}

// predictHeadroom sets the headroom of each serving run until paces can change again.
func (p *Pacer) predictHeadroom(now time.Time, serving []servingRun) {
	for n := range serving {
		s := &serving[n]
		headroom, ok := p.Predictor.Headroom(s.Group, s.Name(), now, now.Add(planningHorizon), s.LatencyTargetMs)
		if !ok { // no samples yet
			headroom = max(1000/float64(max(s.TailLatencyMs, 1))-s.requiredRate, 0)
		}
		s.headroom = headroom
	}
}

// interference returns the rate that a serving image loses to a best-effort run at
// full pace.
func (p *Pacer) interference(now time.Time, capacity int64, r *Run, servingImage string) float64 {
	fullCPU := float64(r.CPU)
	if r.UsedCPU > 0 && r.PacePercent >= minSettledPacePercent && now.Sub(r.PacedSince) >= settleTime {
		fullCPU = min(max(float64(r.UsedCPU)*100/float64(r.PacePercent), fullCPU/3), fullCPU*2)
	}
	return p.Predictor.UpperInterference(r.Image, servingImage) * fullCPU / float64(capacity)
}

// demand is the interference of a best-effort run at full pace.
type demand struct {
	index            int       // index of the run
	rates            []float64 // rate that each serving run would lose
	maxHeadroomShare float64   // largest fraction of a serving run's headroom that it would take
}

// distribute divides the headroom among the best-effort runs, starting with those that
// interfere least.
func (p *Pacer) distribute(now time.Time, capacity int64, serving []servingRun, bestEffort []Run) []Change {
	demands := make([]demand, len(bestEffort))
	for n := range bestEffort {
		d := demand{index: n, rates: make([]float64, len(serving))}
		for m, s := range serving {
			d.rates[m] = p.interference(now, capacity, &bestEffort[n], s.Image)
			d.maxHeadroomShare = max(d.maxHeadroomShare, d.rates[m]/max(s.headroom, negligibleFraction*s.requiredRate))
		}
		demands[n] = d
	}
	slices.SortStableFunc(demands, func(a, b demand) int {
		switch {
		case a.maxHeadroomShare < b.maxHeadroomShare:
			return -1
		case a.maxHeadroomShare > b.maxHeadroomShare:
			return 1
		}
		return 0
	})
	var changes []Change
	for _, d := range demands {
		fraction, tightest := 1.0, 0
		for m, s := range serving {
			if rate := d.rates[m]; rate > negligibleFraction*s.requiredRate && s.headroom < rate*fraction {
				fraction, tightest = s.headroom/rate, m
			}
		}
		r, s := bestEffort[d.index], serving[tightest]
		if pace, ok := paceToSet(r.PacePercent, int(100*fraction)); ok {
			changes = append(changes, Change{
				Task: r.Task, Attempt: r.Attempt, PacePercent: pace, Reason: reason(r.PacePercent, pace), TailLatencyMs: s.TailLatencyMs, LatencyTargetMs: s.LatencyTargetMs,
				Headroom: s.headroom / s.requiredRate, Interference: d.rates[tightest] / s.requiredRate,
			})
		}
		for m := range serving {
			serving[m].headroom = max(serving[m].headroom-d.rates[m]*fraction, 0)
		}
	}
	return changes
}

// paceToSet returns the pace to set, and whether the change is worth a call.
func paceToSet(from, to int) (int, bool) {
	if to < minPacePercent {
		to = 0
	}
	switch {
	case to == from:
		return to, false
	case to < from:
		return to, to == 0 || from-to >= minDecreasePercent
	}
	return to, to == 100 || to-from >= minIncreasePercent
}

func reason(from, to int) string {
	if to < from {
		return "tail latency would exceed its target"
	}
	return "tail latencies leave headroom"
}

// resumeAll sets all best-effort runs to full pace, as there are no serving tasks.
func resumeAll(bestEffort []Run) []Change {
	var changes []Change
	for _, r := range bestEffort {
		if r.PacePercent < 100 {
			changes = append(changes, Change{Task: r.Task, Attempt: r.Attempt, PacePercent: 100, Reason: "no serving tasks on the worker"})
		}
	}
	return changes
}

// stopAll sets the pace of all best-effort runs to 0.
func stopAll(bestEffort []Run, worst servingRun) []Change {
	var changes []Change
	for _, r := range bestEffort {
		if r.PacePercent > 0 {
			changes = append(changes, Change{
				Task: r.Task, Attempt: r.Attempt, Reason: "tail latency stays over its target", TailLatencyMs: worst.TailLatencyMs, LatencyTargetMs: worst.LatencyTargetMs,
			})
		}
	}
	return changes
}
