package acceptor

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/endivefall/endivefall/messenger"
	"github.com/endivefall/endivefall/sequencer"
)

// configure puts a version of the configuration in force with queues by name, at host h and a prefix.
func (h *harness) configure(version uint64, prefixes map[string]string) {
	var list []Queue
	for name, prefix := range prefixes {
		list = append(list, Queue{Name: name, Host: "H", Prefix: prefix, Pool: "pool of " + name})
	}
	h.a.Configure(NewQueues(version, 0, list))
}

// A route was replaced by one with another name at the same place. Its submissions were said not to exist, and a
// cancellation of one stopped nothing.
func TestAJobIsKnownUnderARouteThatReplacesItsOwn(t *testing.T) {
	for name, owner := range map[string]func(spec *sequencer.Spec) func(messenger.StateQuery) messenger.StateReply{
		"no owner": func(*sequencer.Spec) func(messenger.StateQuery) messenger.StateReply { return nil },
		"owner": func(spec *sequencer.Spec) func(messenger.StateQuery) messenger.StateReply {
			return func(messenger.StateQuery) messenger.StateReply {
				return messenger.StateReply{Found: true, Queue: spec.Queue, Path: spec.Path, State: string(sequencer.Queued)}
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			runWithHarness(t, func(c *qt.C, h *harness) {
				ctx := context.Background()
				spec := &sequencer.Spec{ID: jobID(1), Queue: "q-1", Path: "h/q/", Pool: "pool of q-1", Steps: []sequencer.Step{{Count: 1}}}
				h.configure(1, map[string]string{"q-1": "/q/", "other": "/o/"})
				c.Assert(h.a.Submit(ctx, spec), qt.IsNil)
				h.owner = owner(spec)
				h.configure(2, map[string]string{"q-2": "/q/", "other": "/o/"})
				state, err := h.a.State(ctx, "q-2", jobID(1))
				c.Assert(err, qt.IsNil)
				c.Assert(state, qt.Equals, sequencer.Queued)
				_, err = h.a.State(ctx, "other", jobID(1))
				c.Assert(err, qt.ErrorIs, ErrNotFound)
				c.Assert(h.a.Cancel(ctx, "other", jobID(1)), qt.ErrorIs, ErrNotFound)
				c.Assert(h.a.Cancel(ctx, "q-2", jobID(1)), qt.IsNil)
				queue, ok := h.a.Queues().Of(spec)
				c.Assert(ok, qt.IsTrue)
				c.Assert(queue.Pool, qt.Equals, "pool of q-2")
			})
		})
	}
}

// The name goes before the place: a route may move to another prefix, and another one take its old one.
func TestAJobStaysWithTheQueueOfItsName(t *testing.T) {
	c := qt.New(t)
	queues := NewQueues(2, 0, []Queue{{Name: "q-1", Host: "h", Prefix: "/new/", Pool: "a"}, {Name: "q-2", Host: "h", Prefix: "/q/", Pool: "b"}})
	spec := &sequencer.Spec{Queue: "q-1", Path: "h/q/"}
	queue, ok := queues.Of(spec)
	c.Assert(ok, qt.IsTrue)
	c.Assert(queue.Pool, qt.Equals, "a")
	_, ok = queues.Of(&sequencer.Spec{Queue: "gone", Path: "h/gone/"})
	c.Assert(ok, qt.IsFalse)
	_, ok = queues.Of(&sequencer.Spec{Queue: "gone"})
	c.Assert(ok, qt.IsFalse, qt.Commentf("accepted before paths were kept"))
}
