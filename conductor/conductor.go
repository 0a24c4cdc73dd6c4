// Package conductor is the process of an entry of the pools: it takes callers'
// jobs, follows who owns the pools, and schedules them while it is the owner.
package conductor

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"github.com/endivefall/endivefall/acceptor"
	"github.com/endivefall/endivefall/connector"
	"github.com/endivefall/endivefall/dialer"
	"github.com/endivefall/endivefall/elector"
	"github.com/endivefall/endivefall/keeper"
	"github.com/endivefall/endivefall/messenger"
	"github.com/endivefall/endivefall/overseer"
	"github.com/endivefall/endivefall/relayer"
	"github.com/endivefall/endivefall/sleeper"
)

// Times of an entry.
const (
	// proof is how long a proof of ownership holds: a store that is away for
	// nine seconds, as on most troubled days, does not stop the work.
	proof = 10 * time.Second
	// MaxLease bounds how long runs go on without the owner: longer than a cut
	// of 5.5 s, short enough that lost tasks run again in time.
	MaxLease = 5800 * time.Millisecond
	// holdMargin keeps a lease below what the worker takes.
	holdMargin = 200 * time.Millisecond
	// silence ends connections whose bytes stay unacknowledged.
	silence = 1500 * time.Millisecond
	// peerConns bounds the connections to one peer: relayed calls run side by
	// side.
	peerConns = 16
	// headerTimeout bounds a peer's request head.
	headerTimeout = 3 * time.Second
	// releasePause is the wait before a release that failed is tried again.
	releasePause = 200 * time.Millisecond
	// handover bounds the release of ownership at the end.
	handover = 1500 * time.Millisecond
)

// Lease returns how long runs go on without a word of the owner, of the longest
// lease that workers take.
func Lease(hold time.Duration) time.Duration { return min(MaxLease, hold-holdMargin) }

// Config is what a Conductor needs.
type Config struct {
	ID   string
	Peer netip.AddrPort
	// Store is the platform's, as reached from this instance.
	Store *keeper.Store
	// Hold is the longest lease that workers take; Keep how long the state of a
	// job that is over is kept.
	Hold, Keep time.Duration
	// Now is a clock that counts the time in which the instance was suspended;
	// Wall is the time of day, time.Now when nil.
	Now, Wall func() time.Time
	Log       *zap.Logger
	Count     func(name string)
	Time      func(name string, d time.Duration)
	// Advise asks the service of the queues' policies.
	Advise func(ctx context.Context, step string, workers []string) ([]overseer.Grant, time.Duration, error)
	// Listen opens the listener for peers; net.Listen when nil. Client calls
	// them; one that notices silent peers when nil.
	Listen func(network, addr string) (net.Listener, error)
	Client *http.Client
}

// Conductor is one entry of the pools.
type Conductor struct {
	cfg       Config
	born      string
	relayer   *relayer.Relayer
	elector   *elector.Elector
	connector *connector.Connector
	asker     *asker
	// Acceptor takes the calls of callers.
	Acceptor *acceptor.Acceptor
	// wake holds one token when the owner's record may have changed.
	wake chan struct{}

	mu sync.Mutex
	// overseer is set while this process owns the pools.
	overseer *overseer.Overseer
	// links has the agents' connections, for the overseer.
	links map[*connector.Link]*overseer.Link
	// leaving is set once the process is to end.
	leaving bool
}

