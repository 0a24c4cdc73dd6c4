package dispatcher

import (
	"errors"
	"io"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// noted is a reader that tells of each read before it begins.
type noted struct {
	io.Reader
	reads chan struct{}
}

func (r noted) Read(p []byte) (int, error) {
	r.reads <- struct{}{}
	return r.Reader.Read(p)
}

func TestBodyCanBeSentAgain(t *testing.T) {
	c := qt.New(t)
	read := func(r io.Reader) string {
		raw, err := io.ReadAll(r)
		c.Assert(err, qt.IsNil)
		return string(raw)
	}
	c.Run("from its beginning, while it is short", func(c *qt.C) {
		b := newBody(strings.NewReader("booking"), 100)
		first, ok := b.fresh()
		c.Assert(ok, qt.IsTrue)
		_, _ = first.Read(make([]byte, 3))
		second, ok := b.fresh()
		c.Assert(ok, qt.IsTrue)
		c.Assert(read(second), qt.Equals, "booking")
		_, err := first.Read(make([]byte, 1))
		c.Assert(err, qt.ErrorIs, io.ErrClosedPipe, qt.Commentf("the earlier try reads no more"))
	})
	c.Run("not once too much was read", func(c *qt.C) {
		b := newBody(strings.NewReader(strings.Repeat("x", 2*replay)), 10*replay)
		first, _ := b.fresh()
		c.Assert(len(read(first)), qt.Equals, 2*replay)
		_, ok := b.fresh()
		c.Assert(ok, qt.IsFalse)
	})
	c.Run("what an earlier try was reading is not lost", func(c *qt.C) {
		from, to := io.Pipe()
		reads := make(chan struct{}, 10)
		b := newBody(noted{from, reads}, 100)
		first, _ := b.fresh()
		ended := make(chan error)
		go func() {
			_, err := first.Read(make([]byte, 100))
			ended <- err
		}()
		<-reads // the first try holds the caller
		second, _ := b.fresh()
		go func() {
			_, _ = to.Write([]byte("booking"))
			_ = to.Close()
		}()
		c.Assert(read(second), qt.Equals, "booking")
		<-ended
	})
	c.Run("not over the bound", func(c *qt.C) {
		b := newBody(strings.NewReader("booking"), 3)
		first, _ := b.fresh()
		_, err := io.ReadAll(first)
		c.Assert(errors.Is(err, errTooLarge), qt.IsTrue)
	})
}
