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
