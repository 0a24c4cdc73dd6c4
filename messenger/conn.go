package messenger

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
)

// Sizes of a connection's queues, in frames. A sender waits when one is full,
// until its context ends.
const (
	controlQueue = 256
	dataQueue    = 64
)

// writeTimeout bounds one write; a peer that reads nothing for so long is cut.
const writeTimeout = 10 * time.Second

// Config is what a connection needs.
type Config struct {
	// Socket carries the frames. Run owns its reads, the writer its writes.
	Socket *websocket.Conn
	// Handle takes frames that belong to no stream, in their order. It must
	// not wait for the peer.
	Handle func(*Conn, Frame)
	// Accept takes a stream that the peer opened, on a goroutine of its own.
	// It is nil where the peer may open none.
	Accept func(context.Context, *Stream, *Call)
}

// Conn is a connection to a peer, with many streams on it.
type Conn struct {
	cfg     Config
	control chan *Frame
	data    chan *Frame
	// done is closed once, when the connection has ended; err is set before.
	done chan struct{}
	once sync.Once
	err  error
	next atomic.Uint64

	mu sync.Mutex
	// streams holds the open streams by number; mu guards it.
	streams map[uint64]*Stream
	serving sync.WaitGroup
}

// New returns a connection over cfg.Socket. Nothing moves until Run.
func New(cfg Config) *Conn {
	cfg.Socket.SetReadLimit(MaxFrame + batch)
	return &Conn{
		cfg:     cfg,
		control: make(chan *Frame, controlQueue),
		data:    make(chan *Frame, dataQueue),
		done:    make(chan struct{}),
		streams: map[uint64]*Stream{},
	}
}

// Run reads and writes frames until the connection ends, and says why. Every
// stream has ended when it returns.
func (c *Conn) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var writing sync.WaitGroup
	writing.Go(func() { c.writeLoop(ctx) })
	err := c.readLoop(ctx)
	c.fail(err)
	cancel()
	writing.Wait()
	c.serving.Wait()
	return c.err
}

// Close ends the connection with a reason that the peer gets to read.
func (c *Conn) Close(reason string) {
	c.fail(fmt.Errorf("%w: %s", ErrClosed, reason))
	_ = c.cfg.Socket.Close(websocket.StatusNormalClosure, reason)
}

// Done is closed when the connection has ended.
func (c *Conn) Done() <-chan struct{} { return c.done }

// fail ends the connection and its streams with the first reason given.
func (c *Conn) fail(err error) {
	c.once.Do(func() {
		c.err = err
		close(c.done)
		c.mu.Lock()
		open := make([]*Stream, 0, len(c.streams))
		for _, s := range c.streams {
			open = append(open, s)
		}
		c.streams = map[uint64]*Stream{}
		c.mu.Unlock()
		for _, s := range open {
			s.fail(err)
		}
	})
}

// Send queues a frame. It waits while the queue is full: control frames and
// body data have a queue each, so that a long body holds up no heartbeat.
func (c *Conn) Send(ctx context.Context, f Frame) error {
	queue := c.control
	if f.Kind == KindData || f.Kind == KindEnd {
		queue = c.data
	}
	select {
	case <-c.done:
		return c.err
	default:
	}
	select {
	case queue <- &f:
		return nil
	case <-c.done:
		return c.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Post queues a frame without waiting, and ends the connection of a peer so
// slow that the control queue is full.
func (c *Conn) Post(f Frame) error {
	select {
	case <-c.done:
		return c.err
	default:
	}
	select {
	case c.control <- &f:
		return nil
	default:
		c.fail(fmt.Errorf("%w: peer reads too slowly", ErrClosed))
		_ = c.cfg.Socket.CloseNow()
		return c.err
	}
}

// Open starts a stream for a call.
func (c *Conn) Open(ctx context.Context, call *Call) (*Stream, error) {
	s := newStream(c, c.next.Add(1))
	c.mu.Lock()
	c.streams[s.id] = s
	c.mu.Unlock()
	if err := c.Send(ctx, Frame{Kind: KindCall, ID: s.id, Call: call}); err != nil {
		c.drop(s.id)
		return nil, err
	}
	return s, nil
}

// StreamCount returns how many streams are open.
func (c *Conn) StreamCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.streams)
}

