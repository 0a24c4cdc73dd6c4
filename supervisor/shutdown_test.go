package supervisor_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivefall/endivefall/advancer"
	"github.com/endivefall/endivefall/faker"
	"github.com/endivefall/endivefall/supervisor"
)

// shutDown lets the worker drain and deregister.
func (h *harness) shutDown() {
	draining := h.worker.Heartbeat(2)
	draining.Draining = true
	h.sup.HandleHeartbeat(context.Background(), draining)
	h.sup.HandleDeregister("life-1")
}

// failCalls lets all calls to the worker fail, which goes on working, the first one with
// another error.
func (h *harness) failCalls(first, others error) {
	calls := 0
	h.set(func() {
		h.fault = func(string) faker.PoolFault {
			if calls++; calls == 1 {
				return faker.PoolFault{Refusal: fmt.Errorf("%w: %w", supervisor.ErrUnknownOutcome, first)}
			}
			return faker.PoolFault{Refusal: fmt.Errorf("%w: %w", supervisor.ErrUnknownOutcome, others)}
		}
	})
}

// The runs of a worker that had shut down counted until their lease was over. An agent that
// left before that took its knowledge along, and their tasks waited for 14 s.
func TestRunsOfAWorkerThatHasShutDownEndAtOnce(t *testing.T) {
	inBubble(t, func(c *qt.C, h *harness) {
		h.set(func() { h.plan = faker.PoolRunPlan{} })
		h.send(startCommand("j.0.0.0", 1))
		h.shutDown()
		h.worker.Crash()
		advancer.Sleep(500 * time.Millisecond)
		c.Assert(h.ends(), qt.DeepEquals, []string{"j.0.0.0#1 gone"})
		c.Assert(h.endOf("j.0.0.0").Crash, qt.IsNil)
	})
}

// A run that may go on counts until its lease is over.
func TestRunsOfAWorkerThatMayRunKeepTheirLease(t *testing.T) {
	for name, lose := range map[string]func(h *harness){
		"that has not deregistered": func(h *harness) { h.failCalls(io.EOF, syscall.ECONNREFUSED) },
		"that only refuses": func(h *harness) {
			h.shutDown()
			h.failCalls(syscall.ECONNREFUSED, syscall.ECONNREFUSED)
		},
		"that is reset": func(h *harness) {
			h.shutDown()
			h.failCalls(syscall.ECONNRESET, syscall.ECONNREFUSED)
		},
		"that only closes": func(h *harness) {
			h.shutDown()
			h.failCalls(io.EOF, io.EOF)
		},
		"that is silent": func(h *harness) {
			h.shutDown()
			h.failCalls(io.EOF, errors.New("no route"))
		},
		"that answers again": func(h *harness) {
			h.shutDown()
			h.failCalls(io.EOF, io.EOF)
			advancer.Sleep(600 * time.Millisecond)
			h.set(func() { h.fault = nil })
			advancer.Sleep(600 * time.Millisecond)
			h.failCalls(syscall.ECONNREFUSED, syscall.ECONNREFUSED)
		},
	} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(c *qt.C, h *harness) {
				h.set(func() { h.plan = faker.PoolRunPlan{} })
				h.send(startCommand("j.0.0.0", 1))
				lose(h)
				advancer.Sleep(2 * time.Second)
				c.Assert(h.ends(), qt.HasLen, 0)
			})
		})
	}
}

// No call was in flight as a worker that had deregistered ended, so that its runs counted until
// their lease was over.
func TestRunsOfAWorkerThatEndsSomeTimeAfterItDeregisteredEndAtOnce(t *testing.T) {
	for _, after := range []time.Duration{time.Millisecond, 400 * time.Millisecond, 1700 * time.Millisecond} {
		t.Run(after.String(), func(t *testing.T) {
			inBubble(t, func(c *qt.C, h *harness) {
				h.set(func() { h.plan = faker.PoolRunPlan{} })
				h.send(startCommand("j.0.0.0", 1))
				h.shutDown()
				advancer.Sleep(after)
				h.worker.Crash()
				advancer.Sleep(500 * time.Millisecond)
				c.Assert(h.ends(), qt.DeepEquals, []string{"j.0.0.0#1 gone"})
			})
		})
	}
}

// A worker that is shutting down gets the acknowledgement of an end before it is gone.
func TestTheEndsOfAWorkerThatShutsDownAreAcknowledgedAtOnce(t *testing.T) {
	inBubble(t, func(c *qt.C, h *harness) {
		h.set(func() { h.plan = faker.PoolRunPlan{Duration: 600 * time.Millisecond} })
		h.send(startCommand("j.0.0.0", 1))
		h.shutDown()
		advancer.Sleep(time.Second)
		c.Assert(h.ends(), qt.HasLen, 1)
		h.set(func() { h.ackedEnd = h.snapshot.RunEnds[0].Seq })
		h.worker.CPU = 5000 // a snapshot follows, and its acknowledgement
		h.sup.HandleHeartbeat(context.Background(), h.worker.Heartbeat(3))
		advancer.Sleep(50 * time.Millisecond)
		c.Assert(h.count("forgotten"), qt.Equals, 1)
	})
}
