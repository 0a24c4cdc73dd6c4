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

// Timeouts and intervals of the connection to the owner.
const (
	// queryTimeout bounds a query from another entry.
	queryTimeout = 400 * time.Millisecond
	// pingInterval is the delay between two pings of the owner.
	pingInterval = 300 * time.Millisecond
	// maxReplyAge is how long the owner may send no reply, or not answer a new
	// connection, before the connection is replaced.
	maxReplyAge = 1200 * time.Millisecond
	// redialDelay is the delay before the owner is dialed again.
	redialDelay = 200 * time.Millisecond
)

// errNotConnected reports that there is no connection to the owner.
var errNotConnected = errors.New("owner is not connected")

type ownerClientConfig struct {
	ID, Incarnation string
	Client          *http.Client
	Now             func() time.Time
	Log             *zap.Logger
	// OnStoreVersion is called with each version that the store had reached before a reply; nil if
	// it is not needed.
	OnStoreVersion func(version uint64)
	// OnInDoubt is called with jobs that are in doubt at other entries.
	OnInDoubt func(jobs []string)
	// InDoubt returns the jobs whose writes here are in doubt; nil if there are never any.
	InDoubt func() []string
	// Extend is called with what the owner says of its confirmation, and returns the
	// confirmation that this entry extends, or nil.
	Extend func(messenger.OwnerConfirmation) *messenger.ConfirmationRef
	// Traffic counts the frames.
	Traffic *messenger.Traffic
}

// ownerClient maintains a connection to the owner and sends queries on it.
type ownerClient struct {
	cfg      ownerClientConfig
	requests correlator.Correlator[messenger.StateReply]
	// lastReply is the local time of the owner's last reply, in Unix nanoseconds.
	lastReply atomic.Int64
	// ownerChanged holds one token when owner has changed.
	ownerChanged chan struct{}

	mu sync.Mutex
	// owner is the entry to connect to.
	owner elector.Member
	// conn is the connection to the owner, nil while there is none. Closing it makes
	// Serve reconnect.
	conn *messenger.Conn
}

func newOwnerClient(cfg ownerClientConfig) *ownerClient {
	return &ownerClient{cfg: cfg, ownerChanged: make(chan struct{}, 1)}
}

// LastReply returns the time of the owner's last reply.
func (c *ownerClient) LastReply() time.Time { return time.Unix(0, c.lastReply.Load()) }

// SetOwner sets the entry to connect to and closes the connection to another one.
func (c *ownerClient) SetOwner(owner elector.Member) {
	c.mu.Lock()
	same := c.owner == owner
	c.owner = owner
	conn := c.conn
	c.mu.Unlock()
	if same {
		return
	}
	if conn != nil {
		conn.Close("another owner")
	}
	select {
	case c.ownerChanged <- struct{}{}:
	default:
	}
}

// Serve maintains the connection until ctx ends.
func (c *ownerClient) Serve(ctx context.Context) {
	for ctx.Err() == nil {
		c.mu.Lock()
		owner := c.owner
		c.mu.Unlock()
		if owner.ID != "" && owner.ID != c.cfg.ID {
			if err := c.connect(ctx, owner); err != nil && ctx.Err() == nil {
				c.cfg.Log.Debug("connection to the owner ended", zap.String("owner", owner.ID), zap.Error(err))
			}
		}
		t := time.NewTimer(redialDelay)
		select {
		case <-ctx.Done():
		case <-c.ownerChanged:
		case <-t.C:
		}
		t.Stop()
	}
}

