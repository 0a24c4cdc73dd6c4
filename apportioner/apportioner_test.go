package apportioner

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivefall/endivefall/allocator"
	"github.com/endivefall/endivefall/sequencer"
)

var now = time.Unix(1000, 0)

// pool is a pool of full workers.
type pool struct {
	*Apportioner
	workers []*allocator.Candidate
}

// newPool returns a pool of workers with 8 cores, on each of which a short task of 8 cores ends
// after the given time.
func newPool(ends ...time.Duration) *pool {
	p := &pool{}
	forecasts := map[string]*allocator.Forecast{}
	short := &sequencer.Step{Count: 1, CPU: 8000, Memory: 10}
	for n, end := range ends {
		c := &allocator.Candidate{ID: fmt.Sprint("w", n), CPU: 8000, Memory: 1000, Speed: 1}
		c.Reserve(short, "short")
		p.workers = append(p.workers, c)
		forecasts[c.ID] = allocator.NewForecast(c, []allocator.Ending{{Step: short, StepName: "short", At: now.Add(end)}})
	}
	p.Apportioner = New(now, forecasts)
	return p
}

// claim claims room for a task and reserves it.
func (p *pool) claim(step sequencer.Step, held string, startsAt time.Time) string {
	step.Count, step.LongRunning = 1, true
	t := sequencer.NewJob(&sequencer.Spec{ID: "0", Steps: []sequencer.Step{step}}, 1, nil).Task(0, 0, 0)
	f, _ := p.Claim(Request{Task: t, StepName: t.StepName(), Workers: p.workers, AnyWorker: true, Held: held, StartsAt: startsAt})
	if f == nil {
		return ""
	}
	f.Reserve(t.StepSpec(), t.StepName())
	return f.ID
}

func TestATaskClaimsTheWorkerWhereItFitsFirst(t *testing.T) {
	for name, tt := range map[string]struct {
		ends     []time.Duration
		cpu      int64
		held     string
		startsIn time.Duration
		want     string
	}{
		"the first":               {[]time.Duration{3 * time.Second, time.Second}, 4000, "", 0, "w1"},
		"not in time":             {[]time.Duration{MaxDelay + time.Second}, 4000, "", 0, ""},
		"keeps its claim":         {[]time.Duration{3 * time.Second, time.Second}, 4000, "w0", 0, "w0"},
		"its claim is too late":   {[]time.Duration{MaxDelay + time.Second, time.Second}, 4000, "w0", 0, "w1"},
		"its worker is gone":      {[]time.Duration{time.Second}, 4000, "gone", 0, "w0"},
		"larger than any worker":  {[]time.Duration{time.Second}, 9000, "", 0, ""},
		"before it may start":     {[]time.Duration{3 * time.Second, time.Second}, 4000, "", 4 * time.Second, "w0"},
		"about as soon as others": {[]time.Duration{time.Second + delayStep/5, time.Second}, 4000, "", 0, "w0"},
	} {
		t.Run(name, func(t *testing.T) {
			qt.Check(t, newPool(tt.ends...).claim(sequencer.Step{CPU: tt.cpu, Memory: 10}, tt.held, now.Add(tt.startsIn)), qt.Equals, tt.want)
		})
	}
}

// Two tasks each held half of a room, so that neither fitted.
func TestWhatIsClaimedFirstIsNotHeldUpByLaterClaims(t *testing.T) {
	c := qt.New(t)
	p := newPool(time.Second, 2*time.Second)
	c.Check(p.claim(sequencer.Step{CPU: 6000, Memory: 10}, "w0", now), qt.Equals, "w0")
	c.Check(p.claim(sequencer.Step{CPU: 6000, Memory: 10}, "w0", now), qt.Equals, "w1", qt.Commentf("both had a claim there"))
}

func TestHalfOfTheRoomIsLeftToOthers(t *testing.T) {
	for name, tt := range map[string]struct {
		ends []time.Duration
		cpu  []int64
		want int
	}{
		"half":                        {make([]time.Duration, 4), []int64{4000, 4000, 4000, 4000, 4000}, 4},
		"the first claim in any case": {make([]time.Duration, 1), []int64{8000, 1000}, 1},
		"none goes before an earlier": {make([]time.Duration, 2), []int64{6000, 6000, 1000}, 1},
		"half by each time":           {[]time.Duration{0, 4 * time.Second, 4 * time.Second, 4 * time.Second}, []int64{2000, 2000, 2000, 2000, 2000}, 2},
		"only what comes free soon":   {[]time.Duration{0, time.Minute, time.Minute}, []int64{2000, 2000, 2000}, 2},
	} {
		t.Run(name, func(t *testing.T) {
			p, claims := newPool(tt.ends...), 0
			for _, cpu := range tt.cpu {
				if p.claim(sequencer.Step{CPU: cpu, Memory: 10}, "", now) != "" {
					claims++
				}
			}
			qt.Check(t, claims, qt.Equals, tt.want)
		})
	}
}

func TestAnUnmetTaskStandsForThoseThatNeedAsMuch(t *testing.T) {
	unmet := sequencer.Step{CPU: 4000, Memory: 100}
	for name, tt := range map[string]struct {
		unmet, step sequencer.Step
		anyWorker   bool
		known       bool
	}{
		"as much":            {unmet, unmet, true, true},
		"more memory":        {unmet, sequencer.Step{CPU: 4000, Memory: 200}, true, true},
		"less CPU":           {unmet, sequencer.Step{CPU: 3000, Memory: 200}, true, false},
		"a label":            {unmet, sequencer.Step{CPU: 4000, Memory: 100, RequiredLabel: "a"}, true, true},
		"another label":      {sequencer.Step{CPU: 4000, Memory: 100, RequiredLabel: "b"}, sequencer.Step{CPU: 4000, Memory: 100, RequiredLabel: "a"}, true, false},
		"no label":           {sequencer.Step{CPU: 4000, Memory: 100, RequiredLabel: "b"}, unmet, true, false},
		"a limit":            {sequencer.Step{CPU: 4000, Memory: 100, MaxPerWorker: 1}, unmet, true, false},
		"some workers alone": {unmet, unmet, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			task := func(id string, step sequencer.Step) *sequencer.Task {
				step.Count = 1
				return sequencer.NewJob(&sequencer.Spec{ID: id, Steps: []sequencer.Step{step}}, 1, nil).Task(0, 0, 0)
			}
			first, second := task("0", tt.unmet), task("1", tt.step)
			u := &Unmet{}
			u.Add(first, first.StepName(), tt.anyWorker)
			qt.Check(t, u.Known(second, second.StepName()), qt.Equals, tt.known)
			qt.Check(t, u.Known(first, first.StepName()), qt.IsTrue)
		})
	}
}
