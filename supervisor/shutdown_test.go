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
