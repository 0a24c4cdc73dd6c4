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

// Limits of a round of grants and intervals of messages to agents.
const (
	// maxGrantsPerCommit bounds the grants in one commit.
	maxGrantsPerCommit = 256
	// targetGrantTime is the expected run time of the tasks in one grant. Short
	// tasks share a grant, which saves writes.
	targetGrantTime = 2 * time.Second
	// maxTasksPerGrant bounds the tasks of one grant.
	maxTasksPerGrant = 512
	// inventoryRetryInterval is the time between inventory requests to an agent
	// that has not answered.
	inventoryRetryInterval = 2 * time.Second
	// inventoryRefreshInterval is the time between inventory requests to an agent
	// that has answered. It corrects differences left by dropped messages.
	inventoryRefreshInterval = 15 * time.Second
	// revokeRetryInterval is the time after which a revoke is sent again.
	revokeRetryInterval = 2 * time.Second
)

// Placement is the last placement decision for a run.
type Placement struct {
	At           time.Time            `json:"at"`
	Agent        string               `json:"agent,omitempty"`
	Reason       string               `json:"reason"`
	Score        float64              `json:"score,omitempty"`
	Alternatives []placer.Alternative `json:"others,omitempty"`
}

// planLoop expires grants, ends runs and grants tasks, on every tick and whenever
// the planner is woken.
func (sh *shard) planLoop(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-sh.wake:
		}
		sh.expireGrants(ctx)
		sh.endRuns(ctx)
		sh.grantTasks(ctx)
	}
}

// team holds a team's runs, resource use and dominant share for one round.
type team struct {
	name  string
	used  parser.Resources
	quota parser.Resources
	share float64
	runs  []*pendingRun
}

// pendingRun is a run with tasks to grant.
type pendingRun struct {
	run        *recorder.Run
	pending    recorder.Ranges
	liveGrants int
}

// plan chooses the grants of one round: urgent runs first, then runs of the team
// with the lowest dominant share, until each run is granted, fits no agent or
// exceeds its team's quota.
func (sh *shard) plan() []*plannedGrant {
	total := sh.s.cfg.Placer.Total()
	teams := sh.teams(total)
	var round []*plannedGrant
	for len(round) < maxGrantsPerCommit {
		t, pr := nextRun(teams)
		if t == nil {
			break
		}
		p := sh.place(pr)
		if p == nil {
			pr.pending = nil // fits no agent in this round
			continue
		}
		round = append(round, p)
		t.used = t.used.Add(pr.run.Spec.Need)
		t.updateShare(total)
	}
	return round
}

func (t *team) updateShare(total parser.Resources) {
	t.share = t.used.DominantShare(total)
}

// teams returns the teams with runs in the shard, sorted by name.
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
		if pending := r.Pending(); len(pending) > 0 {
			t.runs = append(t.runs, &pendingRun{run: r, pending: pending, liveGrants: len(r.Grants)})
		}
	}
	list := make([]*team, 0, len(byName))
	for _, t := range byName {
		t.updateShare(total)
		sort.Slice(t.runs, func(i, j int) bool { return servedBefore(t.runs[i].run, t.runs[j].run) })
		list = append(list, t)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].name < list[j].name })
	return list
}

// servedBefore orders the runs of a team: urgent runs first, then by time of
// submission.
func servedBefore(a, b *recorder.Run) bool {
	if a.Spec.Urgent != b.Spec.Urgent {
		return a.Spec.Urgent
	}
	if !a.Submitted.Equal(b.Submitted) {
		return a.Submitted.Before(b.Submitted)
	}
	return a.ID < b.ID
}

// nextRun returns the run that gets the next grant, and its team.
func nextRun(teams []*team) (*team, *pendingRun) {
	var bestTeam *team
	var bestRun *pendingRun
	for _, t := range teams {
		for _, pr := range t.runs {
			if len(pr.pending) == 0 || !t.fitsQuota(pr.run.Spec.Need) {
				continue
			}
			if bestTeam == nil || pr.run.Spec.Urgent && !bestRun.run.Spec.Urgent ||
				pr.run.Spec.Urgent == bestRun.run.Spec.Urgent && t.share < bestTeam.share {
				bestTeam, bestRun = t, pr
			}
			break
		}
	}
	return bestTeam, bestRun
}

func (t *team) fitsQuota(need parser.Resources) bool {
	return t.quota == (parser.Resources{}) || t.used.Add(need).FitsIn(t.quota)
}

// place chooses an agent for the next tasks of a run, or returns nil.
func (sh *shard) place(pr *pendingRun) *plannedGrant {
	r := pr.run
	need := sh.s.sizer.Size(jobOf(r.ID), r.Spec.Need)
	choice, ok := sh.s.cfg.Placer.Pick(placer.Request{Need: need, FailuresByAgent: r.FailuresByAgent, Urgent: r.Spec.Urgent})
	if !ok && !need.FitsIn(r.Spec.Need) {
		// A corrected size that fits no agent must not block the run forever.
		need = r.Spec.Need
		choice, ok = sh.s.cfg.Placer.Pick(placer.Request{Need: need, FailuresByAgent: r.FailuresByAgent, Urgent: r.Spec.Urgent})
	}
	sh.recordPlacement(r.ID, choice, ok)
	if !ok {
		return nil
	}
	link, ok := sh.s.cfg.AgentLink(choice.ID)
	if !ok {
		sh.s.cfg.Placer.Release(choice.ID, need)
		return nil
	}
	from := pr.pending[0][0]
	to := min(pr.pending[0][1], from+sh.grantSize(pr))
	pr.pending = pr.pending.Sub(from, to)
	pr.liveGrants++
	return &plannedGrant{
		run: r.ID, need: need, spec: r.Spec, choice: choice,
		grant: recorder.Grant{Agent: choice.ID, Incarnation: link.Incarnation, From: from, To: to, Epoch: sh.rec.Epoch()},
	}
}

// grantSize returns the number of tasks for one grant: as many as take
// targetGrantTime, but few enough to leave tasks for other agents.
func (sh *shard) grantSize(pr *pendingRun) int {
	sh.mu.Lock()
	taskTime := sh.meanTaskTime[pr.run.ID]
	sh.mu.Unlock()
	if taskTime <= 0 {
		return 1
	}
	fairShare := pr.pending.Count() / max(2*max(pr.liveGrants, 4), 1)
	return max(1, min(int(targetGrantTime/taskTime), fairShare, maxTasksPerGrant))
}

func (sh *shard) recordPlacement(run string, c placer.Choice, ok bool) {
	p := Placement{At: sh.s.cfg.Now(), Agent: c.ID, Reason: c.Reason, Score: c.Score, Alternatives: c.Alternatives}
	if !ok {
		p.Reason = "no agent has room"
	}
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.lastPlacement[run] = p
}
