package messenger

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
)

// Capacities of a connection's send queues. Send blocks while its queue is full,
// until its context ends.
const (
	controlQueueFrames = 256
	dataQueueFrames    = 64
)

// writeTimeout bounds one write. The connection ends if the peer reads nothing
// for that long.
const writeTimeout = 10 * time.Second

// Config configures a Conn.
type Config struct {
	// Socket carries the frames. Only Run reads from it, and only its writer
	// goroutine writes messages to it.
	Socket *websocket.Conn
	// Handle is called, in order of arrival, with each frame that belongs to no
	// stream. It must not wait for the peer.
	Handle func(*Conn, Frame)
	// Accept serves a stream that the peer opened, on its own goroutine. It is
	// nil if the peer may not open streams.
	Accept func(context.Context, *Stream, *Call)
	// Traffic counts the frames; nil if they are not counted.
	Traffic *Traffic
}

// Conn is a connection to a peer that multiplexes streams.
type Conn struct {
	cfg     Config
	control chan queuedFrame
	data    chan queuedFrame
	// held is a data frame that waits for control frames queued before it. Only the writer
	// goroutine uses it.
	held queuedFrame
	// done is closed when the connection ends; err is set before that.
	done         chan struct{}
	failOnce     sync.Once
	err          error
	lastStreamID atomic.Uint64

	mu sync.Mutex
	// streams holds the open streams by ID; guarded by mu.
	streams  map[uint64]*Stream
	handlers sync.WaitGroup
}

// queuedFrame is a frame that waits to be written.
type queuedFrame struct {
	frame    *Frame
	queuedAt time.Time
}

// New returns a connection over cfg.Socket. No frame is read or written before
// Run.
func New(cfg Config) *Conn {
	cfg.Socket.SetReadLimit(MaxFrameBytes + maxBatchBytes)
	return &Conn{
		cfg:     cfg,
		control: make(chan queuedFrame, controlQueueFrames),
		data:    make(chan queuedFrame, dataQueueFrames),
		done:    make(chan struct{}),
		streams: map[uint64]*Stream{},
	}
}

// Run reads and writes frames until the connection ends, and returns the reason.
// All streams have ended when it returns.
func (c *Conn) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var writer sync.WaitGroup
	writer.Go(func() { c.writeLoop(ctx) })
	writer.Go(func() { c.endReads(ctx, cancel) })
	err := c.readLoop(ctx)
	c.fail(err)
	cancel()
	writer.Wait()
	c.handlers.Wait()
	return c.err
}

// Done returns a channel that is closed when the connection ends.
func (c *Conn) Done() <-chan struct{} { return c.done }

func (c *Conn) ended() bool {
	select {
	case <-c.done:
		return true
	default:
		return false
	}
}

