package conductor

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/endivefall/endivefall/elector"
	"github.com/endivefall/endivefall/messenger"
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
}

// asker keeps a connection to the owner and asks it.
type asker struct {
	cfg  askerConfig
	next atomic.Uint64
	// reached is the local time, in ns, of the owner's last answer.
	reached atomic.Int64
	// turned holds one token when the aim has changed.
	turned chan struct{}

	mu sync.Mutex
	// aim is the owner to ask.
	aim elector.Member
	// conn is the connection to it, or nil; closing it ends it.
	conn *messenger.Conn
	// open has the questions without an answer.
	open map[uint64]chan messenger.Tell
}

func newAsker(cfg askerConfig) *asker {
	return &asker{cfg: cfg, turned: make(chan struct{}, 1), open: map[uint64]chan messenger.Tell{}}
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
	ws, welcome, err := messenger.DialWith(ctx, a.cfg.Client, aim.Peer, messenger.Hello{
		Version: messenger.Version, Role: messenger.RoleEntry, ID: a.cfg.ID, Born: a.cfg.Born, Started: a.cfg.Now(),
	})
	if err != nil {
		return err
	}
	if welcome.Born != aim.Born {
		_ = ws.CloseNow()
		return errNoOwner
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	heard := a.cfg.Now()
	var mu sync.Mutex
	conn := messenger.New(messenger.Config{Socket: ws, Handle: func(_ *messenger.Conn, f messenger.Frame) {
		if f.Kind != messenger.KindTell {
			return
		}
		now := a.cfg.Now()
		a.reached.Store(now.UnixNano())
		mu.Lock()
		heard = now
		mu.Unlock()
		a.mu.Lock()
		waiting := a.open[f.ID]
		delete(a.open, f.ID)
		a.mu.Unlock()
		if waiting != nil {
			waiting <- *f.Tell
		}
	}})
	a.mu.Lock()
	a.conn = conn
	a.mu.Unlock()
	var pinging sync.WaitGroup
	pinging.Go(func() {
		for ctx.Err() == nil {
			if err := conn.Post(messenger.Frame{Kind: messenger.KindAsk, ID: a.next.Add(1), Ask: &messenger.Ask{}}); err != nil {
				return
			}
			t := time.NewTimer(pingEvery)
			select {
			case <-ctx.Done():
			case <-t.C:
			}
			t.Stop()
			mu.Lock()
			deaf := a.cfg.Now().Sub(heard) > deafAfter
			mu.Unlock()
			if deaf {
				conn.Close("silent for too long")
				return
			}
		}
	})
	err = conn.Run(ctx)
	cancel()
	pinging.Wait()
	a.mu.Lock()
	a.conn = nil
	a.mu.Unlock()
	return err
}

// Ask asks the owner and waits for its answer until ctx ends.
func (a *asker) Ask(ctx context.Context, ask messenger.Ask) (messenger.Tell, error) {
	id := a.next.Add(1)
	answer := make(chan messenger.Tell, 1)
	a.mu.Lock()
	conn := a.conn
	if conn != nil {
		a.open[id] = answer
	}
	a.mu.Unlock()
	if conn == nil {
		return messenger.Tell{}, errNoOwner
	}
	defer func() {
		a.mu.Lock()
		delete(a.open, id)
		a.mu.Unlock()
	}()
	if err := conn.Post(messenger.Frame{Kind: messenger.KindAsk, ID: id, Ask: &ask}); err != nil {
		return messenger.Tell{}, err
	}
	select {
	case t := <-answer:
		return t, nil
	case <-conn.Done():
		return messenger.Tell{}, errNoOwner
	case <-ctx.Done():
		return messenger.Tell{}, ctx.Err()
	}
}
