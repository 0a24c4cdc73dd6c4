package rehearser

import (
	"encoding/csv"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"
)

// Report is the result of a rehearsal.
type Report struct {
	Policy string
	Seed   uint64
	// Classes has the results by class of jobs.
	Classes map[string]*ClassReport
	// Moves and Paces count relocated runs and changed paces, Wasted is the work that was
	// done and not saved, in core-seconds.
	Moves, Paces int
	Wasted       float64
	// ServingOwed is the time for which serving tasks were asked for, ServingSeconds the
	// part for which they ran, OverTarget the part in which best-effort tasks held one over
	// its target.
	ServingOwed, ServingSeconds, OverTarget float64
	// BestEffortSeconds is the time of all best-effort runs, PausedSeconds the part in
	// which one was paused.
	BestEffortSeconds, PausedSeconds float64
	// Near and Away count the starts of tasks with their data in a rack, in it and elsewhere.
	Near, Away int
}

// ClassReport is the result of the jobs of a class.
type ClassReport struct {
	Jobs, InTime, Late, Missed int
	// Owed is the worth of all jobs, Earned what they earned.
	Owed, Earned float64
	// Waits are the waits of tasks before their starts, sorted once the report is
	// finished.
	Waits []time.Duration
}

func (r *Report) class(name string) *ClassReport {
	if r.Classes == nil {
		r.Classes = map[string]*ClassReport{}
	}
	if r.Classes[name] == nil {
		r.Classes[name] = &ClassReport{}
	}
	return r.Classes[name]
}

func (r *Report) wait(c *Class, d time.Duration) {
	class := r.class(c.Name)
	class.Waits = append(class.Waits, d)
}

// finish sums up the jobs at the end of a rehearsal.
func (r *Report) finish(jobs map[string]*arrival, end time.Time) {
	for _, a := range jobs {
		if a.class == nil {
			continue
		}
		c := r.class(a.class.Name)
		chain := time.Duration(a.seconds * float64(len(a.job.Spec.Steps)) * float64(time.Second))
		objective := time.Duration(float64(chain)*a.class.Stretch) + a.class.Allowance
		took := end.Sub(a.at)
		if !a.endedAt.IsZero() {
			took = a.endedAt.Sub(a.at)
		}
		c.Jobs++
		c.Owed += a.worth
		switch {
		case took <= objective:
			c.InTime++
			c.Earned += a.worth
		case took <= lateFactor*objective:
			c.Late++
			c.Earned += lateShare * a.worth
		default:
			c.Missed++
		}
	}
	for _, c := range r.Classes {
		slices.Sort(c.Waits)
	}
}

// Percentile returns a percentile of the waits.
func (c *ClassReport) Percentile(p float64) time.Duration {
	if len(c.Waits) == 0 {
		return 0
	}
	return c.Waits[min(int(p/100*float64(len(c.Waits))), len(c.Waits)-1)]
}

// columns are the columns of Write and WriteCSV.
var columns = []string{"policy", "seed", "class", "jobs", "in_time", "late", "missed", "earned", "wait_p50_ms", "wait_p90_ms", "wait_p99_ms", "moves", "paces", "wasted_core_s", "serving", "over_target", "paused", "near", "away"}

// rows returns a row for each class.
func (r *Report) rows() [][]string {
	var names []string
	for name := range r.Classes {
		names = append(names, name)
	}
	slices.Sort(names)
	var rows [][]string
	for _, name := range names {
		c := r.Classes[name]
		ms := func(p float64) string { return fmt.Sprint(c.Percentile(p).Milliseconds()) }
		rows = append(rows, []string{
			r.Policy, fmt.Sprint(r.Seed), name, fmt.Sprint(c.Jobs), fmt.Sprint(c.InTime), fmt.Sprint(c.Late), fmt.Sprint(c.Missed), fmt.Sprintf("%.3f", c.Earned/max(c.Owed, 1e-9)),
			ms(50), ms(90), ms(99), fmt.Sprint(r.Moves), fmt.Sprint(r.Paces), fmt.Sprintf("%.0f", r.Wasted),
			fmt.Sprintf("%.4f", r.ServingSeconds/max(r.ServingOwed, 1e-9)), fmt.Sprintf("%.4f", r.OverTarget/max(r.ServingSeconds, 1e-9)), fmt.Sprintf("%.3f", r.PausedSeconds/max(r.BestEffortSeconds, 1e-9)),
			fmt.Sprint(r.Near), fmt.Sprint(r.Away),
		})
	}
	return rows
}

// Write writes reports as a table for people.
func Write(w io.Writer, reports []*Report) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	writeRow := func(row []string) {
		for _, cell := range row {
			_, _ = fmt.Fprint(table, cell, "\t") // reported by Flush
		}
		_, _ = fmt.Fprintln(table)
	}
	writeRow(columns)
	for _, r := range reports {
		for _, row := range r.rows() {
			writeRow(row)
		}
	}
	return table.Flush()
}

// WriteCSV writes reports as CSV, with a header.
func WriteCSV(w io.Writer, reports []*Report) error {
	records := csv.NewWriter(w)
	rows := [][]string{columns}
	for _, r := range reports {
		rows = append(rows, r.rows()...)
	}
	return records.WriteAll(rows)
}
