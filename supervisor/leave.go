package supervisor

import (
	"context"
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/endivefall/endivefall/registrar"
	"github.com/endivefall/endivefall/storer"
	"github.com/endivefall/endivefall/waiter"
)

const (
	// LeaveTimeout is how long an agent that is to end should wait in AwaitOwner: until
	// another entry has taken over from an owner that does not answer.
	LeaveTimeout = 3 * time.Second
	// ownRegistrationDelay is how long an agent that is to end waits for an owner before it
	// closes its own registration.
	ownRegistrationDelay = time.Second
	// registrationRetryDelay is the delay after a failed attempt to close it.
	registrationRetryDelay = 250 * time.Millisecond
)

// errIncomplete means that the agent does not know yet what its worker holds.
var errIncomplete = errors.New("the worker has not been listed")

// AwaitOwner waits until an owner has applied a snapshot that was sent after the call,
// or until ctx ends. That owner then knows which runs the agent leaves; without one, the
// next owner can only wait for their leases, and the agent closes its own registration, so
// that no other task waits. It returns at once if there is no worker. From the call on the agent
// starts nothing.
func (s *Supervisor) AwaitOwner(ctx context.Context) {
	s.mu.Lock()
	s.leaving, s.leaveAfter = true, s.workerNow()
	incarnation, called := s.heartbeat.Incarnation(), s.cfg.Now()
	s.mu.Unlock()
	s.markDirty()
	closeCtx, cancel := context.WithCancel(ctx)
	var closing sync.WaitGroup
	defer closing.Wait()
	defer cancel()
	if s.cfg.GetItem != nil && incarnation != "" {
		closing.Go(func() { s.closeOwnRegistration(closeCtx) })
	}
	for {
		s.mu.Lock()
		known := s.heartbeat.Incarnation() == "" || s.heartbeat.Incarnation() != incarnation || !s.appliedSentAt.Before(s.leaveAfter) && !s.endsUnsent()
		runs := len(s.runs)
		s.mu.Unlock()
		if known || ctx.Err() != nil {
			s.cfg.Log.Info("leaving", zap.Bool("owner_knows", known), zap.Int("runs", runs), zap.Duration("waited", s.cfg.Now().Sub(called)))
			return
		}
		select {
		case <-s.applied:
		case <-ctx.Done():
		}
	}
}

// closeOwnRegistration closes the registration of this process, or removes it if nothing is
// left here, once no owner has answered for a while. It tries until the outcome is known or ctx
// ends.
func (s *Supervisor) closeOwnRegistration(ctx context.Context) {
	waiter.Sleep(ctx, ownRegistrationDelay)
	for ctx.Err() == nil {
		err := s.writeOwnRegistration(ctx)
		if err == nil {
			return
		}
		if ctx.Err() == nil {
			s.cfg.Log.Info("own registration not closed", zap.Error(err))
		}
		waiter.Sleep(ctx, registrationRetryDelay)
	}
}

// writeOwnRegistration writes the registration with the tasks that may run here, whose leases
// a later owner waits for. The agent starts nothing any more when it is called, and the change
// applies only to the version that was read after that: an owner that opens the registration for
// a later process is never undone, however late the change takes effect. The record of another
// process is left alone.
func (s *Supervisor) writeOwnRegistration(ctx context.Context) error {
	key := registrar.Key(s.cfg.ID)
	item, err := s.cfg.GetItem(ctx, key)
	if errors.Is(err, storer.ErrNotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	recorded, err := registrar.Decode(item.Value)
	if err != nil {
		return err
	}
	s.mu.Lock()
	complete, held := s.complete, s.heldTasks()
	s.mu.Unlock()
	if !complete {
		return errIncomplete
	}
	if recorded.Incarnation != s.cfg.Incarnation || !recorded.Open && len(held) > 0 {
		s.cfg.Log.Info("own registration left as it is", zap.Bool("open", recorded.Open), zap.String("born", recorded.Incarnation))
		return nil
	}
	change := storer.Transaction{Checks: []storer.Check{{Key: key, Version: item.Version}}}
	if len(held) == 0 {
		change.Deletes = []string{key}
	} else {
		closed := registrar.Registration{HeldTasks: held, Incarnation: s.cfg.Incarnation}
		change.Writes = []storer.Write{{Key: key, Value: closed.Encode()}}
	}
	if _, err := s.cfg.Commit(ctx, change); err != nil {
		return err
	}
	s.cfg.Log.Info("own registration closed", zap.Int("tasks", len(held)))
	return nil
}

// heldTasks returns the tasks that may run at the worker, and those whose ends no owner has
// acknowledged.
func (s *Supervisor) heldTasks() []string {
	var tasks []string
	for key := range s.runs {
		tasks = append(tasks, key.task)
	}
	for _, e := range s.ends {
		tasks = append(tasks, e.Task)
	}
	return tasks
}