func (c *Conn) drop(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.streams, id)
}

// batch bounds the bytes that are written together.
const batch = 64 << 10

// writeLoop is the only writer of the socket. What waits when it comes round
// goes out in one message.
func (c *Conn) writeLoop(ctx context.Context) {
	var raw []byte
	for {
		f, ok := c.pull(ctx)
		if !ok {
			return
		}
		var err error
		raw = raw[:0]
		for f != nil && err == nil {
			raw, err = Append(raw, f)
			f = nil
			if len(raw) < batch {
				f = c.poll()
			}
		}
		if err == nil {
			err = c.write(ctx, raw)
		}
		if err != nil {
			c.fail(fmt.Errorf("%w: %w", ErrClosed, err))
			_ = c.cfg.Socket.CloseNow()
			return
		}
	}
}

// poll takes the next frame that waits, control frames first, or nil.
func (c *Conn) poll() *Frame {
	select {
	case f := <-c.control:
		return f
	default:
	}
	select {
	case f := <-c.data:
		return f
	default:
		return nil
	}
}

// pull takes the next frame, control frames first.
func (c *Conn) pull(ctx context.Context) (*Frame, bool) {
	if f := c.poll(); f != nil {
		return f, true
	}
	select {
	case f := <-c.control:
		return f, true
	case f := <-c.data:
		return f, true
	case <-c.done:
		return nil, false
	case <-ctx.Done():
		return nil, false
	}
}

func (c *Conn) write(ctx context.Context, raw []byte) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	return c.cfg.Socket.Write(ctx, websocket.MessageBinary, raw)
}

// readLoop is the only reader of the socket.
func (c *Conn) readLoop(ctx context.Context) error {
	for {
		kind, raw, err := c.cfg.Socket.Read(ctx)
		if err != nil {
			return fmt.Errorf("%w: %w", ErrClosed, err)
		}
		if kind != websocket.MessageBinary {
			err = fmt.Errorf("%w: text message", ErrFrame)
		}
		for err == nil && len(raw) > 0 {
			var f Frame
			f, raw, err = DecodeFirst(raw)
			if err == nil {
				err = c.take(ctx, f)
			}
		}
		if err != nil {
			_ = c.cfg.Socket.Close(websocket.StatusProtocolError, reason(err))
			return err
		}
	}
}

// maxReason bounds the reason in a close frame, in bytes.
const maxReason = 120

func reason(err error) string {
	text := err.Error()
	return text[:min(len(text), maxReason)]
}

// take hands a frame to its stream or its handler.
func (c *Conn) take(ctx context.Context, f Frame) error {
	switch f.Kind {
	case KindCall:
		return c.accept(ctx, f)
	case KindResponse, KindRefusal, KindData, KindEnd, KindCredit, KindCancel:
		c.mu.Lock()
		s := c.streams[f.ID]
		c.mu.Unlock()
		if s == nil {
			return nil // a late frame of a stream that this side gave up on
		}
		return s.take(f)
	}
	c.cfg.Handle(c, f)
	return nil
}

func (c *Conn) accept(ctx context.Context, f Frame) error {
	if c.cfg.Accept == nil {
		return fmt.Errorf("%w: this side takes no calls", ErrFrame)
	}
	s := newStream(c, f.ID)
	c.mu.Lock()
	_, twice := c.streams[f.ID]
	full := len(c.streams) >= MaxStreams
	if !twice && !full {
		c.streams[f.ID] = s
	}
	c.mu.Unlock()
	if twice {
		return fmt.Errorf("%w: request number %d is already in use", ErrFrame, f.ID)
	}
	if full {
		return c.Post(Frame{Kind: KindRefusal, ID: f.ID, Refusal: &Refusal{Reason: "streams"}})
	}
	c.serving.Go(func() {
		ctx, cancel := context.WithCancel(ctx)
		defer cancel()
		s.mu.Lock()
		s.abort = cancel
		ended := s.err != nil
		s.mu.Unlock()
		if ended {
			cancel()
		}
		defer c.drop(s.id)
		c.cfg.Accept(ctx, s, f.Call)
	})
	return nil
}