// New returns a Conductor; Serve runs it.
func New(cfg Config) *Conductor {
	if cfg.Wall == nil {
		cfg.Wall = time.Now
	}
	if cfg.Listen == nil {
		cfg.Listen = net.Listen
	}
	if cfg.Client == nil {
		cfg.Client = dialer.New(silence).Client(peerConns)
	}
	c := &Conductor{cfg: cfg, born: uuid.NewString(), wake: make(chan struct{}, 1), links: map[*connector.Link]*overseer.Link{}}
	client := cfg.Client
	c.relayer = relayer.New(relayer.Config{
		Store: cfg.Store, Peers: func() []netip.AddrPort { return c.elector.Peers() }, Client: client,
		Now: cfg.Now, Log: cfg.Log, Count: func(name string) { cfg.Count("store_" + name) },
	})
	store := c.relayer.Store()
	self := elector.Member{ID: cfg.ID, Born: c.born, Peer: cfg.Peer}
	c.asker = newAsker(askerConfig{ID: cfg.ID, Born: c.born, Client: client, Now: cfg.Now, Log: cfg.Log})
	c.elector = elector.New(elector.Config{
		Self: self, Store: store, Now: cfg.Now, Log: cfg.Log, Reached: c.asker.Reached,
		Seen: func(elector.Record, []elector.Member) { c.touch() },
	})
	c.connector = connector.New(connector.Config{
		ID: cfg.ID, Born: c.born, Now: cfg.Now, Log: cfg.Log, Join: c.join, Part: c.part, Handle: c.handle,
		Welcome: func(w *messenger.Welcome) { w.Peers = append(c.elector.Peers(), cfg.Peer) },
	})
	c.Acceptor = acceptor.New(acceptor.Config{
		Store: store, Ask: c.ask, Now: cfg.Now, Wall: cfg.Wall, Log: cfg.Log, Count: cfg.Count, Time: cfg.Time,
	})
	return c
}

// Store returns the store as reached by any way.
func (c *Conductor) Store() *keeper.Store { return c.relayer.Store() }

// Direct says whether the store is reached from this instance, and else since
// when it is not.
func (c *Conductor) Direct() (time.Time, bool) { return c.relayer.Direct() }

func (c *Conductor) touch() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// Serve runs the entry until ctx ends. Release must come first for a quick
// handover.
func (c *Conductor) Serve(ctx context.Context) error {
	listener, err := c.cfg.Listen("tcp", c.cfg.Peer.String())
	if err != nil {
		return fmt.Errorf("listening for peers: %w", err)
	}
	mux := http.NewServeMux()
	mux.Handle(messenger.Path, c.connector)
	mux.Handle(relayer.Path, c.relayer)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout, ErrorLog: zap.NewStdLog(c.cfg.Log)}
	var duties sync.WaitGroup
	duties.Go(func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			c.cfg.Log.Error("peers are not served any more", zap.Error(err))
		}
	})
	duties.Go(func() { c.elector.Serve(ctx) })
	duties.Go(func() { c.Acceptor.Serve(ctx) })
	duties.Go(func() { c.asker.Serve(ctx) })
	duties.Go(func() { c.ownLoop(ctx) })
	<-ctx.Done()
	c.connector.Close()
	_ = server.Close()
	duties.Wait()
	return nil
}

// Leave hands ownership over and drops the entry's live key.
func (c *Conductor) Leave(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handover)
	defer cancel()
	c.mu.Lock()
	c.leaving = true
	c.mu.Unlock()
	c.touch()
	for {
		c.mu.Lock()
		owning := c.overseer != nil
		c.mu.Unlock()
		if !owning || ctx.Err() != nil {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	c.elector.Leave(ctx)
}

// ownLoop serves ownership for as long as this process has it.
func (c *Conductor) ownLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.wake:
		}
		record, epoch := c.elector.Owner()
		c.asker.Aim(record.Owner)
		for c.elector.Mine() && ctx.Err() == nil {
			record, epoch = c.elector.Owner()
			c.own(ctx, record, epoch)
			c.mu.Lock()
			leaving := c.leaving
			c.mu.Unlock()
			if leaving {
				break
			}
		}
	}
}

