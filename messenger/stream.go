package messenger

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
)

// Stream errors.
var (
	// ErrCancelled ends a stream that the peer has cancelled or this side has
	// cancelled or released.
	ErrCancelled = errors.New("cancelled by the peer")
	// ErrTruncated ends an incomplete body.
	ErrTruncated = errors.New("body cut short")
)

// Stream is one request and its response. Both bodies are subject to credit-based
// flow control: neither side buffers more than WindowBytes of unread data.
type Stream struct {
	conn *Conn
	id   uint64

	mu sync.Mutex
	// unread holds received body bytes that are not read yet, at most WindowBytes.
	unread bytes.Buffer
	// uncredited is the number of read bytes not yet credited to the peer.
	uncredited int
	// sendCredit is the number of bytes that this side may still send.
	sendCredit int
	// peerEnded and peerEnd are set by the peer's End frame. err is set when the
	// stream fails, is cancelled or is released.
	peerEnded bool
	err       error
	peerEnd   *End
	// cancel cancels the context of an accepted stream.
	cancel context.CancelFunc
	// head receives the single KindResponse or KindRefusal frame.
	head chan Frame
	// readable and writable wake a waiting reader or writer.
	readable, writable chan struct{}
	// failed is closed when err is set.
	failed chan struct{}
}

func newStream(c *Conn, id uint64) *Stream {
	return &Stream{
		conn: c, id: id, sendCredit: WindowBytes,
		head:     make(chan Frame, 1),
		readable: make(chan struct{}, 1),
		writable: make(chan struct{}, 1),
		failed:   make(chan struct{}),
	}
}

func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// handle processes a frame from the peer.
func (s *Stream) handle(f Frame) error {
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
		s.sendCredit += int(f.Credit)
		exceeded := s.sendCredit > WindowBytes
		s.mu.Unlock()
		if exceeded {
			return fmt.Errorf("%w: credit over the window on request %d", ErrFrame, s.id)
		}
		notify(s.writable)
	case KindData:
		return s.handleData(f.Data)
	case KindEnd:
		s.mu.Lock()
		s.peerEnded, s.peerEnd = true, f.End
		s.mu.Unlock()
		notify(s.readable)
	}
	return nil
}

func (s *Stream) handleData(chunk []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.peerEnded {
		return fmt.Errorf("%w: data after the end of request %d", ErrFrame, s.id)
	}
	if s.unread.Len()+s.uncredited+len(chunk) > WindowBytes {
		return fmt.Errorf("%w: data over the window on request %d", ErrFrame, s.id)
	}
	s.unread.Write(chunk)
	notify(s.readable)
	return nil
}

// fail ends the stream for its readers and writers. Only the first call has an
// effect.
func (s *Stream) fail(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err != nil {
		return
	}
	s.err = err
	close(s.failed)
	if s.cancel != nil {
		s.cancel()
	}
}

// Head waits for the response's head or the refusal.
func (s *Stream) Head(ctx context.Context) (Frame, error) {
	select {
	case f := <-s.head:
		return f, nil
	default:
	}
	select {
	case f := <-s.head:
		return f, nil
	case <-s.failed:
		return Frame{}, s.err
	case <-ctx.Done():
		return Frame{}, ctx.Err()
	}
}

// Read reads the peer's body. It returns io.EOF only after the peer has confirmed
// that the body is complete.
func (s *Stream) Read(p []byte) (int, error) {
	for {
		n, credit, err := s.readBuffered(p)
		if credit > 0 {
			_ = s.conn.Send(context.Background(), Frame{Kind: KindCredit, ID: s.id, Credit: uint32(credit)})
		}
		if n > 0 || err != nil || len(p) == 0 {
			return n, err
		}
		select {
		case <-s.readable:
		case <-s.failed:
		}
	}
}

// readBuffered reads buffered bytes without blocking, and returns the credit that
// the caller must send to the peer.
func (s *Stream) readBuffered(p []byte) (n, credit int, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unread.Len() > 0 {
		n, _ = s.unread.Read(p)
		s.uncredited += n
		if s.uncredited >= WindowBytes/4 && !s.peerEnded {
			credit, s.uncredited = s.uncredited, 0
		}
		return n, credit, nil
	}
	if s.peerEnded && s.peerEnd.Fault != "" {
		return 0, 0, fmt.Errorf("%w: %s", ErrTruncated, s.peerEnd.Fault)
	}
	if s.peerEnded {
		return 0, 0, io.EOF
	}
	return 0, 0, s.err
}

// Write sends body bytes and blocks while the peer has granted no credit.
func (s *Stream) Write(p []byte) (int, error) {
	sent := 0
	for sent < len(p) {
		n, err := s.reserveCredit(min(len(p)-sent, MaxChunkBytes))
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

// reserveCredit waits for credit and consumes up to limit bytes of it.
func (s *Stream) reserveCredit(limit int) (int, error) {
	for {
		s.mu.Lock()
		n, err := min(limit, s.sendCredit), s.err
		if err == nil {
			s.sendCredit -= n
		}
		s.mu.Unlock()
		if err != nil || n > 0 {
			return n, err
		}
		select {
		case <-s.writable:
		case <-s.failed:
		}
	}
}

// Send sends a frame on the stream, such as a head or an end.
func (s *Stream) Send(ctx context.Context, f Frame) error {
	f.ID = s.id
	return s.conn.Send(ctx, f)
}

// CloseWrite ends this side's body. A Fault in end tells the peer that the body is
// incomplete.
func (s *Stream) CloseWrite(end End) error {
	return s.Send(context.Background(), Frame{Kind: KindEnd, End: &end})
}

// PeerEnd returns the peer's End, or nil if it has not arrived.
func (s *Stream) PeerEnd() *End {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.peerEnd
}

// Cancel ends the stream and notifies the peer. Late frames are dropped.
func (s *Stream) Cancel() {
	s.conn.removeStream(s.id)
	s.fail(ErrCancelled)
	_ = s.conn.TrySend(Frame{Kind: KindCancel, ID: s.id})
}

// Release frees a stream whose response is complete. The peer is not notified.
func (s *Stream) Release() {
	s.conn.removeStream(s.id)
	s.fail(ErrCancelled)
}
