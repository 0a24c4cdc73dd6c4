package supervisor_test

import (
	"context"
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivefall/endivefall/advancer"
	"github.com/endivefall/endivefall/faker"
	"github.com/endivefall/endivefall/messenger"
	"github.com/endivefall/endivefall/registrar"
	"github.com/endivefall/endivefall/storer"
	"github.com/endivefall/endivefall/supervisor"
)

// agentKey is the key of the registration of the harness's agent.
var agentKey = registrar.Key("agent")

// register writes the agent's registration, as an owner does.
func (h *harness) register(r registrar.Registration) {
	client := h.store.Client()
	item, err := client.Get(context.Background(), agentKey)
	h.c.Assert(err == nil || errors.Is(err, storer.ErrNotFound), qt.IsTrue)
	_, err = client.Commit(context.Background(), storer.Transaction{
		Checks: []storer.Check{{Key: agentKey, Version: item.Version}}, Writes: []storer.Write{{Key: agentKey, Value: r.Encode()}},
	})
	h.c.Assert(err, qt.IsNil)
}

// registration returns the agent's registration, or nil if there is none.
func (h *harness) registration() *registrar.Registration {
	item, err := h.store.Client().Get(context.Background(), agentKey)
	if errors.Is(err, storer.ErrNotFound) {
		return nil
	}
	h.c.Assert(err, qt.IsNil)
	r, err := registrar.Decode(item.Value)
	h.c.Assert(err, qt.IsNil)
	return &r
}

// leave tells the agent to end while its owner confirms nothing. The channel is closed once it
// does.
func (h *harness) leave() <-chan struct{} {
	h.set(func() { h.unconfirmed = true })
	left := make(chan struct{})
	go func() {
		defer close(left)
		ctx, cancel := context.WithTimeout(context.Background(), supervisor.LeaveTimeout)
		defer cancel()
		h.sup.AwaitOwner(ctx)
	}()
	return left
}

// An agent that found no owner as it ended left its registration open, and the next owner waited
// for it with all older tasks.
func TestAnAgentThatFindsNoOwnerClosesItsRegistration(t *testing.T) {
	for name, tt := range map[string]struct {
		prepare func(h *harness)
		want    *registrar.Registration
	}{
		"with a run": {func(h *harness) { h.send(startCommand("j.0.0.0", 1)) }, &registrar.Registration{HeldTasks: []string{"j.0.0.0"}, Incarnation: "b"}},
		"with a start of unknown outcome": {func(h *harness) {
			h.set(func() { h.startLost, h.listDelay = true, time.Minute })
			h.send(startCommand("j.0.0.0", 1))
			advancer.Sleep(time.Second)
		}, &registrar.Registration{HeldTasks: []string{"j.0.0.0"}, Incarnation: "b"}},
		"with an end": {func(h *harness) {
			h.set(func() { h.plan = faker.PoolRunPlan{Duration: 50 * time.Millisecond} })
			h.send(startCommand("j.0.0.0", 1))
		}, &registrar.Registration{HeldTasks: []string{"j.0.0.0"}, Incarnation: "b"}},
		"with nothing": {func(*harness) {}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(c *qt.C, h *harness) {
				h.register(registrar.Registration{Open: true, Incarnation: "b"})
				h.set(func() { h.plan = faker.PoolRunPlan{} })
				tt.prepare(h)
				left := h.leave()
				advancer.Sleep(supervisor.LeaveTimeout / 2)
				c.Check(h.registration(), qt.DeepEquals, tt.want)
				c.Check(isClosed(left), qt.IsFalse, qt.Commentf("an owner may take over yet"))
				<-left
			})
		})
	}
}

// A closed registration that counts on owners to renew the lease on a recent confirmation only
// would end the wait for runs too early: the agent can't know what owners do.
func TestTheRegistrationThatAnAgentClosesIsNotBounded(t *testing.T) {
	inBubble(t, func(c *qt.C, h *harness) {
		h.register(registrar.Registration{Open: true, Bounded: true, Incarnation: "b"})
		h.set(func() { h.plan = faker.PoolRunPlan{} })
		h.send(startCommand("j.0.0.0", 1))
		<-h.leave()
		c.Assert(h.registration().Open, qt.IsFalse)
		c.Assert(h.registration().Bounded, qt.IsFalse)
	})
}

