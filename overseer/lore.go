package overseer

import (
	"github.com/endivefall/endivefall/messenger"
	"github.com/endivefall/endivefall/profiler"
)

// figureSpread is the relative standard error of the tails that agents tell.
const figureSpread = 0.12

// profile learns from a table what filling images do to serving ones.
func (o *Overseer) profile(a *agent, t *messenger.Table) {
	if t.Figures == a.figures || t.CPU <= 0 {
		return
	}
	a.figures = t.Figures
	use := profiler.Use{}
	for _, row := range t.Runs {
		r := o.runs[runKey{row.Task, row.Attempt}]
		if r != nil && r.task.Shape().Fills {
			use[r.task.Shape().Image] += float64(row.Figure) / float64(t.CPU)
		}
	}
	now := o.cfg.Now()
	for _, row := range t.Runs {
		r := o.runs[runKey{row.Task, row.Attempt}]
		if r == nil || r.task.Shape().Target <= 0 || row.Percent < 100 || row.Figure <= 0 {
			continue
		}
		rate := 1000 / float64(row.Figure)
		o.press.Learn(now, profiler.Sample{
			Group: r.task.StepName(), Image: r.task.Shape().Image, Rate: rate, Spread: figureSpread * rate, Need: profiler.Need(r.task.Shape().Target),
		}, use)
	}
}

// lore returns what is known of a filling image beside those that serve at an
// agent.
func (o *Overseer) lore(a *agent, fills string) []messenger.Press {
	if fills == "" {
		return nil
	}
	var rows []messenger.Press
	seen := map[string]bool{}
	for _, r := range a.runs {
		step := r.task.Shape()
		if step.Target <= 0 || seen[step.Image] || !o.press.Known(fills, step.Image) {
			continue
		}
		seen[step.Image] = true
		press, spread := o.press.Press(fills, step.Image)
		rows = append(rows, messenger.Press{Fills: fills, Serves: step.Image, Rate: float32(press), Spread: float32(spread)})
	}
	return rows
}

// forgetLoads drops the loads of a job that is forgotten.
func (o *Overseer) forgetLoads(j *job) {
	for k := range j.Occurrences() {
		for n, step := range j.Spec.Steps {
			if step.Target > 0 {
				o.press.Forget(j.Task(k, n, 0).StepName())
			}
		}
	}
}
