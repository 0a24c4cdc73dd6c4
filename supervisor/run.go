package supervisor

import (
	"time"

	"github.com/endivefall/endivefall/messenger"
)

// run is a run at the worker. The warden's mu guards all of it.
type run struct {
	task    string
	attempt uint64
	traits  messenger.TaskSpec
	phase   messenger.Phase
	saved   string
	percent int
	figure  int64
	// pace is the percent at which the task may work.
	pace int
	// paced is the local time since when it works at that pace; pacing is set
	// while the worker was told and has not answered.
	paced  time.Time
	pacing bool
	// tail is the present tail latency in ms of a task that serves; 0 while it
	// is not known.
	tail int64
	// since is the worker's clock when it confirmed the run; a later listing
	// that lacks the run says that it is over.
	since time.Time
	// doubt is the fence of a start without an answer; a listing under a higher
	// one settles it. 0 while there is no doubt.
	doubt uint64
	// adopted is set while the traits of a run are not known: an earlier
	// process of the agent started it.
	adopted bool
	// stop is set once the owner wants the run stopped.
	stop bool
	// over is set when the run has left the table.
	over bool
}

func (r *run) row() messenger.RunStatus {
	figure := r.figure
	if r.traits.LatencyTargetMs > 0 {
		figure = r.tail
	}
	return messenger.RunStatus{
		Task: r.task, Attempt: r.attempt, Phase: r.phase, Checkpoint: r.saved,
		ProgressPercent: r.percent, Measurement: figure, PacePercent: r.pace, SpecUnknown: r.adopted,
	}
}

// key names a run.
type key struct {
	task    string
	attempt uint64
}

// end is a run that has ended and that the ledger does not have yet.
type end struct {
	messenger.RunEnd
	// number is the worker's own for the end; 0 for one that it has not listed.
	number uint64
}
