package orchestrator

import (
	"go.uber.org/zap"

	"github.com/endivefall/endivefall/messenger"
)

// sendCommand numbers a command, sends it to an agent and reports whether the
// connection accepted it.
func (o *Orchestrator) sendCommand(a *agent, command *messenger.Command) bool {
	if a.link == nil {
		return false
	}
	a.seq++
	command.Seq, command.Term = a.seq, o.cfg.Term
	if err := a.link.TrySend(messenger.Frame{Kind: messenger.KindCommand, Command: command}); err != nil {
		// The connection has ended; send no more commands on it.
		o.cfg.Log.Info("command not sent", zap.String("agent", a.id), zap.Error(err))
		a.link, a.snapshot = nil, nil
		return false
	}
	return true
}

// stopRun marks a run for eviction and sends its agent a stop command, once on each
// connection.
func (o *Orchestrator) stopRun(r *run, reason string) {
	r.evict = true
	if r.agent.link == nil || r.stopSentOn == r.agent.link {
		return
	}
	if o.sendCommand(r.agent, &messenger.Command{Stop: &messenger.RunStop{Task: r.key.task, Attempt: r.key.attempt}}) {
		r.stopSentOn = r.agent.link
		o.cfg.Log.Info("stopping run", zap.String("task", r.key.task), zap.Uint64("attempt", r.key.attempt), zap.String("agent", r.agent.id), zap.String("why", reason))
	}
}
