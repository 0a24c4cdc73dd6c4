package scheduler

import (
	"context"
	"maps"
	"sort"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/endivefall/endivefall/messenger"
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
	At     time.Time      `json:"at"`
	Agent  string         `json:"agent,omitempty"`
	Reason string         `json:"reason"`
	Score  float64        `json:"score,omitempty"`
	Others []placer.Other `json:"others,omitempty"`
}

// askLoop surveys and stops agents. It never waits for the store.
func (sh *shard) askLoop(ctx context.Context) {
	beat := time.NewTicker(tick)
	defer beat.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-beat.C:
		}
		sh.survey()
		sh.revoke()
		sh.forget()
	}
}

// forget drops what is known of grants and runs that are gone.
func (sh *shard) forget() {
	runs := sh.rec.Runs()
	live := func(k grantKey) bool { return runs[k.run] != nil && runs[k.run].Grants[k.seq] != nil }
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if len(sh.since) < 2*maxGrants {
		return
	}
	sh.track.forget(live)
	maps.DeleteFunc(sh.since, func(k grantKey, _ time.Time) bool { return !live(k) })
	maps.DeleteFunc(sh.revoked, func(k grantKey, _ time.Time) bool { return !live(k) })
	maps.DeleteFunc(sh.pace, func(run string, _ time.Duration) bool { return runs[run] == nil })
	maps.DeleteFunc(sh.explained, func(run string, _ Placement) bool { return runs[run] == nil })
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

// holders returns the agents with live grants in the ledger.
func (sh *shard) holders() map[string]bool {
	agents := map[string]bool{}
	for _, r := range sh.rec.Runs() {
		for _, g := range r.Grants {
			agents[g.Agent] = true
		}
	}
	return agents
}

// survey asks agents that have grants in the ledger and have not taken this
// epoch on their present connection, and now and then the others.
func (sh *shard) survey() {
	now := sh.s.cfg.Now()
	for agent := range sh.holders() {
		p, ok := sh.s.cfg.Peer(agent)
		if !ok {
			continue
		}
		sh.mu.Lock()
		wait := recheck
		if sh.track.confirmed[agent] != p.Born {
			wait = resurvey
		}
		if now.Sub(sh.asked[agent]) > wait {
			sh.asked[agent] = now
			ask := &messenger.Survey{Shard: sh.n, Epoch: sh.rec.Epoch(), Order: sh.track.next()}
			_ = p.Post(messenger.Frame{Kind: messenger.KindSurvey, Survey: ask})
		}
		sh.mu.Unlock()
	}
}

// lapse ends the grants of lost agents. Those of idempotent jobs may run again
// at once; all others only when their deadline has surely passed.
func (sh *shard) lapse(ctx context.Context) {
	var lost []grantKey
	for id, r := range sh.rec.Runs() {
		for seq, g := range r.Grants {
			k := grantKey{id, seq}
			if !sh.gone(k, g, r) {
				continue
			}
			lost = append(lost, k)
			sh.s.cfg.Log.Warn("grant lapsed", zap.String("run", id), zap.Uint64("seq", seq), zap.String("agent", g.Agent))
		}
	}
	if len(lost) == 0 {
		return
	}
	_ = sh.rec.Do(ctx, func(tx *recorder.Tx) error {
		changed := false
		for _, k := range lost {
			if r := tx.Run(k.run); r != nil && r.Lapse(k.seq, tx.Now) {
				changed = true
			}
		}
		if !changed {
			return recorder.ErrUnchanged
		}
		return nil
	})
}

// gone says whether a grant may be given to another agent because its own is
// lost.
func (sh *shard) gone(k grantKey, g *recorder.Grant, r *recorder.Run) bool {
	now := sh.s.cfg.Now()
	p, connected := sh.s.cfg.Peer(g.Agent)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if connected && p.Born == sh.track.holder(k, g).born {
		return false
	}
	if r.Spec.Idempotent {
		// Running such a task twice does no harm, so only the last deadline
		// that this owner gave counts, and not in full.
		return now.After(sh.track.reach[sh.track.holder(k, g)].Add(-sh.s.cfg.Lease/2)) && now.After(sh.born.Add(sh.s.cfg.Lease/2))
	}
	end := sh.track.end(k, g).Add(sh.s.cfg.Margin)
	if r.Final(g) {
		// Nothing would be gained by giving the task up: it may not run again,
		// and its agent may yet return with its end or its checkpoint.
		end = end.Add(sh.s.cfg.Await)
	}
	return now.After(end)
}

// expire ends runs whose deadline has passed, and those that fail everywhere.
func (sh *shard) expire(ctx context.Context) {
	now := sh.s.cfg.Earliest(sh.s.cfg.Now())
	ends := map[string]string{}
	for id, r := range sh.rec.Runs() {
		switch {
		case r.State != recorder.Running:
		case now.After(r.Until):
			ends[id] = "deadline has passed"
		case r.Hopeless():
			ends[id] = "fails at every worker that tried it"
		}
	}
	if len(ends) == 0 {
		return
	}
	_ = sh.rec.Do(ctx, func(tx *recorder.Tx) error {
		for id, reason := range ends {
			if r := tx.Run(id); r != nil {
				r.End(recorder.Failed, reason, tx.Now)
			}
		}
		return nil
	})
}

// revoke stops the grants of runs that have ended.
func (sh *shard) revoke() {
	now := sh.s.cfg.Now()
	for id, r := range sh.rec.Runs() {
		if r.State == recorder.Running {
			continue
		}
		for seq, g := range r.Grants {
			sh.tellStop(id, seq, g, false, now)
		}
	}
}

// tellStop sends a revoke, again after a while if the grant is still there.
func (sh *shard) tellStop(run string, seq uint64, g *recorder.Grant, evict bool, now time.Time) {
	k := grantKey{run, seq}
	sh.mu.Lock()
	due := now.Sub(sh.revoked[k]) > revokeAgain
	if due {
		sh.revoked[k] = now
	}
	sh.mu.Unlock()
	p, ok := sh.s.cfg.Peer(g.Agent)
	if !due || !ok {
		return
	}
	stop := &messenger.Grant{Shard: sh.n, Epoch: sh.rec.Epoch(), Run: run, Seq: seq, Evict: evict}
	_ = p.Post(messenger.Frame{Kind: messenger.KindRevoke, Grant: stop})
}

// planned is a grant that is to be made durable and then sent.
type planned struct {
	run    string
	need   parser.Need // as corrected
	grant  recorder.Grant
	choice placer.Choice
	seq    uint64
	made   bool
	spec   parser.Job
	points map[int]string
}

// grant plans a round of grants, makes it durable, and sends it.
func (sh *shard) grant(ctx context.Context) {
	sh.mu.Lock()
	released := sh.released
	sh.mu.Unlock()
	if _, ok := sh.deadline(sh.s.cfg.Now()); !ok || released {
		return
	}
	round := sh.plan()
	if len(round) == 0 {
		return
	}
	err := sh.rec.Do(ctx, func(tx *recorder.Tx) error {
		for _, p := range round {
			r := tx.Run(p.run)
			if r == nil {
				continue
			}
			p.points = points(r, p.grant.From, p.grant.To)
			p.seq, p.made = r.Accept(p.grant)
		}
		return nil
	})
	for _, p := range round {
		switch {
		case err != nil || !p.made:
			sh.s.cfg.Placer.Return(p.grant.Agent, p.need)
		case !sh.send(p):
			sh.close(ctx, p.grant.Agent, p.run, p.seq)
		}
	}
	if err == nil && len(round) == maxGrants {
		sh.nudge()
	}
}

func points(r *recorder.Run, from, to int) map[int]string {
	var some map[int]string
	for i, p := range r.Points {
		if i >= from && i < to {
			if some == nil {
				some = map[int]string{}
			}
			some[i] = p
		}
	}
	return some
}

// send sends a durable grant. It returns false if the grant was surely not
// sent: its agent has gone, or the commit took so long that the hold in the
// store has passed.
func (sh *shard) send(p *planned) bool {
	now := sh.s.cfg.Now()
	agent := p.grant.Agent
	link, ok := sh.s.cfg.Peer(agent)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	local, able := sh.deadline(now)
	if sh.released || !able || !ok || link.Born != p.grant.Born {
		return false
	}
	k := grantKey{p.run, p.seq}
	sh.track.sent[k] = sh.track.next()
	sh.since[k] = now
	sh.track.give(process{agent, link.Born}, local)
	_ = link.Post(messenger.Frame{Kind: messenger.KindGrant, Grant: &messenger.Grant{
		Shard: sh.n, Epoch: p.grant.Epoch, Run: p.run, Seq: p.seq, From: p.grant.From, To: p.grant.To,
		Until: link.Until(now, local), Need: p.need, Work: p.spec.Run, Points: p.points,
		Keep: p.spec.Checkpoint, Repeat: p.spec.Idempotent, Urgent: p.spec.Urgent,
	}})
	sh.s.cfg.Log.Info("task placed", zap.String("run", p.run), zap.Uint64("seq", p.seq), zap.String("agent", agent),
		zap.Int("from", p.grant.From), zap.Int("to", p.grant.To),
		zap.String("reason", p.choice.Reason), zap.Float64("score", p.choice.Score), zap.Int("others", len(p.choice.Others)))
	return true
}

// team is a team's runs and use, for the order in which they are served.
type team struct {
	name  string
	used  parser.Need
	quota parser.Need
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
		t.used = t.used.Plus(w.run.Spec.Need)
		t.weigh(total)
	}
	return round
}

