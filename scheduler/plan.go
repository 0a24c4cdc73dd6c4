package scheduler

import (
	"context"
	"sort"
	"strings"
	"time"

	"github.com/endivefall/endivefall/parser"
	"github.com/endivefall/endivefall/placer"
	"github.com/endivefall/endivefall/recorder"
)

// Sizes of a round of grants.
const (
	// maxGrants bounds the grants in one commit.
	maxGrants = 256
	// grantTime is the work that one grant should hold, so that short tasks
	// need few writes.
	grantTime = 2 * time.Second
	// maxRange bounds the tasks of one grant.
	maxRange = 512
	// resurvey is how long an answer to a survey is awaited.
	resurvey = 2 * time.Second
	// recheck is how often an agent that answered is asked again, which finds
	// what a dropped message left behind.
	recheck = 15 * time.Second
	// revokeAgain is how long a revoke is given to show.
	revokeAgain = 2 * time.Second
)

// Placement is why a run's last grant went where it did.
type Placement struct {
	At           time.Time            `json:"at"`
	Agent        string               `json:"agent,omitempty"`
	Reason       string               `json:"reason"`
	Score        float64              `json:"score,omitempty"`
	Alternatives []placer.Alternative `json:"others,omitempty"`
}

// planLoop looks for what is due: lapses, deadlines, grants.
func (sh *shard) planLoop(ctx context.Context) {
	beat := time.NewTicker(tick)
	defer beat.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-beat.C:
		case <-sh.wake:
		}
		sh.lapse(ctx)
		sh.expire(ctx)
		sh.grant(ctx)
	}
}

// team is a team's runs and use, for the order in which they are served.
type team struct {
	name  string
	used  parser.Resources
	quota parser.Resources
	share float64
	runs  []*waiting
}

// waiting is a run with tasks to grant.
type waiting struct {
	run  *recorder.Run
	open recorder.Ranges
	live int
}

// plan chooses the next grants: urgent work first, then the team with the
// least dominant share.
func (sh *shard) plan() []*planned {
	total := sh.s.cfg.Placer.Total()
	teams := sh.teams(total)
	var round []*planned
	for len(round) < maxGrants {
		t, w := next(teams)
		if t == nil {
			break
		}
		p := sh.place(w)
		if p == nil {
			w.open = nil // no room for it in this round
			continue
		}
		round = append(round, p)
		t.used = t.used.Add(w.run.Spec.Need)
		t.weigh(total)
	}
	return round
}

func (t *team) weigh(total parser.Resources) {
	t.share = t.used.DominantShare(total)
}

func (sh *shard) teams(total parser.Resources) []*team {
	byName := map[string]*team{}
	for id, r := range sh.rec.Runs() {
		name, _, _ := strings.Cut(id, "/")
		t := byName[name]
		if t == nil {
			t = &team{name: name, quota: sh.s.cfg.Quota(name)}
			byName[name] = t
		}
		t.used = t.used.Add(r.Spec.Need.Mul(len(r.Grants)))
		if open := r.Pending(); len(open) > 0 {
			t.runs = append(t.runs, &waiting{run: r, open: open, live: len(r.Grants)})
		}
	}
	list := make([]*team, 0, len(byName))
	for _, t := range byName {
		t.weigh(total)
		sort.Slice(t.runs, func(i, j int) bool { return before(t.runs[i].run, t.runs[j].run) })
		list = append(list, t)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].name < list[j].name })
	return list
}

func before(a, b *recorder.Run) bool {
	if a.Spec.Urgent != b.Spec.Urgent {
		return a.Spec.Urgent
	}
	if !a.Submitted.Equal(b.Submitted) {
		return a.Submitted.Before(b.Submitted)
	}
	return a.ID < b.ID
}

// next returns the run to serve next.
func next(teams []*team) (*team, *waiting) {
	var best *team
	var pick *waiting
	for _, t := range teams {
		for _, w := range t.runs {
			if len(w.open) == 0 || !t.within(w.run.Spec.Need) {
				continue
			}
			if best == nil || w.run.Spec.Urgent && !pick.run.Spec.Urgent ||
				w.run.Spec.Urgent == pick.run.Spec.Urgent && t.share < best.share {
				best, pick = t, w
			}
			break
		}
	}
	return best, pick
}

func (t *team) within(need parser.Resources) bool {
	return t.quota == (parser.Resources{}) || t.used.Add(need).FitsIn(t.quota)
}

// place chooses an agent for the next tasks of a run, or returns nil.
func (sh *shard) place(w *waiting) *planned {
	r := w.run
	need := sh.s.sizer.Size(kindOf(r.ID), r.Spec.Need)
	choice, ok := sh.s.cfg.Placer.Pick(placer.Request{Need: need, FailuresByAgent: r.FailuresByAgent, Urgent: r.Spec.Urgent})
	if !ok && !need.FitsIn(r.Spec.Need) {
		// A correction must not keep work from ever running.
		need = r.Spec.Need
		choice, ok = sh.s.cfg.Placer.Pick(placer.Request{Need: need, FailuresByAgent: r.FailuresByAgent, Urgent: r.Spec.Urgent})
	}
	sh.explain(r.ID, choice, ok)
	if !ok {
		return nil
	}
	link, ok := sh.s.cfg.AgentLink(choice.ID)
	if !ok {
		sh.s.cfg.Placer.Release(choice.ID, need)
		return nil
	}
	from := w.open[0][0]
	to := min(w.open[0][1], from+sh.size(w))
	w.open = w.open.Sub(from, to)
	w.live++
	return &planned{
		run: r.ID, need: need, spec: r.Spec, choice: choice,
		grant: recorder.Grant{Agent: choice.ID, Incarnation: link.Incarnation, From: from, To: to, Epoch: sh.rec.Epoch()},
	}
}

// size returns how many tasks go into one grant: as many as take grantTime, but
// never so many that the other agents are left without.
func (sh *shard) size(w *waiting) int {
	sh.mu.Lock()
	pace := sh.pace[w.run.ID]
	sh.mu.Unlock()
	if pace <= 0 {
		return 1
	}
	fair := w.open.Count() / max(2*max(w.live, 4), 1)
	return max(1, min(int(grantTime/pace), fair, maxRange))
}

func (sh *shard) explain(run string, c placer.Choice, ok bool) {
	p := Placement{At: sh.s.cfg.Now(), Agent: c.ID, Reason: c.Reason, Score: c.Score, Alternatives: c.Alternatives}
	if !ok {
		p.Reason = "no agent has room"
	}
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.explained[run] = p
}
