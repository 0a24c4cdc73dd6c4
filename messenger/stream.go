package messenger

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
)

// Errors of a stream.
var (
	// ErrCancelled ends a stream that the peer gave up on.
	ErrCancelled = errors.New("cancelled by the peer")
	// ErrTruncated ends a body that is not whole.
	ErrTruncated = errors.New("body cut short")
)

// Stream is one request and its answer. Both bodies flow under credit: a side
// never holds more than Window unread bytes of the other.
type Stream struct {
	conn *Conn
	id   uint64

	mu sync.Mutex
	// in holds body bytes that arrived and are not read yet; at most Window.
	in bytes.Buffer
	// owed counts read bytes that the peer has not been credited for.
	owed int
	// credit counts the bytes that this side may still send.
	credit int
	// ended is set by the peer's End frame, err by a failure.
	ended bool
	err   error
	last  *End
	// abort cancels the work of an accepted stream.
	abort context.CancelFunc
	// head gets the one Answer or Refuse frame.
	head chan Frame
	// readable and writable get a token when a waiter should look again.
	readable, writable chan struct{}
	// gone is closed when the stream has failed.
	gone chan struct{}
}

func newStream(c *Conn, id uint64) *Stream {
	return &Stream{
		conn: c, id: id, credit: Window,
		head:     make(chan Frame, 1),
		readable: make(chan struct{}, 1),
		writable: make(chan struct{}, 1),
		gone:     make(chan struct{}),
	}
}

func nudge(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// take handles a frame from the peer.
func (s *Stream) take(f Frame) error {
	switch f.Kind {
	case KindResponse, KindRefusal:
		select {
		case s.head <- f:
		default:
			return fmt.Errorf("%w: second head on request %d", ErrFrame, s.id)
		}
	case KindCancel:
		s.fail(ErrCancelled)
	case KindCredit:
		s.mu.Lock()
		s.credit += int(f.Credit)
		over := s.credit > Window
		s.mu.Unlock()
		if over {
			return fmt.Errorf("%w: credit over the window on request %d", ErrFrame, s.id)
		}
		nudge(s.writable)
	case KindData:
		return s.takeData(f.Data)
	case KindEnd:
		s.mu.Lock()
		s.ended, s.last = true, f.End
		s.mu.Unlock()
		nudge(s.readable)
	}
	return nil
}

func (s *Stream) takeData(chunk []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		return fmt.Errorf("%w: data after the end of request %d", ErrFrame, s.id)
	}
	if s.in.Len()+s.owed+len(chunk) > Window {
		return fmt.Errorf("%w: data over the window on request %d", ErrFrame, s.id)
	}
	s.in.Write(chunk)
	nudge(s.readable)
	return nil
}

// fail ends the stream for its readers and writers.
func (s *Stream) fail(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err != nil {
		return
	}
	s.err = err
	close(s.gone)
	if s.abort != nil {
		s.abort()
	}
}

// Head waits for the answer's head or the refusal.
func (s *Stream) Head(ctx context.Context) (Frame, error) {
	select {
	case f := <-s.head:
		return f, nil
	default:
	}
	select {
	case f := <-s.head:
		return f, nil
	case <-s.gone:
		return Frame{}, s.err
	case <-ctx.Done():
		return Frame{}, ctx.Err()
	}
}

// Read reads the peer's body. It ends with io.EOF only after the peer said
// that the body is whole.
func (s *Stream) Read(p []byte) (int, error) {
	for {
		n, credit, err := s.read(p)
		if credit > 0 {
			_ = s.conn.Send(context.Background(), Frame{Kind: KindCredit, ID: s.id, Credit: uint32(credit)})
		}
		if n > 0 || err != nil || len(p) == 0 {
			return n, err
		}
		select {
		case <-s.readable:
		case <-s.gone:
		}
	}
}

// read takes what is there; credit is to be told to the peer.
func (s *Stream) read(p []byte) (n, credit int, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.in.Len() > 0 {
		n, _ = s.in.Read(p)
		s.owed += n
		if s.owed >= Window/4 && !s.ended {
			credit, s.owed = s.owed, 0
		}
		return n, credit, nil
	}
	if s.ended && s.last.Fault != "" {
		return 0, 0, fmt.Errorf("%w: %s", ErrTruncated, s.last.Fault)
	}
	if s.ended {
		return 0, 0, io.EOF
	}
	return 0, 0, s.err
}

// Write sends body bytes, waiting for the peer's credit.
func (s *Stream) Write(p []byte) (int, error) {
	sent := 0
	for sent < len(p) {
		n, err := s.reserve(min(len(p)-sent, MaxChunk))
		if err != nil {
			return sent, err
		}
		chunk := bytes.Clone(p[sent : sent+n])
		if err := s.conn.Send(context.Background(), Frame{Kind: KindData, ID: s.id, Data: chunk}); err != nil {
			return sent, err
		}
		sent += n
	}
	return sent, nil
}

func (s *Stream) reserve(want int) (int, error) {
	for {
		s.mu.Lock()
		n, err := min(want, s.credit), s.err
		if err == nil {
			s.credit -= n
		}
		s.mu.Unlock()
		if err != nil || n > 0 {
			return n, err
		}
		select {
		case <-s.writable:
		case <-s.gone:
		}
	}
}

// Send sends a head or an end on the stream.
func (s *Stream) Send(ctx context.Context, f Frame) error {
	f.ID = s.id
	return s.conn.Send(ctx, f)
}

// CloseWrite says that this side's body is whole, or cut short by a fault.
func (s *Stream) CloseWrite(end End) error {
	return s.Send(context.Background(), Frame{Kind: KindEnd, End: &end})
}

// PeerEnd returns the peer's End, or nil before it came.
func (s *Stream) PeerEnd() *End {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.last
}

// Cancel gives the stream up and tells the peer. Late frames are dropped.
func (s *Stream) Cancel() {
	s.conn.drop(s.id)
	s.fail(ErrCancelled)
	_ = s.conn.Post(Frame{Kind: KindCancel, ID: s.id})
}

// Release frees a stream whose answer is whole.
func (s *Stream) Release() {
	s.conn.drop(s.id)
	s.fail(ErrCancelled)
}
