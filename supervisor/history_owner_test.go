package supervisor_test

import (
	"fmt"
	"strings"

	"github.com/endivefall/endivefall/messenger"
)

// ownedRun is a run as its owner knows it.
type ownedRun struct {
	task    string
	attempt uint64
	spec    messenger.TaskSpec
	// link and seq are the connection and the number of its start command.
	link *messenger.Conn
	seq  uint64
	// stop is set once the run is to stop, stopSentOn the connection that carried the stop.
	stop       bool
	stopSentOn *messenger.Conn
	// listedBy is the process of the agent that listed the run last, 0 if none did.
	listedBy int
	// ends are the ends that were reported, by process and number. ended is set once the
	// owner knows of one.
	ends  map[string]messenger.EndStatus
	ended bool
}

// runName names a run.
func runName(task string, attempt uint64) string { return fmt.Sprint(task, "#", attempt) }

// command sends a command on the current connection and reports whether it was queued.
func (h *history) command(cmd messenger.Command) bool {
	if h.link == nil {
		return false
	}
	cmd.Term, cmd.Seq = 1, h.sent+1
	if h.link.TrySend(messenger.Frame{Kind: messenger.KindCommand, Command: &cmd}) != nil {
		return false
	}
	h.sent++
	return true
}

// startRun starts a new task, or the next attempt of one that has ended.
func (h *history) startRun() {
	r := &ownedRun{attempt: 1, ends: map[string]messenger.EndStatus{}}
	if n := len(h.runs); n > 0 && h.r.IntN(4) == 0 {
		earlier := h.runs[h.r.IntN(n)]
		if h.byKey[runName(earlier.task, earlier.attempt+1)] != nil || !earlier.ended {
			return
		}
		r.task, r.attempt, r.spec = earlier.task, earlier.attempt+1, earlier.spec
	} else {
		kind := []string{"serving", "filling", "filling", "long", "short", "short"}[h.r.IntN(6)]
		h.tasks++
		r.task = fmt.Sprint(kind, h.tasks, ".0.0.0")
		r.spec = messenger.TaskSpec{CPU: 500, Memory: 10, Image: kind, BestEffort: kind == "filling"}
		if kind == "serving" {
			r.spec.LatencyTargetMs = latencyTargetMs
		}
	}
	if !h.command(messenger.Command{Start: &messenger.RunStart{Task: r.task, Attempt: r.attempt, Spec: r.spec}}) {
		return
	}
	r.link, r.seq = h.link, h.sent
	h.runs = append(h.runs, r)
	h.byKey[runName(r.task, r.attempt)] = r
}

// stopRun decides that a run is to stop, mostly a young one.
func (h *history) stopRun() {
	if len(h.runs) == 0 {
		return
	}
	n := h.r.IntN(len(h.runs))
	if h.r.IntN(2) == 0 {
		n = max(len(h.runs)-1-h.r.IntN(4), 0)
	}
	h.runs[n].stop = true
	h.sendStop(h.runs[n])
}

// sendStop sends the stop of a run once on each connection. An agent that has got it must
// not lose it.
func (h *history) sendStop(r *ownedRun) {
	if r.ended || !r.stop || r.stopSentOn == h.link {
		return
	}
	if h.command(messenger.Command{Stop: &messenger.RunStop{Task: r.task, Attempt: r.attempt}}) {
		r.stopSentOn = h.link
	}
}

// pollOwner does what an owner does with the newest snapshot.
func (h *history) pollOwner() {
	conn := h.ownerConn()
	if h.link != conn { // its first snapshot is still to come
		h.link, h.sent = conn, 0
		h.set(func() { h.snapshot = nil })
	}
	snapshot := h.latestSnapshot()
	for _, r := range h.runs {
		h.sendStop(r)
	}
	if snapshot == nil || snapshot.Seq > h.sent {
		return
	}
	reported := map[string]bool{}
	for _, end := range snapshot.RunEnds {
		reported[runName(end.Task, end.Attempt)] = true
		h.recordEnd(end)
		h.set(func() { h.ackedEnd = max(h.ackedEnd, end.Seq) })
	}
	for _, status := range snapshot.Runs {
		reported[runName(status.Task, status.Attempt)] = true
		h.recordRun(status)
	}
	if !snapshot.Complete {
		return
	}
	for _, r := range h.runs {
		if r.ended || reported[runName(r.task, r.attempt)] || r.link == h.link && r.seq > snapshot.Seq {
			continue
		}
		r.ended = true
		if r.listedBy == h.process {
			h.reportf("%s was listed, and is lost without an end", runName(r.task, r.attempt))
		}
	}
}

// recordEnd records the report of an end.
func (h *history) recordEnd(end messenger.RunEnd) {
	name := runName(end.Task, end.Attempt)
	r := h.byKey[name]
	if r == nil {
		h.reportf("%s ended, but was not started", name)
		return
	}
	r.ended = true
	report := fmt.Sprint("process ", h.process, " end ", end.Seq)
	if _, known := r.ends[report]; known {
		return
	}
	for other := range r.ends {
		if strings.HasPrefix(other, fmt.Sprint("process ", h.process, " ")) {
			h.reportf("%s ended twice: %s %s, %s %s (%s)", name, other, r.ends[other], report, end.Status, end.Reason)
		}
	}
	r.ends[report] = end.Status
	if end.Status == messenger.EndStopped && !r.stop {
		h.reportf("%s was stopped, but was not to stop", name)
	}
}

// recordRun records that the agent lists a run, and sends its spec if the agent lacks it.
func (h *history) recordRun(status messenger.RunStatus) {
	name := runName(status.Task, status.Attempt)
	r := h.byKey[name]
	if r == nil {
		h.reportf("%s is listed, but was not started", name)
		return
	}
	if r.ended && len(r.ends) > 0 {
		h.reportf("%s is listed after its end: %v", name, r.ends)
	}
	r.listedBy = h.process
	if status.SpecUnknown {
		h.command(messenger.Command{Start: &messenger.RunStart{Task: r.task, Attempt: r.attempt, Spec: r.spec, AlreadyRunning: true}})
	}
}
