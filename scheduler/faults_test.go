package scheduler_test

import (
	"context"
	"fmt"
	"time"

	"github.com/endivefall/endivefall/faker"
)

// onAgent returns a fault of one agent. Only one such fault is active at an
// agent at a time.
func onAgent(do func(*fleet, context.Context, *agentNode)) func(*fleet, context.Context) {
	return func(f *fleet, ctx context.Context) {
		a := f.randomAgent()
		if !f.beginReplace(a.name) {
			return
		}
		defer f.endReplace(a.name)
		do(f, ctx, a)
	}
}

// faults are the faults that a history injects, each with the same probability.
var faults = []struct {
	name string
	do   func(*fleet, context.Context)
}{
	{"kill entry", func(f *fleet, ctx context.Context) {
		e := f.randomEntry()
		if !f.beginReplace(e.name) {
			return
		}
		defer f.endReplace(e.name)
		e.kill()
		f.pause(ctx, 100*time.Millisecond, 15*time.Second)
		f.startEntry(e.name)
	}},
	{"kill agent", onAgent(func(f *fleet, ctx context.Context, a *agentNode) {
		a.kill()
		f.pause(ctx, 10*time.Millisecond, 12*time.Second)
		f.startAgent(a.name, a.worker)
	})},
	{"lose instance", onAgent(func(f *fleet, ctx context.Context, a *agentNode) {
		a.kill()
		a.worker.Crash()
		f.pause(ctx, 100*time.Millisecond, 12*time.Second)
		f.startAgent(a.name, a.worker)
	})},
	{"drain agent", onAgent(func(f *fleet, ctx context.Context, a *agentNode) {
		a.mu.Lock()
		a.draining = true
		a.mu.Unlock()
		a.runner.Drain()
		f.pause(ctx, 100*time.Millisecond, 8*time.Second)
		a.kill()
		f.startAgent(a.name, a.worker)
	})},
	{"cut link", func(f *fleet, ctx context.Context) {
		e, a := f.randomEntry().name, f.randomAgent().name
		f.setCut(e, a, true)
		f.setCut(a, e, true)
		f.pause(ctx, 100*time.Millisecond, 20*time.Second)
		f.setCut(e, a, false)
		f.setCut(a, e, false)
	}},
	{"cut one way", func(f *fleet, ctx context.Context) {
		from, to := f.randomEntry().name, f.randomAgent().name
		if f.chance("trouble", 0.5) {
			from, to = to, from
		}
		f.setCut(from, to, true)
		f.pause(ctx, 100*time.Millisecond, 20*time.Second)
		f.setCut(from, to, false)
	}},
	{"cut agent off", func(f *fleet, ctx context.Context) {
		a := f.randomAgent().name
		for _, e := range []string{"e1", "e2"} {
			f.setCut(e, a, true)
			f.setCut(a, e, true)
		}
		f.pause(ctx, 100*time.Millisecond, 40*time.Second)
		for _, e := range []string{"e1", "e2"} {
			f.setCut(e, a, false)
			f.setCut(a, e, false)
		}
	}},
	{"cut entry from store", func(f *fleet, ctx context.Context) {
		e := f.randomEntry().name
		f.setCut(e, "platform", true)
		f.setCut("platform", e, f.chance("trouble", 0.5))
		f.pause(ctx, 100*time.Millisecond, 30*time.Second)
		f.setCut(e, "platform", false)
		f.setCut("platform", e, false)
	}},
	{"lose replies of the store", func(f *fleet, ctx context.Context) {
		e := f.randomEntry().name
		f.setCut("platform", e, true)
		f.pause(ctx, 100*time.Millisecond, 3*time.Second)
		f.setCut("platform", e, false)
	}},
	{"store outage", func(f *fleet, ctx context.Context) {
		f.mu.Lock()
		f.storeDown = true
		f.mu.Unlock()
		f.platform.SetFaults(faker.PlatformFaults{Down: true})
		f.pause(ctx, time.Second, 50*time.Second)
		f.platform.SetFaults(faker.PlatformFaults{})
		f.mu.Lock()
		f.storeDown, f.storeUpSince = false, time.Now()
		f.mu.Unlock()
	}},
	{"slow store", func(f *fleet, ctx context.Context) {
		f.platform.SetFaults(faker.PlatformFaults{Delay: f.between("slow", 100*time.Millisecond, 8*time.Second)})
		f.pause(ctx, time.Second, 10*time.Second)
		f.platform.SetFaults(faker.PlatformFaults{})
	}},
}

// beginReplace reserves a process for replacement, so that it is not replaced
// twice at once.
func (f *fleet) beginReplace(name string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.replacing[name] {
		return false
	}
	f.replacing[name] = true
	return true
}

func (f *fleet) endReplace(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.replacing[name] = false
}

func (f *fleet) randomEntry() *entryNode {
	name := "e1"
	if f.chance("entry", 0.5) {
		name = "e2"
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.entries[name]
}

func (f *fleet) randomAgent() *agentNode {
	n := f.rng("agent").IntN(3)
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.agents[fmt.Sprintf("a%d", 1+n)]
}

// pause waits for a random time between from and to, or until ctx ends.
func (f *fleet) pause(ctx context.Context, from, to time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(f.between("pause", from, to)):
	}
}
