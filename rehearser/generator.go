package rehearser

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/endivefall/endivefall/allocator"
	"github.com/endivefall/endivefall/sequencer"
)

// Spreads of the generated values.
const (
	// sizeSpread and widthSpread are relative standard deviations of requests and of the
	// number of tasks.
	sizeSpread, widthSpread = 0.3, 0.6
	// estimateSpread is the standard deviation of the logarithm of an estimate's error.
	estimateSpread = 0.4
	// heavyMean and lightMean are the mean interference coefficients, as parts of the
	// rate that a serving image can handle.
	heavyMean, lightMean = 1.7, 0.2
)

// generator makes jobs from a pattern.
type generator struct {
	pattern *Pattern
	r       *rand.Rand
	jobs    int
	pairs   map[[2]string]float64
}

// arrival is a job with what only the workers know of it.
type arrival struct {
	job   *sequencer.Job
	class *Class // nil for a serving job
	at    time.Time
	// seconds is how long a task of the job takes at full pace, phase the phase of the
	// load of a serving job.
	seconds float64
	phase   time.Duration
	// worth is what the job earns in time.
	worth float64
	// endedAt is when its last task ended; zero before.
	endedAt time.Time
	// corrections is what its ended tasks have shown of its estimates.
	corrections allocator.Corrections
	// endsAt is when a serving job ends; zero if it never does.
	endsAt time.Time
}

func newGenerator(p *Pattern, seed uint64) *generator {
	return &generator{pattern: p, r: rand.New(rand.NewPCG(seed, 1)), pairs: map[[2]string]float64{}}
}

// interference returns the coefficient of a pair of images.
func (g *generator) interference(bestEffortImage, servingImage string) float64 {
	return g.pairs[[2]string{bestEffortImage, servingImage}]
}

// drawPairs draws the coefficients of all pairs.
func (g *generator) drawPairs() {
	for _, class := range g.pattern.Jobs {
		heavy, light := class.coefficients()
		for n := range class.Images {
			for m := range g.pattern.Serving.Images {
				mean := light
				if g.r.Float64() < class.Heavy {
					mean = heavy
				}
				g.pairs[[2]string{bestEffortImage(&class, n), servingImage(m)}] = mean * (0.5 + g.r.Float64())
			}
		}
	}
}

// coefficients returns the mean interference coefficients of strongly interfering pairs and
// of the others.
func (c *Class) coefficients() (heavy, light float64) {
	heavy, light = heavyMean, lightMean
	if c.Strength > 0 {
		heavy, light = c.Strength, c.Strength*lightMean/heavyMean
	}
	if c.Ratio > 0 {
		light = heavy / c.Ratio
	}
	return heavy, light
}

func bestEffortImage(c *Class, n int) string { return fmt.Sprint(c.Name, n) }

func servingImage(n int) string { return fmt.Sprint("serving", n) }

// around returns a random value with a mean and a relative spread, of at least low.
func (g *generator) around(mean, spread, low float64) float64 {
	sigma := math.Sqrt(math.Log(1 + spread*spread))
	return max(mean*math.Exp(sigma*g.r.NormFloat64()-sigma*sigma/2), low)
}

func (g *generator) id() string {
	g.jobs++
	return fmt.Sprintf("%016x", g.jobs)
}

// serving returns a serving job.
func (g *generator) serving(at time.Time) *arrival {
	s := &g.pattern.Serving
	step := sequencer.Step{
		Count: int(g.around(s.Width, 0.4, 1)), CPU: int64(g.around(s.CPU, sizeSpread, 1000)), Memory: int64(g.around(s.Memory, sizeSpread, 100)),
		Image: servingImage(g.r.IntN(s.Images)), LatencyTargetMs: s.Target.Milliseconds(), LongRunning: true,
	}
	if g.r.Float64() < s.Apart {
		step.MaxPerWorker = 1
	}
	step.Count = min(step.Count, g.pattern.Workers)
	spec := &sequencer.Spec{ID: g.id(), Pool: pool, Steps: []sequencer.Step{step}, AcceptedAt: at}
	a := &arrival{job: sequencer.NewJob(spec, 1, nil), at: at, phase: time.Duration(g.r.Float64() * float64(s.Period))}
	if s.Lifetime > 0 {
		a.endsAt = at.Add(time.Duration(g.r.ExpFloat64() * float64(s.Lifetime)))
	}
	return a
}