func (c *ownerClient) connect(ctx context.Context, owner elector.Member) error {
	dialCtx, cancelDial := context.WithTimeout(ctx, maxReplyAge)
	ws, welcome, err := messenger.DialWith(dialCtx, c.cfg.Client, owner.PeerAddr, messenger.Hello{
		Version: messenger.Version, Role: messenger.RoleEntry, ID: c.cfg.ID, Incarnation: c.cfg.Incarnation, Started: c.cfg.Now(),
	})
	cancelDial()
	if err != nil {
		return err
	}
	if welcome.Incarnation != owner.Incarnation {
		_ = ws.CloseNow()
		return errNotConnected // another process answers at the owner's address
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	conn := messenger.New(messenger.Config{Socket: ws, Traffic: c.cfg.Traffic, Handle: func(_ *messenger.Conn, f messenger.Frame) {
		switch f.Kind {
		case messenger.KindStateReply:
			c.lastReply.Store(c.cfg.Now().UnixNano())
			if c.cfg.OnStoreVersion != nil {
				c.cfg.OnStoreVersion(f.StateReply.StoreVersion)
			}
			c.requests.Deliver(f.ID, *f.StateReply)
		case messenger.KindInDoubt:
			c.cfg.OnInDoubt(f.InDoubt.Jobs)
		}
	}})
	c.mu.Lock()
	current := c.owner == owner
	if current {
		c.conn = conn
	}
	c.mu.Unlock()
	if !current {
		_ = ws.CloseNow()
		return errNotConnected // the owner has changed during the dial
	}
	c.reportInDoubt(conn)
	var wg sync.WaitGroup
	wg.Go(func() { c.pingLoop(ctx, conn) })
	err = conn.Run(ctx)
	cancel()
	wg.Wait()
	c.mu.Lock()
	c.conn = nil
	c.mu.Unlock()
	return err
}

// reportInDoubt sends the jobs in doubt on a new connection: a report on an earlier one may
// have been lost.
func (c *ownerClient) reportInDoubt(conn *messenger.Conn) {
	if c.cfg.InDoubt == nil {
		return
	}
	jobs := c.cfg.InDoubt()
	if len(jobs) == 0 {
		return
	}
	if err := conn.TrySend(messenger.Frame{Kind: messenger.KindInDoubt, InDoubt: &messenger.InDoubt{Jobs: jobs}}); err != nil {
		c.cfg.Log.Info("jobs in doubt not reported", zap.Int("jobs", len(jobs)), zap.Error(err))
	}
}

// pingLoop pings the owner and closes the connection when a reply is overdue. The first of the
// pings that extend the owner's confirmation is sent at once.
func (c *ownerClient) pingLoop(ctx context.Context, conn *messenger.Conn) {
	var extended *messenger.ConfirmationRef
	for ctx.Err() == nil {
		pingCtx, cancel := context.WithTimeout(ctx, maxReplyAge)
		reply, err := c.queryOn(pingCtx, conn, messenger.StateQuery{Extended: extended})
		cancel()
		if err != nil {
			conn.Close("silent for too long")
			return
		}
		first := extended == nil
		extended = nil
		if reply.Confirmation != nil && c.cfg.Extend != nil {
			extended = c.cfg.Extend(*reply.Confirmation)
		}
		if !first || extended == nil {
			waiter.Sleep(ctx, pingInterval)
		}
	}
}

// Query sends the owner a query and waits for the reply until ctx ends.
func (c *ownerClient) Query(ctx context.Context, query messenger.StateQuery) (messenger.StateReply, error) {
	c.mu.Lock()
	conn := c.conn
	c.mu.Unlock()
	if conn == nil {
		return messenger.StateReply{}, errNotConnected
	}
	return c.queryOn(ctx, conn, query)
}

// Send sends the owner a frame if it is connected, and drops the frame otherwise.
func (c *ownerClient) Send(f messenger.Frame) {
	c.mu.Lock()
	conn := c.conn
	c.mu.Unlock()
	if conn == nil {
		return
	}
	if err := conn.TrySend(f); err != nil {
		c.cfg.Log.Info("could not send frame to the owner", zap.Error(err))
	}
}

// Connected reports whether the owner is connected and has replied recently.
func (c *ownerClient) Connected() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.conn != nil && c.cfg.Now().Sub(c.LastReply()) < maxReplyAge
}

func (c *ownerClient) queryOn(ctx context.Context, conn *messenger.Conn, query messenger.StateQuery) (messenger.StateReply, error) {
	return c.requests.Do(ctx, conn.Done(), func(id uint64) error {
		return conn.Send(ctx, messenger.Frame{Kind: messenger.KindStateQuery, ID: id, StateQuery: &query})
	})
}
