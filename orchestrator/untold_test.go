package orchestrator

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivefall/endivefall/messenger"
	"github.com/endivefall/endivefall/registrar"
	"github.com/endivefall/endivefall/sequencer"
	"github.com/endivefall/endivefall/storer"
)

// A new owner had the end of a task 0.1 s after its claim, and started it again 12.6 s later, after
// the last absent agent. An end that an earlier owner may know shows nothing.
func TestOnlyAnEndThatNoEarlierOwnerKnowsLocatesItsTask(t *testing.T) {
	for name, tt := range map[string]struct {
		untoldTerm  uint64
		attempt     uint64
		speculative bool
		starts      int
	}{
		"known to none":             {1, 5, false, 1},
		"known to an earlier owner": {0, 5, false, 0},
		"sent under another term":   {2, 5, false, 0},
		"of an earlier attempt":     {1, 3, false, 0},
		"of one of two":             {1, 5, true, 0},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			h := newHarness(c, 2)
			h.o.cfg.Epoch = 100
			spec := sequencer.Spec{
				ID: "00000000000000aa", Pool: "pool", Queue: "queue", AcceptedAt: h.now,
				Steps: []sequencer.Step{{Count: 1, CPU: 10, Memory: 10, LongRunning: true, Speculative: tt.speculative}},
			}
			raw, err := spec.Encode()
			c.Assert(err, qt.IsNil)
			h.o.takeOver([]storer.Item{{Key: JobKey(spec.ID), Value: raw, Version: 20}}, nil,
				[]storer.Item{{Key: registrar.Key("lost"), Value: registrar.Registration{Open: true}.Encode(), Version: 30}})
			h.o.jobs[spec.ID].Task(0, 0, 0).Attempt = 4
			end := messenger.RunEnd{Seq: 1, Task: "00000000000000aa.0.0.0", Attempt: tt.attempt, Status: messenger.EndFailed, UntoldTerm: tt.untoldTerm}
			h.sendSnapshot("a0", &messenger.WorkerSnapshot{RunEnds: []messenger.RunEnd{end}})
			h.now = h.now.Add(time.Second)
			h.sendSnapshot("a1", &messenger.WorkerSnapshot{})
			h.o.place()
			c.Assert(append(h.commands("a0"), h.commands("a1")...), qt.HasLen, tt.starts)
		})
	}
}
