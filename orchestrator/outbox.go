package orchestrator

import (
	"go.uber.org/zap"

	"github.com/endivefall/endivefall/messenger"
	"github.com/endivefall/endivefall/regulator"
)

// maxUnconfirmedCommands is the most commands that are on their way to an agent at once.
// It leaves most of the frames that a connection queues to acknowledgements, so that
// leases are renewed and ends acknowledged however many commands there are.
const maxUnconfirmedCommands = 64

// hasRoom reports whether a command to the agent would be sent at once.
func (a *agent) hasRoom() bool {
	return a.reachable() && len(a.outbox) == 0 && a.seq < a.confirmedSeq+maxUnconfirmedCommands
}

// queueCommand sends a command to an agent, or queues it until the agent has confirmed
// earlier ones. It reports whether the agent is still connected.
func (o *Orchestrator) queueCommand(a *agent, c queuedCommand) bool {
	if !a.reachable() {
		return false
	}
	a.outbox = append(a.outbox, c)
	o.sendQueued(a)
	return a.reachable()
}

// sendQueued sends queued commands of an agent, in order, while few are unconfirmed.
func (o *Orchestrator) sendQueued(a *agent) {
	for len(a.outbox) > 0 && a.reachable() && a.seq < a.confirmedSeq+maxUnconfirmedCommands {
		c := a.outbox[0]
		a.outbox = a.outbox[1:]
		if !o.obsolete(a, c) && !o.refuseQueued(a, c) {
			o.send(a, c)
		}
	}
	if len(a.outbox) == 0 {
		a.outbox = nil
	}
}

// obsolete reports whether the run of a queued command has ended meanwhile.
func (o *Orchestrator) obsolete(a *agent, c queuedCommand) bool {
	if c.run == nil {
		return a.strays[c.key] != c.stray
	}
	return o.runs[c.run.key] != c.run
}

// send numbers a command and passes it to the connection.
func (o *Orchestrator) send(a *agent, c queuedCommand) {
	a.seq++
	now := o.cfg.Now()
	command := &messenger.Command{Seq: a.seq, Term: o.cfg.Term}
	switch {
	case c.kind == startCommand:
		command.Start = o.runStart(c.run, false)
		command.Start.StartByMs = o.startBy(a)
	case c.kind == specCommand:
		command.Start = o.runStart(c.run, true)
	case c.run != nil:
		command.Stop = &messenger.RunStop{Task: c.run.key.task, Attempt: c.run.key.attempt}
	default:
		command.Stop = &messenger.RunStop{Task: c.key.task, Attempt: c.key.attempt}
	}
	if err := a.link.TrySend(messenger.Frame{Kind: messenger.KindCommand, Command: command}); err != nil {
		o.cfg.Log.Info("command not sent", zap.String("agent", a.id), zap.Error(err))
		a.link.ended = true // Disconnect follows
		return
	}
	switch {
	case c.kind == startCommand:
		c.run.seq = a.seq
		o.starts.Sent(a.id, regulator.Command{Seq: a.seq, Bytes: startBytes(command.Start), SentAt: now})
	case c.kind == specCommand:
		c.run.specSeq = a.seq
	case c.run != nil:
		c.run.stopSeq, c.run.stopAgainAt = a.seq, now.Add(stopRepeatDelay)
	default:
		c.stray.stopSeq, c.stray.stopAgainAt = a.seq, now.Add(stopRepeatDelay)
	}
}

// dropOutbox drops the commands to an agent whose connection has ended. Runs whose start
// was never sent end; what else was queued is asked for anew on the next connection.
func (o *Orchestrator) dropOutbox(a *agent) {
	o.dropGrantsAt(a)
	queued := a.outbox
	a.outbox = nil
	for _, c := range queued {
		if c.kind == startCommand && !o.obsolete(a, c) {
			o.endRun(c.run, messenger.RunEnd{Task: c.run.key.task, Attempt: c.run.key.attempt, Status: messenger.EndNotStarted, Reason: "the connection ended before its start was sent"})
		}
	}
}
