package e2e

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivefall/endivefall/faker"
	"github.com/endivefall/endivefall/platform/standin"
	"github.com/endivefall/endivefall/sequencer"
)

var (
	soakSeeds   = flag.Int("soaks", 1, "number of seeded soak tests of the pools' processes")
	soakSeed    = flag.Uint64("soakseed", 1, "seed of the first soak test")
	soakTime    = flag.Duration("soaktime", 20*time.Second, "how long a soak test injects faults")
	soakAgents  = flag.Int("soakagents", 3, "agents and workers of a soak test")
	soakEntries = flag.Int("soakentries", 3, "entries of a soak test")
)

// regressionSeeds are seeds that failed before, with the cause.
var regressionSeeds = []uint64{
	303, // calls to paused entries stalled the load: only 20 jobs in 20 s; a worker fake replied to a start with a clock from before it
}

// TestSoakOfPools kills, terminates, pauses and restarts the processes of a pool at
// random, with faults of the store, the workers and the connections, and checks
// what callers and workers observe.
func TestSoakOfPools(t *testing.T) {
	seeds := regressionSeeds
	for n := range *soakSeeds {
		seeds = append(seeds, *soakSeed+uint64(n))
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) { runSoak(t, seed) })
	}
}

func runSoak(t *testing.T, seed uint64) {
	p := newPoolWorld(t, seed, *soakEntries, *soakAgents)
	p.eventually("a job is accepted", func() bool {
		p.submit()
		return len(p.acceptedJobs()) > 0
	})
	tick := time.NewTicker(100 * time.Millisecond)
	defer tick.Stop()
	for n, end := 0, time.Now().Add(*soakTime); time.Now().Before(end); n++ {
		<-tick.C
		p.submit()
		ids := p.acceptedJobs()
		entryAddr, id := p.randomEntry(), ids[p.rng.IntN(len(ids))]
		p.requests.Go(func() { p.jobFinished(entryAddr, id) })
		if p.cancelRand.IntN(8) == 0 {
			p.cancelJob(ids[p.cancelRand.IntN(len(ids))])
		}
		if n%12 == 11 {
			p.injectFault()
		}
		if n%12 == 8 {
			p.injectLinkFault()
		}
		if n%12 == 5 {
			p.clearFaults(false)
		}
		p.recordDisturbances()
	}
	p.clearFaults(true)
	p.requests.Wait()
	ids := p.acceptedJobs()
	p.eventually("every accepted job has finished", func() bool {
		p.clearFaults(true)
		for _, id := range ids {
			p.recordDisturbances()
			if p.auditor.Spec(id).Steps[0].LongRunning {
				p.cancelJob(id)
			}
			if !p.jobFinished(p.randomEntry(), id) {
				return false
			}
		}
		return true
	})
	p.eventually("no run of a job that has ended goes on", func() bool {
		p.recordDisturbances()
		return !slices.ContainsFunc(p.running(), func(task string) bool {
			id, _, _, _, err := sequencer.ParseTaskName(task)
			return err != nil || slices.Contains(ids, id)
		})
	})
	p.requests.Wait()
	p.c.Check(p.auditor.Violations(), qt.HasLen, 0)
	p.c.Check(len(ids) > 20, qt.IsTrue, qt.Commentf("%d jobs were accepted", len(ids)))
	ownerConns := 0 // peers dial an entry only if it became the owner
	for _, l := range p.links[:p.peerLinks] {
		ownerConns += l.connCount()
	}
	p.c.Check(ownerConns > 0, qt.IsTrue, qt.Commentf("no connection to an owner went through its link"))
	for _, l := range p.links[p.peerLinks:] {
		p.c.Check(l.connCount() > 0, qt.IsTrue, qt.Commentf("no connection to %s went through its link", l.target))
	}
}

// injectFault signals a process, restarts a worker, or starts a fault of the store. Some
// workers lose their replies meanwhile.
func (p *poolWorld) injectFault() {
	p.loseReplies(p.workers[p.cancelRand.IntN(len(p.workers))], [...]string{"start", "stop", "look", ""}[p.cancelRand.IntN(4)])
	victim := p.procs[p.rng.IntN(len(p.procs))]
	kind := p.rng.IntN(6)
	p.logf("fault %d of processes, victim %s", kind, victim.name)
	switch kind {
	case 0:
		victim.send(syscall.SIGKILL)
	case 1:
		victim.send(syscall.SIGTERM)
	case 2:
		if !victim.paused {
			victim.send(syscall.SIGSTOP)
		}
	case 3:
		p.restartWorker(p.workers[p.rng.IntN(len(p.workers))])
	case 4:
		refuse := p.rng.IntN(2) == 0
		p.storeFaulty = true
		p.logf("fault of the store, refuses: %v", refuse)
		p.store.SetFault(func(call string) faker.StoreFault {
			return faker.StoreFault{Refuse: refuse, LoseReply: !refuse && call == "commit" && rand.Float64() < 0.3}
		})
	case 5:
		victim.send(syscall.SIGHUP)
	}
}

// loseReplies lets a worker lose a share of its replies to calls of a kind, which it carries
// out; none if kind is empty.
func (p *poolWorld) loseReplies(w *standin.Worker, kind string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lostReplies[w.Backend] = kind
}

// losesReplies reports whether a worker loses replies.
func (p *poolWorld) losesReplies(w *standin.Worker) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lostReplies[w.Backend] != ""
}

// injectLinkFault delays a link, blocks one or both of its directions, or resets its
// connections.
func (p *poolWorld) injectLinkFault() {
	l := p.links[p.linkRand.IntN(len(p.links))]
	kind := p.linkRand.IntN(4)
	p.logf("fault %d of the link to %s", kind, l.target)
	switch kind {
	case 0:
		l.setFault(time.Duration(20+p.linkRand.IntN(400))*time.Millisecond, [2]bool{})
	case 1:
		var blocked [2]bool
		blocked[p.linkRand.IntN(2)] = true
		l.setFault(0, blocked)
	case 2:
		l.setFault(0, [2]bool{true, true})
	case 3:
		l.reset()
	}
}

// clearFaults restarts processes that ended, resumes paused ones, and ends the
// faults of the store and of links. Without all, each pause and each fault ends
// with a probability of one third.
func (p *poolWorld) clearFaults(all bool) {
	p.recordDisturbances()
	for _, l := range p.links {
		if all || p.linkRand.IntN(3) == 0 {
			l.clearFault(p.linkRand.IntN(2) == 0)
		}
	}
	for _, proc := range p.procs {
		if proc.paused && (all || p.rng.IntN(3) == 0) {
			p.logf("resumed %s", proc.name)
			proc.send(syscall.SIGCONT)
		}
		if proc.exited() {
			p.logf("restarted %s", proc.name)
			proc.process, proc.ending = p.start(proc.name, proc.role, proc.conf), false
		}
	}
	if all || p.rng.IntN(3) == 0 {
		if p.storeFaulty {
			p.logf("ended the fault of the store")
		}
		p.store.SetFault(nil)
		p.storeFaulty = false
	}
	for _, w := range p.workers {
		if all || p.cancelRand.IntN(3) == 0 {
			p.loseReplies(w, "")
		}
	}
}