// The next process of an agent would get tasks that no later owner knows of, if the earlier one
// closed what an owner has opened for it.
func TestAnAgentClosesNoRegistrationOfALaterProcess(t *testing.T) {
	later := registrar.Registration{Open: true, Incarnation: "b2"}
	for name, leave := range map[string]func(h *harness){
		"that is registered": func(h *harness) {
			h.register(later)
			<-h.leave()
		},
		"that is registered before the change takes effect": func(h *harness) {
			h.register(registrar.Registration{Open: true, Incarnation: "b"})
			h.store.SetFault(func(call string) faker.StoreFault {
				return faker.StoreFault{LoseReply: call == "commit", ApplyDelay: 5 * time.Second}
			})
			<-h.leave()
			h.store.SetFault(nil)
			h.register(later)
		},
	} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(c *qt.C, h *harness) {
				leave(h)
				advancer.Sleep(10 * time.Second)
				c.Assert(h.registration(), qt.DeepEquals, &later)
			})
		})
	}
}

// A process that has not seen the whole list of its worker doesn't know what may run there.
func TestAnAgentThatDoesNotKnowItsRunsLeavesItsRegistrationOpen(t *testing.T) {
	inBubble(t, func(c *qt.C, h *harness) {
		h.set(func() { h.plan = faker.PoolRunPlan{Duration: 50 * time.Millisecond} })
		for n := range uint64(3) {
			h.send(startCommand("j.0.0.0", n+1))
		}
		h.stop()
		<-h.done
		h.worker.LimitListedEnds(2)
		h.startAgent("b2")
		c.Assert(h.latestSnapshot().Complete, qt.IsFalse)
		open := registrar.Registration{Open: true, Incarnation: "b2"}
		h.register(open)
		<-h.leave()
		c.Assert(h.registration(), qt.DeepEquals, &open)
	})
}

// A store that was away as the agent was told to end kept its registration open.
func TestAnAgentClosesItsRegistrationOnceTheStoreIsBack(t *testing.T) {
	inBubble(t, func(c *qt.C, h *harness) {
		h.register(registrar.Registration{Open: true, Incarnation: "b"})
		h.store.SetFault(func(string) faker.StoreFault { return faker.StoreFault{Refuse: true} })
		left := h.leave()
		advancer.Sleep(supervisor.LeaveTimeout * 2 / 3)
		h.store.SetFault(nil)
		c.Assert(h.registration().Open, qt.IsTrue)
		<-left
		c.Assert(h.registration(), qt.IsNil)
	})
}

// An agent that an owner answers leaves its registration to the owner.
func TestAnAgentWithAnOwnerLeavesItsRegistrationToIt(t *testing.T) {
	inBubble(t, func(c *qt.C, h *harness) {
		open := registrar.Registration{Open: true, Incarnation: "b"}
		h.register(open)
		h.sup.AwaitOwner(context.Background())
		advancer.Sleep(supervisor.LeaveTimeout)
		c.Assert(h.registration(), qt.DeepEquals, &open)
		c.Assert(h.latestSnapshot().Leaving, qt.IsTrue)
	})
}

// A start that arrives while the registration is read is refused, so that the change covers it.
func TestAnAgentThatClosesItsRegistrationStartsNothing(t *testing.T) {
	inBubble(t, func(c *qt.C, h *harness) {
		h.register(registrar.Registration{Open: true, Incarnation: "b"})
		h.store.SetFault(func(string) faker.StoreFault { return faker.StoreFault{Delay: 400 * time.Millisecond} })
		left := h.leave()
		advancer.Sleep(time.Second + 100*time.Millisecond)
		h.send(startCommand("j.0.0.0", 1))
		<-left
		h.store.SetFault(nil)
		c.Assert(h.worker.Running(), qt.HasLen, 0)
		c.Assert(h.endOf("j.0.0.0").Status, qt.Equals, messenger.EndNotStarted)
		c.Assert(h.registration() == nil || !h.registration().Open, qt.IsTrue)
	})
}
