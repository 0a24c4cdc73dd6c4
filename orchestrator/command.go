package orchestrator

import (
	"go.uber.org/zap"

	"github.com/endivefall/endivefall/messenger"
)

// sendCommand numbers a command, sends it to an agent and reports whether the
// connection accepted it.
func (o *Orchestrator) sendCommand(a *agent, command *messenger.Command) bool {
	if !a.reachable() {
		return false
	}
	a.seq++
	command.Seq, command.Term = a.seq, o.cfg.Term
	if err := a.link.TrySend(messenger.Frame{Kind: messenger.KindCommand, Command: command}); err != nil {
		o.cfg.Log.Info("command not sent", zap.String("agent", a.id), zap.Error(err))
		a.link.ended = true // Disconnect follows
		return false
	}
	return true
}
