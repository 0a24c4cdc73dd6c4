package dispatcher

import (
	"errors"
	"io"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// notifyingReader sends on started before each read.
type notifyingReader struct {
	io.Reader
	started chan struct{}
}

func (r notifyingReader) Read(p []byte) (int, error) {
	r.started <- struct{}{}
	return r.Reader.Read(p)
}

func TestBodyReplay(t *testing.T) {
	c := qt.New(t)
	read := func(r io.Reader) string {
		raw, err := io.ReadAll(r)
		c.Assert(err, qt.IsNil)
		return string(raw)
	}
	c.Run("short body is sent again from its beginning", func(c *qt.C) {
		b := newBody(strings.NewReader("booking"), 100)
		first, ok := b.newReader()
		c.Assert(ok, qt.IsTrue)
		_, _ = first.Read(make([]byte, 3))
		second, ok := b.newReader()
		c.Assert(ok, qt.IsTrue)
		c.Assert(read(second), qt.Equals, "booking")
		_, err := first.Read(make([]byte, 1))
		c.Assert(err, qt.ErrorIs, io.ErrClosedPipe, qt.Commentf("the earlier attempt can no longer read"))
	})
	c.Run("long body is not sent again", func(c *qt.C) {
		b := newBody(strings.NewReader(strings.Repeat("x", 2*maxReplayBytes)), 10*maxReplayBytes)
		first, _ := b.newReader()
		c.Assert(len(read(first)), qt.Equals, 2*maxReplayBytes)
		_, ok := b.newReader()
		c.Assert(ok, qt.IsFalse)
	})
	c.Run("bytes that an earlier attempt was reading are kept", func(c *qt.C) {
		source, sink := io.Pipe()
		started := make(chan struct{}, 10)
		b := newBody(notifyingReader{source, started}, 100)
		first, _ := b.newReader()
		done := make(chan error)
		go func() {
			_, err := first.Read(make([]byte, 100))
			done <- err
		}()
		<-started // the first attempt is blocked reading from the caller
		second, _ := b.newReader()
		go func() {
			_, _ = sink.Write([]byte("booking"))
			_ = sink.Close()
		}()
		c.Assert(read(second), qt.Equals, "booking")
		<-done
	})
	c.Run("body over the limit fails", func(c *qt.C) {
		b := newBody(strings.NewReader("booking"), 3)
		first, _ := b.newReader()
		_, err := io.ReadAll(first)
		c.Assert(errors.Is(err, errTooLarge), qt.IsTrue)
	})
}