// own schedules the pools until ownership is lost or given up.
func (c *Conductor) own(parent context.Context, record elector.Record, epoch uint64) {
	ctx, cancel := context.WithCancel(parent)
	defer cancel()
	foreign := proof
	if record.Clean {
		foreign = 0
	}
	o := overseer.New(overseer.Config{
		Term: record.Term, Epoch: epoch, OwnerKey: elector.OwnerKey, Store: c.relayer.Store(), Now: c.cfg.Now, Wall: c.cfg.Wall,
		Lease: Lease(c.cfg.Hold), Proof: proof, Foreign: foreign, Keep: c.cfg.Keep,
		Advise: c.cfg.Advise, Proven: c.elector.Proven, Prove: c.elector.Prove,
		Others: func() bool { return len(c.elector.Members()) > 0 },
		Log:    c.cfg.Log, Count: c.cfg.Count, Time: c.cfg.Time,
	})
	c.mu.Lock()
	if c.leaving {
		c.mu.Unlock()
		c.release(parent, epoch, "process ends")
		return
	}
	c.overseer = o
	c.mu.Unlock()
	ended := make(chan error, 1)
	go func() { ended <- o.Serve(ctx) }()
	why := ""
	for why == "" {
		select {
		case err := <-ended:
			ended <- err
			why = fmt.Sprint(err)
		case <-c.wake:
			c.mu.Lock()
			leaving := c.leaving
			c.mu.Unlock()
			now, at := c.elector.Owner()
			switch {
			case leaving:
				why = "process ends"
			case !c.elector.Mine() || at != epoch || now.Term != record.Term:
				why = "another owner"
			}
		}
	}
	cancel()
	<-ended
	c.mu.Lock()
	links := c.links
	c.links = map[*connector.Link]*overseer.Link{}
	c.mu.Unlock()
	for l := range links {
		l.Close("not the owner any more")
	}
	c.mu.Lock()
	c.overseer = nil
	c.mu.Unlock()
	c.release(parent, epoch, why)
}

// release gives ownership up, again until the store has it or ctx ends. An epoch
// is never owned twice: what it started is not known any more, and jobs newer
// than the epoch would count as never started.
func (c *Conductor) release(ctx context.Context, epoch uint64, why string) {
	for {
		bound, done := context.WithTimeout(context.WithoutCancel(ctx), handover)
		c.elector.Release(bound, why)
		done()
		if _, now := c.elector.Owner(); ctx.Err() != nil || !c.elector.Mine() || now != epoch {
			return
		}
		sleeper.Sleep(ctx, releasePause)
	}
}

func (c *Conductor) owner() *overseer.Overseer {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.overseer
}

// join takes a peer's connection; agents are turned away unless this process is
// the owner.
func (c *Conductor) join(l *connector.Link) {
	if l.Hello.Role != messenger.RoleAgent {
		return
	}
	c.mu.Lock()
	o := c.overseer
	link := &overseer.Link{ID: l.Hello.ID, Born: l.Hello.Born, Post: l.Post}
	if o != nil {
		c.links[l] = link
	}
	c.mu.Unlock()
	if o == nil {
		l.Close("not the owner")
		return
	}
	o.Join(link)
}

func (c *Conductor) link(l *connector.Link) (*overseer.Overseer, *overseer.Link) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.overseer, c.links[l]
}

func (c *Conductor) part(l *connector.Link) {
	o, link := c.link(l)
	c.mu.Lock()
	delete(c.links, l)
	c.mu.Unlock()
	if o != nil && link != nil {
		o.Part(link)
	}
}

func (c *Conductor) handle(l *connector.Link, f messenger.Frame) {
	switch f.Kind {
	case messenger.KindTable:
		if o, link := c.link(l); o != nil && link != nil {
			o.Heard(link, f)
		}
	case messenger.KindAsk:
		c.answer(l, f)
	}
}

// answer answers another entry's question; one without a subject asks whether
// this process is there.
func (c *Conductor) answer(l *connector.Link, f messenger.Frame) {
	o := c.owner()
	tell := messenger.Tell{}
	if o != nil && (f.Ask.Job != "" || f.Ask.Queue != "") {
		ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
		defer cancel()
		var err error
		if tell, err = o.Answer(ctx, *f.Ask); err != nil {
			c.cfg.Log.Debug("question not answered", zap.String("job", f.Ask.Job), zap.Error(err))
		}
	}
	if err := l.Post(messenger.Frame{Kind: messenger.KindTell, ID: f.ID, Tell: &tell}); err != nil {
		c.cfg.Log.Debug("answer not sent", zap.Error(err))
	}
}

// ask asks the owner, which may be this process.
func (c *Conductor) ask(ctx context.Context, ask messenger.Ask) (messenger.Tell, error) {
	if o := c.owner(); o != nil {
		return o.Answer(ctx, ask)
	}
	return c.asker.Ask(ctx, ask)
}
