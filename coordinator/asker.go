package coordinator

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/endivefall/endivefall/correlator"
	"github.com/endivefall/endivefall/elector"
	"github.com/endivefall/endivefall/messenger"
	"github.com/endivefall/endivefall/waiter"
)

// Times of an asker.
const (
	// askTimeout bounds a question between entries.
	askTimeout = 400 * time.Millisecond
	// pingEvery is how often the owner is asked whether it is there.
	pingEvery = 300 * time.Millisecond
	// deafAfter is how long it may answer nothing before the connection is made
	// anew.
	deafAfter = 1200 * time.Millisecond
	// redial is the wait before the owner is dialled again.
	redial = 200 * time.Millisecond
)

// errNoOwner says that no owner is connected.
var errNoOwner = errors.New("owner is not connected")

type askerConfig struct {
	ID, Born string
	Client   *http.Client
	Now      func() time.Time
	Log      *zap.Logger
	// Doubt is told of jobs in doubt at other entries.
	Doubt func(jobs []string)
}

// asker keeps a connection to the owner and asks it.
type asker struct {
	cfg       askerConfig
	questions correlator.Correlator[messenger.StateReply]
	// reached is the local time, in ns, of the owner's last answer.
	reached atomic.Int64
	// turned holds one token when the aim has changed.
	turned chan struct{}

	mu sync.Mutex
	// aim is the owner to ask.
	aim elector.Member
	// conn is the connection to it, or nil; closing it ends it.
	conn *messenger.Conn
}

func newAsker(cfg askerConfig) *asker {
	return &asker{cfg: cfg, turned: make(chan struct{}, 1)}
}

// Reached says when the owner answered last.
func (a *asker) Reached() time.Time { return time.Unix(0, a.reached.Load()) }

// Aim turns to an owner.
func (a *asker) Aim(m elector.Member) {
	a.mu.Lock()
	same := a.aim == m
	a.aim = m
	conn := a.conn
	a.mu.Unlock()
	if same {
		return
	}
	if conn != nil {
		conn.Close("another owner")
	}
	select {
	case a.turned <- struct{}{}:
	default:
	}
}

// Serve keeps the connection until ctx ends.
func (a *asker) Serve(ctx context.Context) {
	for ctx.Err() == nil {
		a.mu.Lock()
		aim := a.aim
		a.mu.Unlock()
		if aim.ID != "" && aim.ID != a.cfg.ID {
			if err := a.connect(ctx, aim); err != nil && ctx.Err() == nil {
				a.cfg.Log.Debug("owner not connected", zap.String("owner", aim.ID), zap.Error(err))
			}
		}
		t := time.NewTimer(redial)
		select {
		case <-ctx.Done():
		case <-a.turned:
		case <-t.C:
		}
		t.Stop()
	}
}

func (a *asker) connect(ctx context.Context, aim elector.Member) error {
	ws, welcome, err := messenger.DialWith(ctx, a.cfg.Client, aim.PeerAddr, messenger.Hello{
		Version: messenger.Version, Role: messenger.RoleEntry, ID: a.cfg.ID, Incarnation: a.cfg.Born, Started: a.cfg.Now(),
	})
	if err != nil {
		return err
	}
	if welcome.Incarnation != aim.Incarnation {
		_ = ws.CloseNow()
		return errNoOwner
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	conn := messenger.New(messenger.Config{Socket: ws, Handle: func(_ *messenger.Conn, f messenger.Frame) {
		switch f.Kind {
		case messenger.KindStateReply:
			a.reached.Store(a.cfg.Now().UnixNano())
			a.questions.Deliver(f.ID, *f.StateReply)
		case messenger.KindInDoubt:
			a.cfg.Doubt(f.InDoubt.Jobs)
		}
	}})
	a.mu.Lock()
	a.conn = conn
	a.mu.Unlock()
	var pinging sync.WaitGroup
	pinging.Go(func() { a.pingLoop(ctx, conn) })
	err = conn.Run(ctx)
	cancel()
	pinging.Wait()
	a.mu.Lock()
	a.conn = nil
	a.mu.Unlock()
	return err
}

// pingLoop asks the owner whether it is there, and ends a connection on which
// it does not answer.
func (a *asker) pingLoop(ctx context.Context, conn *messenger.Conn) {
	for ctx.Err() == nil {
		bound, cancel := context.WithTimeout(ctx, deafAfter)
		_, err := a.askOn(bound, conn, messenger.StateQuery{})
		cancel()
		if err != nil {
			conn.Close("silent for too long")
			return
		}
		waiter.Sleep(ctx, pingEvery)
	}
}

// Ask asks the owner and waits for its answer until ctx ends.
func (a *asker) Ask(ctx context.Context, ask messenger.StateQuery) (messenger.StateReply, error) {
	a.mu.Lock()
	conn := a.conn
	a.mu.Unlock()
	if conn == nil {
		return messenger.StateReply{}, errNoOwner
	}
	return a.askOn(ctx, conn, ask)
}

// Tell sends the owner a frame, if it is connected.
func (a *asker) Tell(f messenger.Frame) {
	a.mu.Lock()
	conn := a.conn
	a.mu.Unlock()
	if conn == nil {
		return
	}
	if err := conn.Post(f); err != nil {
		a.cfg.Log.Info("owner not told", zap.Error(err))
	}
}

// Connected says whether the owner answers on a connection.
func (a *asker) Connected() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.conn != nil && a.cfg.Now().Sub(a.Reached()) < deafAfter
}

func (a *asker) askOn(ctx context.Context, conn *messenger.Conn, ask messenger.StateQuery) (messenger.StateReply, error) {
	return a.questions.Do(ctx, conn.Done(), func(id uint64) error {
		return conn.Post(messenger.Frame{Kind: messenger.KindStateQuery, ID: id, StateQuery: &ask})
	})
}
