package rehearser

import (
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/goccy/go-yaml"
)

// ErrPattern means that a load pattern cannot be read or is not valid.
var ErrPattern = errors.New("invalid load pattern")

// Pattern is a load pattern: the workers, the serving tasks that they have at first, and
// the jobs that arrive. Everything else follows from the seed.
type Pattern struct {
	// Length is how long jobs arrive. They have as long again to end.
	Length time.Duration `yaml:"length"`
	// Workers is their number, Sizes their CPU capacities in thousandths of a core, dealt
	// in turn. Memory is in MB for each thousandth of a core.
	Workers int     `yaml:"workers"`
	Sizes   []int64 `yaml:"sizes"`
	Memory  float64 `yaml:"memory"`
	// Save is how often a run saves its progress, 500 ms if not given. Restore is the time
	// until a task that was stopped makes progress again.
	Save    time.Duration `yaml:"save"`
	Restore time.Duration `yaml:"restore"`
	// Racks is the number of racks, which have the same number of neighbouring workers; 0 for none. Remote is
	// how many times as long a task takes outside the rack that holds its data.
	Racks  int     `yaml:"racks"`
	Remote float64 `yaml:"remote"`
	// Delay is the time from a decision to start a task until it works.
	Delay   time.Duration `yaml:"delay"`
	Serving Serving       `yaml:"serving"`
	Jobs    []Class       `yaml:"jobs"`
	// Bursts raise the rate of a class, Losses take workers away.
	Bursts []Burst `yaml:"bursts"`
	Losses []Loss  `yaml:"losses"`
}

// Serving describes long-running tasks with a tail latency target.
type Serving struct {
	// Images is the number of images that they run, Fill the share of the CPU that they
	// reserve at first.
	Images int     `yaml:"images"`
	Fill   float64 `yaml:"fill"`
	// Rate is the number of further jobs a second, Width the mean number of their tasks,
	// CPU the mean request of one in thousandths of a core, and Memory its MB.
	Rate   float64 `yaml:"rate"`
	Width  float64 `yaml:"width"`
	CPU    float64 `yaml:"cpu"`
	Memory float64 `yaml:"memory"`
	// Apart is the share of jobs that allow one task on a worker.
	Apart float64 `yaml:"apart"`
	// Lifetime is the mean time until a job ends; without it jobs never end.
	Lifetime time.Duration `yaml:"lifetime"`
	// Load is the mean load of a task and Swing its relative amplitude in a Period. Tail
	// is the tail latency without load, Target its upper bound.
	Load   float64       `yaml:"load"`
	Swing  float64       `yaml:"swing"`
	Period time.Duration `yaml:"period"`
	Tail   time.Duration `yaml:"tail"`
	Target time.Duration `yaml:"target"`
}

// Class describes the jobs of a queue.
type Class struct {
	Name string `yaml:"name"`
	// Rate is the number of jobs a second, Steps the mean number of their steps, Width
	// the mean number of tasks in each.
	Rate  float64 `yaml:"rate"`
	Steps float64 `yaml:"steps"`
	Width float64 `yaml:"width"`
	// CPU is the mean request of a task in thousandths of a core, Memory its MB, Task the
	// mean time that it takes.
	CPU    float64       `yaml:"cpu"`
	Memory float64       `yaml:"memory"`
	Task   time.Duration `yaml:"task"`
	// Stretch and Allowance are the objective: a multiple of the work's chain, and a time
	// beyond it. Worth is what a job of mean size earns in time.
	Stretch   float64       `yaml:"stretch"`
	Allowance time.Duration `yaml:"allowance"`
	Worth     float64       `yaml:"worth"`
	Priority  int           `yaml:"priority"`
	// Images is the number of best-effort images; 0 for tasks that reserve their CPU.
	// Heavy is the share of pairs with a serving image that interfere strongly.
	// Strength is the mean part of a serving task's rate that such an image takes if it uses
	// the whole worker, 1.7 if not given, Ratio how many times that of the other pairs it is,
	// 8.5 if not given.
	Images   int     `yaml:"images"`
	Heavy    float64 `yaml:"heavy"`
	Strength float64 `yaml:"strength"`
	Ratio    float64 `yaml:"ratio"`
	// Unsaved is the share of jobs that lose their progress when they are stopped.
	Unsaved float64 `yaml:"unsaved"`
	// Error is the standard deviation of the logarithm of an estimate's error, 0.4 if not
	// given.
	Error float64 `yaml:"error"`
	// Bias is how many times as long the tasks take as they are estimated to, 1 if it is 0.
	Bias float64 `yaml:"bias"`
	// Affinity is the share of jobs whose data is in a rack, any of them.
	Affinity float64 `yaml:"affinity"`
	// Hot is the share of jobs that all want the first rack, from HotAt on for HotFor.
	Hot    float64       `yaml:"hot"`
	HotAt  time.Duration `yaml:"hotat"`
	HotFor time.Duration `yaml:"hotfor"`
}