// batch returns a job of a class.
func (g *generator) batch(c *Class, at time.Time, elapsed time.Duration) *arrival {
	step := sequencer.Step{
		Count: int(g.around(c.Width, widthSpread, 1)), CPU: int64(g.around(c.CPU, sizeSpread, 100)), Memory: int64(g.around(c.Memory, sizeSpread, 10)), Checkpointable: true,
	}
	if c.Images > 0 {
		step.BestEffort, step.Image = true, bestEffortImage(c, g.r.IntN(c.Images))
	}
	if c.Unsaved > 0 {
		step.Checkpointable = g.r.Float64() >= c.Unsaved
	}
	spread := estimateSpread
	if c.Error > 0 {
		spread = c.Error
	}
	seconds := g.around(c.Task.Seconds(), 0.5, 0.05)
	step.Estimate = time.Duration(seconds / cmp.Or(c.Bias, 1) * math.Exp(spread*g.r.NormFloat64()) * float64(time.Second))
	step.PreferredRack = g.preferredRack(c, elapsed)
	spec := &sequencer.Spec{ID: g.id(), Pool: pool, Priority: c.Priority, StretchFactor: c.Stretch, LatencyAllowance: c.Allowance, AcceptedAt: at}
	steps := max(int(g.around(c.Steps, 0.4, 1)+0.5), 1)
	for n := range steps {
		step.DependsOn = nil
		if n > 0 {
			step.DependsOn = []int{n - 1}
		}
		spec.Steps = append(spec.Steps, step)
	}
	work := float64(steps*step.Count) * float64(step.CPU) * seconds / (c.Steps * c.Width * c.CPU * c.Task.Seconds())
	return &arrival{job: sequencer.NewJob(spec, 1, nil), class: c, at: at, seconds: seconds, worth: c.Worth * min(0.3+0.7*work, 4)}
}

// arrivals returns the jobs that arrive within a step of time.
func (g *generator) arrivals(now time.Time, elapsed, step time.Duration) []*arrival {
	var list []*arrival
	for n := range g.pattern.Jobs {
		c := &g.pattern.Jobs[n]
		rate := c.Rate
		for _, b := range g.pattern.Bursts {
			if b.Name == c.Name && elapsed >= b.At && elapsed < b.At+b.For {
				rate *= b.Times
			}
		}
		for range g.poisson(rate * step.Seconds()) {
			list = append(list, g.batch(c, now, elapsed))
		}
	}
	if g.pattern.Serving.Images > 0 {
		for range g.poisson(g.pattern.Serving.Rate * step.Seconds()) {
			list = append(list, g.serving(now))
		}
	}
	return list
}

// preferredRack returns the rack that holds the data of a new job, if any.
func (g *generator) preferredRack(c *Class, elapsed time.Duration) string {
	if c.Affinity == 0 && c.Hot == 0 {
		return "" // other patterns keep their random numbers
	}
	hot, drawn, rack := elapsed >= c.HotAt && elapsed < c.HotAt+c.HotFor, g.r.Float64(), g.r.IntN(g.pattern.Racks)
	switch {
	case hot && drawn < c.Hot:
		return rackName(0)
	case hot && drawn < c.Hot+(1-c.Hot)*c.Affinity || !hot && drawn < c.Affinity:
		return rackName(rack)
	}
	return ""
}

func rackName(n int) string { return fmt.Sprint("rack", n) }

func (g *generator) poisson(mean float64) int {
	n := 0
	for p := g.r.ExpFloat64(); p < mean; p += g.r.ExpFloat64() {
		n++
	}
	return n
}
