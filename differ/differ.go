// Package differ reduces the snapshots of a connection to what has changed since the
// one before. It does no I/O.
//
// An agent with two dozen runs starts and ends several of them in a second and sends
// a snapshot after each. Complete ones fill the link of an owner that has few Mbit/s.
package differ

import (
	"errors"
	"slices"
	"time"

	"github.com/endivefall/endivefall/messenger"
)

// ErrOutOfStep reports a difference from a snapshot that has not been received.
var ErrOutOfStep = errors.New("snapshot differs from one that is not known")

// measurementInterval is the shortest time between two snapshots with new
// measurements, progress and checkpoints. All else is sent at once.
const measurementInterval = 250 * time.Millisecond

// runKey identifies a run.
type runKey struct {
	task    string
	attempt uint64
}

// Encoder reduces the snapshots that are sent on one connection.
type Encoder struct {
	// sent is the state that the receiver has; nil before the first snapshot.
	sent *messenger.WorkerSnapshot
	// refs has the numbers of the runs in sent, lastRef the highest one in use.
	refs    map[runKey]uint64
	lastRef uint64
	// lastEnd is the newest end that was sent.
	lastEnd uint64
	// measurementsDue is when changed measurements are sent again.
	measurementsDue time.Time
}

// Next returns what to send for a complete snapshot. It takes ownership of full.
func (e *Encoder) Next(now time.Time, full *messenger.WorkerSnapshot) *messenger.WorkerSnapshot {
	first := e.sent == nil || !sameWorker(e.sent, full)
	if first {
		e.refs, e.lastRef, e.lastEnd = map[runKey]uint64{}, 0, 0
	}
	measure := first || !now.Before(e.measurementsDue)
	diff := *full
	diff.Runs, diff.RunEnds, diff.Gone = nil, nil, nil
	earlier := map[runKey]messenger.RunStatus{}
	if !first {
		diff.Delta = true
		diff.WorkerIncarnation, diff.CPU, diff.Memory, diff.GPU, diff.Labels, diff.Pool, diff.Domain = "", 0, 0, 0, nil, "", ""
		for _, status := range e.sent.Runs {
			earlier[runKey{status.Task, status.Attempt}] = status
		}
		if !measure {
			diff.MeasurementUpdates, full.MeasurementUpdates = 0, e.sent.MeasurementUpdates
		}
	}
	if measure {
		e.measurementsDue = now.Add(measurementInterval)
	}
	for n := range full.Runs {
		e.addRun(&diff, &full.Runs[n], earlier, measure)
	}
	for key := range earlier { // those that are left have ended
		diff.Gone = append(diff.Gone, e.refs[key])
		delete(e.refs, key)
	}
	slices.Sort(diff.Gone)
	for _, end := range full.RunEnds {
		if end.Seq > e.lastEnd {
			diff.RunEnds = append(diff.RunEnds, end)
			e.lastEnd = end.Seq
		}
	}
	if len(full.RunEnds) > 0 {
		diff.FirstEnd = full.RunEnds[0].Seq
	}
	e.sent = full
	return &diff
}

// addRun adds a run to diff if the receiver needs to know of a change, and removes it
// from earlier.
func (e *Encoder) addRun(diff *messenger.WorkerSnapshot, status *messenger.RunStatus, earlier map[runKey]messenger.RunStatus, measure bool) {
	key := runKey{status.Task, status.Attempt}
	before, known := earlier[key]
	delete(earlier, key)
	if !known {
		e.lastRef++
		e.refs[key] = e.lastRef
		status.Ref = e.lastRef
		diff.Runs = append(diff.Runs, *status)
		return
	}
	status.Ref = before.Ref
	if !measure && status.Phase == before.Phase && status.PacePercent == before.PacePercent && status.SpecUnknown == before.SpecUnknown {
		*status = before
		return
	}
	if *status == before {
		return
	}
	changed := *status
	changed.Task, changed.Attempt = "", 0
	diff.Runs = append(diff.Runs, changed)
}

// sameWorker reports whether two snapshots have the same worker with the same
// properties.
func sameWorker(a, b *messenger.WorkerSnapshot) bool {
	return a.WorkerIncarnation == b.WorkerIncarnation && a.CPU == b.CPU && a.Memory == b.Memory && a.GPU == b.GPU &&
		a.Pool == b.Pool && a.Domain == b.Domain && slices.Equal(a.Labels, b.Labels)
}

// Decoder restores the snapshots that an Encoder has reduced. The zero value is ready
// to use.
type Decoder struct {
	// last is the newest complete snapshot.
	last *messenger.WorkerSnapshot
}

// Restore returns the complete snapshot. It does not change earlier ones. The error
// wraps ErrOutOfStep if the snapshot differs from one that the decoder has not got.
func (d *Decoder) Restore(received *messenger.WorkerSnapshot) (*messenger.WorkerSnapshot, error) {
	if !received.Delta {
		d.last = received
		return received, nil
	}
	last := d.last
	if last == nil {
		return nil, ErrOutOfStep
	}
	full := *received
	full.Delta, full.Gone, full.FirstEnd = false, nil, 0
	full.WorkerIncarnation, full.CPU, full.Memory, full.GPU, full.Labels, full.Pool, full.Domain = last.WorkerIncarnation, last.CPU, last.Memory, last.GPU, last.Labels, last.Pool, last.Domain
	if full.MeasurementUpdates == 0 {
		full.MeasurementUpdates = last.MeasurementUpdates
	}
	changed := make(map[uint64]messenger.RunStatus, len(received.Runs))
	for _, status := range received.Runs {
		changed[status.Ref] = status
	}
	full.Runs = make([]messenger.RunStatus, 0, len(last.Runs)+len(received.Runs))
	for _, before := range last.Runs {
		if slices.Contains(received.Gone, before.Ref) {
			continue
		}
		status, ok := changed[before.Ref]
		delete(changed, before.Ref)
		if !ok {
			status = before
		}
		status.Task, status.Attempt = before.Task, before.Attempt
		full.Runs = append(full.Runs, status)
	}
	for _, status := range received.Runs {
		if _, ok := changed[status.Ref]; !ok {
			continue
		}
		if status.Task == "" {
			return nil, ErrOutOfStep
		}
		full.Runs = append(full.Runs, status)
	}
	full.RunEnds = nil
	for _, end := range slices.Concat(last.RunEnds, received.RunEnds) {
		if received.FirstEnd != 0 && end.Seq >= received.FirstEnd {
			full.RunEnds = append(full.RunEnds, end)
		}
	}
	d.last = &full
	return &full, nil
}
