package faker

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/endivefall/endivefall/messenger"
	"github.com/endivefall/endivefall/sequencer"
)

// PoolAuditor checks the promises of a pool from what workers and callers saw. It is
// safe for concurrent use.
type PoolAuditor struct {
	mu   sync.Mutex
	jobs map[string]*bookJob
	// running has the lives on which a task runs.
	running map[string][]string
	// done has the tasks of which an end as done was forgotten; ended those of
	// which one was seen.
	done, ended map[string]bool
	// failed counts forgotten ends as failed.
	failed map[string]int
	faults []string
	starts int
}

// bookJob is a job as its caller knows it.
type bookJob struct {
	spec *sequencer.Spec
	// canceled is when the cancel was acknowledged; in the future for one that
	// may have taken effect.
	canceled time.Time
}

// NewPoolAuditor returns an empty Book.
func NewPoolAuditor() *PoolAuditor {
	return &PoolAuditor{
		jobs: map[string]*bookJob{}, running: map[string][]string{}, done: map[string]bool{}, ended: map[string]bool{},
		failed: map[string]int{},
	}
}

func (b *PoolAuditor) fault(format string, args ...any) {
	b.faults = append(b.faults, fmt.Sprintf(format, args...))
}

// LongRunning says whether a task runs until its job is cancelled.
func (b *PoolAuditor) LongRunning(task string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	id, _, step, _, err := sequencer.ParseTaskName(task)
	j := b.jobs[id]
	return err == nil && j != nil && j.spec.Steps[step].LongRunning
}

// Observe takes an event of a worker.
func (b *PoolAuditor) Observe(e PoolEvent) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch e.Kind {
	case "gone":
		for task, lives := range b.running {
			b.running[task] = slices.DeleteFunc(lives, func(l string) bool { return l == e.Incarnation })
		}
	case "start":
		b.starts++
		b.started(e)
	case "end":
		b.running[e.Task] = slices.DeleteFunc(b.running[e.Task], func(l string) bool { return l == e.Incarnation })
		if e.Status == messenger.EndDone {
			b.ended[e.Task] = true
		}
	case "forgotten":
		switch e.Status {
		case messenger.EndDone:
			b.done[e.Task] = true
		case messenger.EndFailed:
			b.failed[e.Task]++
		}
	}
}

func (b *PoolAuditor) started(e PoolEvent) {
	id, k, step, _, err := sequencer.ParseTaskName(e.Task)
	j := b.jobs[id]
	if err != nil || j == nil {
		b.fault("%s started, which nobody asked for", e.Task)
		return
	}
	if others := b.running[e.Task]; len(others) > 0 {
		b.fault("%s runs on %v and started on %s", e.Task, others, e.Incarnation)
	}
	b.running[e.Task] = append(b.running[e.Task], e.Incarnation)
	if b.done[e.Task] {
		b.fault("%s started on %s after its end was taken note of", e.Task, e.Incarnation)
	}
	if j.spec.MaxAttempts > 0 && b.failed[e.Task] >= j.spec.MaxAttempts {
		b.fault("%s started after %d failed runs", e.Task, b.failed[e.Task])
	}
	if !j.canceled.IsZero() && e.At.Sub(j.canceled) > 20*time.Second {
		b.fault("%s started %s after its cancel", e.Task, e.At.Sub(j.canceled))
	}
	for _, before := range j.spec.Steps[step].DependsOn {
		for n := range j.spec.Steps[before].Count {
			if name := fmt.Sprintf("%s.%d.%d.%d", id, k, before, n); !b.ended[name] {
				b.fault("%s started before %s was done", e.Task, name)
			}
		}
	}
}

// CheckState checks a state that a caller was shown.
func (b *PoolAuditor) CheckState(id string, state sequencer.State) {
	b.mu.Lock()
	defer b.mu.Unlock()
	j := b.jobs[id]
	switch state {
	case sequencer.Complete:
		for step, s := range j.spec.Steps {
			for n := range s.Count {
				if name := fmt.Sprintf("%s.0.%d.%d", id, step, n); !b.ended[name] {
					b.fault("%s is shown as complete before %s was done", id, name)
				}
			}
		}
	case sequencer.Canceled:
		if j.canceled.IsZero() {
			b.fault("%s is shown as canceled", id)
		}
	case sequencer.Failed:
		worst := 0
		for task, n := range b.failed {
			if task[:16] == id {
				worst = max(worst, n)
			}
		}
		if worst < j.spec.MaxAttempts {
			b.fault("%s is shown as failed after %d failed runs of a task", id, worst)
		}
	}
}

// AddJob notes a job before it is handed in.
func (b *PoolAuditor) AddJob(spec *sequencer.Spec) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.jobs[spec.ID] = &bookJob{spec: spec}
}

// RejectJob notes that a caller was told that a job never runs: a start from now
// on is a fault.
func (b *PoolAuditor) RejectJob(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.jobs, id)
}

// Spec returns a job that was added.
func (b *PoolAuditor) Spec(id string) *sequencer.Spec {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.jobs[id].spec
}

// CancelJob notes a cancel: that it may take effect from now on, or that it was
// acknowledged.
func (b *PoolAuditor) CancelJob(id string, acknowledged bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	j := b.jobs[id]
	switch {
	case acknowledged:
		j.canceled = time.Now()
	case j.canceled.IsZero():
		j.canceled = time.Now().Add(time.Hour)
	}
}

// ReportMissing notes that an accepted job was told as not known.
func (b *PoolAuditor) ReportMissing(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fault("%s was accepted and is not known", id)
}

// Violations returns what went wrong.
func (b *PoolAuditor) Violations() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.faults)
}

// StartCount counts the runs that began.
func (b *PoolAuditor) StartCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.starts
}