func (t *team) weigh(total parser.Need) {
	t.share = t.used.Share(total)
}

func (sh *shard) teams(total parser.Need) []*team {
	byName := map[string]*team{}
	for id, r := range sh.rec.Runs() {
		name, _, _ := strings.Cut(id, "/")
		t := byName[name]
		if t == nil {
			t = &team{name: name, quota: sh.s.cfg.Quota(name)}
			byName[name] = t
		}
		t.used = t.used.Plus(r.Spec.Need.Times(len(r.Grants)))
		if open := r.Open(); len(open) > 0 {
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

func (t *team) within(need parser.Need) bool {
	return t.quota == (parser.Need{}) || t.used.Plus(need).Fits(t.quota)
}

// place chooses an agent for the next tasks of a run, or returns nil.
func (sh *shard) place(w *waiting) *planned {
	r := w.run
	need := sh.s.sizer.Size(kindOf(r.ID), r.Spec.Need)
	choice, ok := sh.s.cfg.Placer.Pick(placer.Want{Need: need, Bad: r.Bad, Urgent: r.Spec.Urgent})
	if !ok && !need.Fits(r.Spec.Need) {
		// A correction must not keep work from ever running.
		need = r.Spec.Need
		choice, ok = sh.s.cfg.Placer.Pick(placer.Want{Need: need, Bad: r.Bad, Urgent: r.Spec.Urgent})
	}
	sh.explain(r.ID, choice, ok)
	if !ok {
		return nil
	}
	link, ok := sh.s.cfg.Peer(choice.ID)
	if !ok {
		sh.s.cfg.Placer.Return(choice.ID, need)
		return nil
	}
	from := w.open[0][0]
	to := min(w.open[0][1], from+sh.size(w))
	w.open = w.open.Sub(from, to)
	w.live++
	return &planned{
		run: r.ID, need: need, spec: r.Spec, choice: choice,
		grant: recorder.Grant{Agent: choice.ID, Born: link.Born, From: from, To: to, Epoch: sh.rec.Epoch()},
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
	p := Placement{At: sh.s.cfg.Now(), Agent: c.ID, Reason: c.Reason, Score: c.Score, Others: c.Others}
	if !ok {
		p.Reason = "no agent has room"
	}
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.explained[run] = p
}