// fail ends the connection and its streams with err. Only the first call has an
// effect.
func (c *Conn) fail(err error) {
	c.failOnce.Do(func() {
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

// Send queues a frame and blocks while the queue is full. Control frames and
// body data have separate queues, so that a long body does not delay heartbeats.
func (c *Conn) Send(ctx context.Context, f Frame) error {
	queue := c.control
	if f.Kind == KindData || f.Kind == KindEnd {
		queue = c.data
	}
	if c.ended() {
		return c.err
	}
	select {
	case queue <- queuedFrame{&f, time.Now()}:
		return nil
	case <-c.done:
		return c.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// TrySend queues a control frame without blocking. If the control queue is full, the
// peer reads too slowly and the connection ends.
func (c *Conn) TrySend(f Frame) error {
	if c.ended() {
		return c.err
	}
	select {
	case c.control <- queuedFrame{&f, time.Now()}:
		return nil
	default:
		c.fail(fmt.Errorf("%w: peer reads too slowly", ErrClosed))
		_ = c.cfg.Socket.CloseNow()
		return c.err
	}
}

// Open starts a stream for a call.
func (c *Conn) Open(ctx context.Context, call *Call) (*Stream, error) {
	s := newStream(c, c.lastStreamID.Add(1))
	c.mu.Lock()
	c.streams[s.id] = s
	c.mu.Unlock()
	if err := c.Send(ctx, Frame{Kind: KindCall, ID: s.id, Call: call}); err != nil {
		c.removeStream(s.id)
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

func (c *Conn) removeStream(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.streams, id)
}

// maxBatchBytes limits how many queued frames share a message: no frame is added to
// a message that has reached this size.
const maxBatchBytes = 64 << 10

// writeLoop is the only goroutine that writes frames to the socket. It sends
// queued frames together in one message.
func (c *Conn) writeLoop(ctx context.Context) {
	var raw []byte
	for {
		f, ok := c.nextFrame(ctx)
		if !ok {
			return
		}
		var err error
		raw = raw[:0]
		firstQueuedAt := f.queuedAt
		for f.frame != nil && err == nil {
			kind, size := f.frame.Kind, len(raw)
			raw, err = Append(raw, f.frame)
			c.cfg.Traffic.addSent(kind, len(raw)-size)
			f = queuedFrame{}
			if len(raw) < maxBatchBytes {
				f = c.tryNextFrame()
			}
		}
		if err == nil {
			err = c.write(ctx, raw)
			c.cfg.Traffic.recordWait(time.Since(firstQueuedAt))
		}
		if err != nil {
			c.fail(fmt.Errorf("%w: %w", ErrClosed, err))
			_ = c.cfg.Socket.CloseNow()
			return
		}
	}
}

// tryNextFrame returns the next queued frame, control frames first, or none if
// both queues are empty.
func (c *Conn) tryNextFrame() queuedFrame {
	select {
	case f := <-c.control:
		return f
	default:
	}
	if f := c.held; f.frame != nil {
		c.held = queuedFrame{}
		return f
	}
	select {
	case f := <-c.data:
		return c.afterControl(f)
	default:
		return queuedFrame{}
	}
}

// nextFrame waits for the next frame, control frames first. It returns false when
// the connection or ctx ends.
func (c *Conn) nextFrame(ctx context.Context) (queuedFrame, bool) {
	if f := c.tryNextFrame(); f.frame != nil {
		return f, true
	}
	select {
	case f := <-c.control:
		return f, true
	case f := <-c.data:
		return c.afterControl(f), true
	case <-c.done:
		return queuedFrame{}, false
	case <-ctx.Done():
		return queuedFrame{}, false
	}
}

// afterControl returns a data frame, or a control frame that may have been queued before it
// and holds the data frame: the call that opens a stream must precede its body.
func (c *Conn) afterControl(data queuedFrame) queuedFrame {
	select {
	case f := <-c.control:
		c.held = data
		return f
	default:
		return data
	}
}

func (c *Conn) write(ctx context.Context, raw []byte) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	return c.cfg.Socket.Write(ctx, websocket.MessageBinary, raw)
}

// readLoop is the only goroutine that reads from the socket.
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
			size := len(raw)
			f, raw, err = DecodeFirst(raw)
			if err == nil {
				c.cfg.Traffic.addReceived(f.Kind, size-len(raw))
				err = c.dispatch(ctx, f)
			}
		}
		if err != nil {
			go c.closeSocket(websocket.StatusProtocolError, closeReason(err))
			return err
		}
	}
}

// dispatch passes a frame to its stream or to Config.Handle.
func (c *Conn) dispatch(ctx context.Context, f Frame) error {
	switch f.Kind {
	case KindCall:
		return c.accept(ctx, f)
	case KindResponse, KindRefusal, KindData, KindEnd, KindCredit, KindCancel:
		c.mu.Lock()
		s := c.streams[f.ID]
		c.mu.Unlock()
		if s == nil {
			return nil // late frame of a stream that this side has cancelled or released
		}
		return s.handle(f)
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
	// fail closes done before it takes the open streams, with mu held: a stream added
	// later would never fail.
	ended := c.ended()
	_, duplicate := c.streams[f.ID]
	full := len(c.streams) >= MaxStreams
	if !ended && !duplicate && !full {
		c.streams[f.ID] = s
	}
	c.mu.Unlock()
	if ended {
		return nil
	}
	if duplicate {
		return fmt.Errorf("%w: request number %d is already in use", ErrFrame, f.ID)
	}
	if full {
		return c.TrySend(Frame{Kind: KindRefusal, ID: f.ID, Refusal: &Refusal{Reason: "streams"}})
	}
	c.handlers.Go(func() {
		ctx, cancel := context.WithCancel(ctx)
		defer cancel()
		// The stream may have failed before this goroutine ran.
		s.mu.Lock()
		s.cancel = cancel
		failed := s.err != nil
		s.mu.Unlock()
		if failed {
			cancel()
		}
		defer c.removeStream(s.id)
		c.cfg.Accept(ctx, s, f.Call)
	})
	return nil
}