// Burst multiplies the rate of a class by Times for a while.
type Burst struct {
	Name  string        `yaml:"name"`
	At    time.Duration `yaml:"at"`
	For   time.Duration `yaml:"for"`
	Times float64       `yaml:"times"`
}

// Loss takes a share of the workers away, with all that runs there.
type Loss struct {
	At    time.Duration `yaml:"at"`
	Share float64       `yaml:"share"`
}

// Read reads a load pattern from a YAML file and checks it.
func Read(file string) (*Pattern, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("reading load pattern: %w", err)
	}
	var p Pattern
	if err := yaml.UnmarshalWithOptions(raw, &p, yaml.Strict()); err != nil {
		return nil, fmt.Errorf("%w: %s: %w", ErrPattern, file, err)
	}
	if err := p.check(); err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return &p, nil
}

// maxWorkers and maxLength bound how long a rehearsal takes.
const (
	maxWorkers = 2000
	maxLength  = 10 * time.Minute
)

func (p *Pattern) check() error {
	if p.Length <= 0 || p.Length > maxLength || p.Workers < 1 || p.Workers > maxWorkers || len(p.Sizes) == 0 || p.Memory <= 0 {
		return fmt.Errorf("%w: want a length up to %v, 1 to %d workers, sizes and memory", ErrPattern, maxLength, maxWorkers)
	}
	if p.Save < 0 || p.Restore < 0 || p.Serving.Lifetime < 0 {
		return fmt.Errorf("%w: save, restore and lifetime must not be negative", ErrPattern)
	}
	if p.Racks < 0 || p.Racks > p.Workers || p.Racks > 0 && p.Remote < 1 {
		return fmt.Errorf("%w: want no more racks than workers, and remote of at least 1", ErrPattern)
	}
	s := p.Serving
	if s.Images > 0 && (s.Fill < 0 || s.Fill > 1 || s.Width < 1 || s.CPU <= 0 || s.Period <= 0 || s.Tail <= 0 || s.Target <= s.Tail) {
		return fmt.Errorf("%w: serving wants fill up to 1, width, cpu, period, and a target above tail", ErrPattern)
	}
	names := map[string]bool{}
	for _, c := range p.Jobs {
		if c.Name == "" || names[c.Name] || c.Rate <= 0 || c.Steps < 1 || c.Width < 1 || c.CPU <= 0 || c.Task <= 0 || c.Stretch < 1 {
			return fmt.Errorf("%w: job %q wants a name of its own, rate, steps, width, cpu, task and stretch", ErrPattern, c.Name)
		}
		if c.Ratio < 0 || c.Ratio != 0 && c.Ratio < 1 || c.Strength < 0 || c.Unsaved < 0 || c.Unsaved > 1 || c.Error < 0 {
			return fmt.Errorf("%w: job %q wants a ratio of at least 1, unsaved up to 1, and no negative strength or error", ErrPattern, c.Name)
		}
		if min(c.Affinity, c.Hot, c.Error, c.Bias) < 0 || max(c.Affinity, c.Hot) > 1 || max(c.Affinity, c.Hot) > 0 && p.Racks == 0 {
			return fmt.Errorf("%w: job %q wants affinity and hot up to 1, racks for them, and no negative error or bias", ErrPattern, c.Name)
		}
		names[c.Name] = true
	}
	for _, b := range p.Bursts {
		if !names[b.Name] || b.Times <= 0 {
			return fmt.Errorf("%w: burst of %q wants the name of a job and times", ErrPattern, b.Name)
		}
	}
	for _, l := range p.Losses {
		if l.Share <= 0 || l.Share > 1 {
			return fmt.Errorf("%w: loss at %v wants a share up to 1", ErrPattern, l.At)
		}
	}
	return nil
}
