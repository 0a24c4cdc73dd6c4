package differ

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/endivefall/endivefall/messenger"
)

// state is an agent's state from which complete snapshots are made.
type state struct {
	worker, domain string
	runs           []messenger.RunStatus
	ends           []messenger.RunEnd
	// lastRun and lastEnd number the runs and ends; updates counts measurements.
	lastRun, lastEnd, updates uint64
}

// snapshot returns the complete snapshot, of which the caller may change everything.
func (s *state) snapshot() *messenger.WorkerSnapshot {
	return &messenger.WorkerSnapshot{
		Term: 3, Seq: s.lastRun, WorkerIncarnation: s.worker, CPU: 64000, Memory: 256000, Pool: "pool", Domain: s.domain, Labels: []string{"a"}, MeasurementUpdates: s.updates,
		Runs: append([]messenger.RunStatus(nil), s.runs...), RunEnds: append([]messenger.RunEnd(nil), s.ends[:min(len(s.ends), 3)]...),
	}
}

func (s *state) start() {
	s.lastRun++
	s.runs = append(s.runs, messenger.RunStatus{Task: fmt.Sprint("job.0.0.", s.lastRun), Attempt: 1, Phase: messenger.PhaseStarting, PacePercent: 100})
}

func (s *state) end(n int) {
	s.lastEnd++
	s.ends = append(s.ends, messenger.RunEnd{Seq: s.lastEnd, Task: s.runs[n].Task, Attempt: 1, Status: messenger.EndDone})
	s.runs = append(s.runs[:n:n], s.runs[n+1:]...)
}

// send passes a snapshot through an encoder, the wire format and a decoder.
func send(c *qt.C, e *Encoder, d *Decoder, now time.Time, full *messenger.WorkerSnapshot) (*messenger.WorkerSnapshot, int) {
	raw, err := messenger.Encode(messenger.Frame{Kind: messenger.KindWorkerSnapshot, WorkerSnapshot: e.Next(now, full)})
	c.Assert(err, qt.IsNil)
	f, err := messenger.Decode(raw)
	c.Assert(err, qt.IsNil)
	restored, err := d.Restore(f.WorkerSnapshot)
	c.Assert(err, qt.IsNil)
	return restored, len(raw)
}

// byTask returns the runs by task, without the numbers of the connection.
func byTask(s *messenger.WorkerSnapshot) map[string]messenger.RunStatus {
	runs := map[string]messenger.RunStatus{}
	for _, status := range s.Runs {
		status.Ref = 0
		runs[status.Task] = status
	}
	return runs
}

func TestTheDecoderRestoresEverySnapshot(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		c := qt.New(t)
		s, now := &state{worker: "w1"}, time.Unix(1000, 0)
		var e Encoder
		var d Decoder
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			now = now.Add(measurementInterval) // measurements are always due
			index := rapid.IntRange(0, 50).Draw(rt, "run")
			switch action := rapid.IntRange(0, 6).Draw(rt, "action"); {
			case action <= 1:
				s.start()
			case action == 2 && len(s.runs) > 0:
				s.end(index % len(s.runs))
			case action == 3 && len(s.runs) > 0:
				r := &s.runs[index%len(s.runs)]
				r.Phase, r.Checkpoint, r.PacePercent = messenger.PhaseRunning, fmt.Sprint("c", index), index
			case action == 4 && len(s.runs) > 0:
				s.updates++
				s.runs[index%len(s.runs)].Measurement = int64(index)
			case action == 5 && len(s.ends) > 0:
				s.ends = s.ends[1+index%len(s.ends):]
			case action == 6 && index < 3:
				s.worker += "'"
			case action == 6 && index < 6:
				s.domain = fmt.Sprint("domain-", index)
			}
			want := s.snapshot()
			got, _ := send(c, &e, &d, now, s.snapshot())
			c.Assert(byTask(got), qt.DeepEquals, byTask(want))
			c.Assert(got.RunEnds, qt.DeepEquals, want.RunEnds)
			c.Assert([]any{got.Seq, got.WorkerIncarnation, got.CPU, got.Pool, got.Domain, got.Labels, got.MeasurementUpdates}, qt.DeepEquals,
				[]any{want.Seq, want.WorkerIncarnation, want.CPU, want.Pool, want.Domain, want.Labels, want.MeasurementUpdates})
		}
	})
}

// Load pattern: 18 workers with 24 runs each, of which one starts and one ends each
// 100 ms, so that an owner starts 180 runs a second. Complete snapshots, 339 kB a second,
// filled an owner's link of 2 Mbit/s, and its calls to the store timed out behind them.
func TestSnapshotsOfBusyWorkersLeaveRoomOnAThinLink(t *testing.T) {
	c := qt.New(t)
	const agents, linkBytes = 18, 250_000 // bytes a second
	s, now := &state{worker: "i-5a58b08dbb"}, time.Unix(1000, 0)
	for range 24 {
		s.start()
	}
	var e Encoder
	var d Decoder
	bytes := 0
	for tick := range 10 {
		now = now.Add(100 * time.Millisecond)
		for n := range s.runs {
			s.runs[n].Measurement, s.runs[n].Checkpoint = int64(tick*100+n), fmt.Sprint("checkpoint-", tick)
		}
		s.updates++
		s.end(0)
		_, n := send(c, &e, &d, now, s.snapshot())
		s.start()
		_, m := send(c, &e, &d, now, s.snapshot())
		s.ends = nil
		bytes += n + m
	}
	c.Assert(agents*bytes < linkBytes/2, qt.IsTrue, qt.Commentf("%d agents send %d bytes a second", agents, agents*bytes))
}

func TestMeasurementsWaitForTheirInterval(t *testing.T) {
	c := qt.New(t)
	s, now := &state{worker: "w"}, time.Unix(1000, 0)
	s.start()
	var e Encoder
	var d Decoder
	send(c, &e, &d, now, s.snapshot())
	s.runs[0].Measurement, s.updates = 7, 1
	got, _ := send(c, &e, &d, now.Add(measurementInterval/2), s.snapshot())
	c.Check(got.Runs[0].Measurement, qt.Equals, int64(0))
	c.Check(got.MeasurementUpdates, qt.Equals, uint64(0))
	got, _ = send(c, &e, &d, now.Add(measurementInterval), s.snapshot())
	c.Check(got.Runs[0].Measurement, qt.Equals, int64(7))
	c.Check(got.MeasurementUpdates, qt.Equals, uint64(1))
}

func TestADifferenceFromAnUnknownSnapshotIsRejected(t *testing.T) {
	c := qt.New(t)
	var d Decoder
	_, err := d.Restore(&messenger.WorkerSnapshot{Delta: true})
	c.Check(err, qt.ErrorIs, ErrOutOfStep)
	_, err = d.Restore(&messenger.WorkerSnapshot{})
	c.Check(err, qt.IsNil)
	_, err = d.Restore(&messenger.WorkerSnapshot{Delta: true, Runs: []messenger.RunStatus{{Ref: 4}}})
	c.Check(err, qt.ErrorIs, ErrOutOfStep)
}
