package limiter

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"
)

// stream is the body of a request as a handler reads it. It enforces the minimum transfer rate:
// the time spent waiting for the caller may not exceed a base plus what the bytes that have
// arrived may take. Time during which nobody reads does not count.
type stream struct {
	io.ReadCloser
	conn  *Conn
	group *Group

	// received and waited belong to the reader.
	received int
	waited   time.Duration

	mu sync.Mutex
	// limit is the latest deadline, if it is set; guarded by mu, like err.
	limit time.Time
	// err ends the body; io.EOF once it is complete.
	err error
}

// Read reads from the caller.
func (s *stream) Read(p []byte) (int, error) {
	if err := s.end(); err != nil {
		return 0, err
	}
	started := time.Now()
	if err := s.setDeadline(started.Add(s.group.cfg.BodyTimeout + transferTime(s.received, s.group.cfg.MinRate) - s.waited)); err != nil {
		return 0, err
	}
	n, err := s.ReadCloser.Read(p)
	s.received += n
	s.waited += time.Since(started)
	if err == nil {
		return n, nil
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		s.group.note("body_slow")
		err = ErrSlow
	}
	if err == io.EOF {
		_ = s.conn.SetReadDeadline(time.Time{})
		if !s.group.serve(s.conn) {
			err = net.ErrClosed // the caller gets no response
		}
	}
	s.mu.Lock()
	s.err = err
	s.mu.Unlock()
	return n, err
}

// end returns the error that ended the body, or nil.
func (s *stream) end() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.err
}

// setDeadline sets the deadline of the next read.
func (s *stream) setDeadline(at time.Time) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.limit.IsZero() && s.limit.Before(at) {
		at = s.limit
	}
	return s.conn.SetReadDeadline(at)
}

// SetReadDeadline ends reading at a time at the latest, also a read that waits now.
func (s *stream) SetReadDeadline(at time.Time) {
	s.mu.Lock()
	s.limit = at
	s.mu.Unlock()
	_ = s.conn.SetReadDeadline(at)
}
