package supervisor

import (
	"errors"
	"io"
	"syscall"

	"github.com/endivefall/endivefall/messenger"
)

// endShutDownRuns ends the runs of a worker that has deregistered, has then closed the
// connection of a call without a reply, and refuses connections: its process has ended. A
// refusal alone is no proof, as the network may refuse connections to a worker that runs. A run
// that no list has shown may be carried out yet by the worker's next incarnation.
func (s *Supervisor) endShutDownRuns(err error) {
	if !s.draining {
		return
	}
	s.closed = s.closed || errors.Is(err, io.EOF)
	if !s.closed || !errors.Is(err, syscall.ECONNREFUSED) {
		return
	}
	for _, r := range s.sortedRuns() {
		if r.listed {
			s.endRun(r, messenger.RunEnd{Status: messenger.EndWorkerLost, Reason: "the worker has shut down"}, 0)
		}
	}
}
