package messenger

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/coder/websocket"
	qt "github.com/frankban/quicktest"
)

// pair joins two sockets: near is a raw one for the test, far is served by a
// Conn of the given configuration. It returns how the Conn ended.
func pair(t *testing.T, cfg Config) (near *websocket.Conn, ended chan error) {
	c := qt.New(t)
	ended = make(chan error, 1)
	if cfg.Handle == nil {
		cfg.Handle = func(*Conn, Frame) {}
	}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ws, err := websocket.Accept(w, r, nil)
		if err != nil {
			return
		}
		cfg.Socket = ws
		ended <- New(cfg).Run(context.Background())
	}))
	t.Cleanup(server.Close)
	near, _, err := websocket.Dial(context.Background(), strings.Replace(server.URL, "http", "ws", 1), nil)
	c.Assert(err, qt.IsNil)
	near.SetReadLimit(MaxFrame)
	t.Cleanup(func() { _ = near.CloseNow() })
	return near, ended
}

// reader reads frames from a raw socket, of which a message may hold several.
type reader struct {
	ws   *websocket.Conn
	rest []byte
}

func (r *reader) next() (Frame, error) {
	if len(r.rest) == 0 {
		_, raw, err := r.ws.Read(context.Background())
		if err != nil {
			return Frame{}, err
		}
		r.rest = raw
	}
	f, rest, err := DecodeFirst(r.rest)
	r.rest = rest
	return f, err
}

// echo answers a call with its body.
func echo(_ context.Context, s *Stream, _ *Call) {
	_ = s.Send(context.Background(), Frame{Kind: KindResponse, Response: &Response{Status: 200, Length: -1}})
	_, err := io.Copy(onlyWriter{s}, s)
	end := End{}
	if err != nil {
		end.Fault = err.Error()
	}
	_ = s.CloseWrite(end)
}

type onlyWriter struct{ io.Writer }

// TestBadFramesCloseTheConnectionOnly: each fault of a peer ends its connection
// with a reason.
func TestBadFramesCloseTheConnectionOnly(t *testing.T) {
	ctx := context.Background()
	call := Frame{Kind: KindCall, ID: 1, Call: &Call{Length: -1}}
	hold := func(ctx context.Context, _ *Stream, _ *Call) { <-ctx.Done() }
	for _, one := range []struct {
		name   string
		frames []Frame
		raw    []byte
		accept func(context.Context, *Stream, *Call)
	}{
		{name: "not a frame", raw: []byte("hello")},
		{name: "a call where none are taken", frames: []Frame{call}},
		{name: "a request number twice", frames: []Frame{call, call}, accept: hold},
		{name: "data over the window", accept: hold, frames: func() []Frame {
			list := []Frame{call}
			for range Window/MaxChunk + 1 {
				list = append(list, Frame{Kind: KindData, ID: 1, Data: make([]byte, MaxChunk)})
			}
			return list
		}()},
		{name: "data after the end", accept: hold, frames: []Frame{call, {Kind: KindEnd, ID: 1, End: &End{}}, {Kind: KindData, ID: 1, Data: []byte("x")}}},
		{name: "credit over the window", accept: hold, frames: []Frame{call, {Kind: KindCredit, ID: 1, Credit: 1}}},
	} {
		t.Run(one.name, func(t *testing.T) {
			c := qt.New(t)
			near, ended := pair(t, Config{Accept: one.accept})
			for _, f := range one.frames {
				_ = WriteFrame(ctx, near, f)
			}
			if one.raw != nil {
				c.Assert(near.Write(ctx, websocket.MessageBinary, one.raw), qt.IsNil)
			}
			var err error
			for in := (&reader{ws: near}); err == nil; {
				_, err = in.next()
			}
			c.Assert(websocket.CloseStatus(err), qt.Equals, websocket.StatusProtocolError, qt.Commentf("%v", err))
			c.Assert(<-ended, qt.ErrorIs, ErrFrame)
		})
	}
}

// TestLateFramesAreDropped: frames of a request that this side gave up on do no
// harm, and never reach another request.
func TestLateFramesAreDropped(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	near, _ := pair(t, Config{Accept: echo})
	for _, f := range []Frame{
		{Kind: KindData, ID: 40, Data: []byte("late")},
		{Kind: KindEnd, ID: 40, End: &End{}},
		{Kind: KindCall, ID: 41, Call: &Call{Length: -1}},
		{Kind: KindData, ID: 41, Data: []byte("mine")},
		{Kind: KindEnd, ID: 41, End: &End{}},
	} {
		c.Assert(WriteFrame(ctx, near, f), qt.IsNil)
	}
	var body []byte
	for in := (&reader{ws: near}); ; {
		f, err := in.next()
		c.Assert(err, qt.IsNil)
		c.Assert(f.ID, qt.Equals, uint64(41))
		body = append(body, f.Data...)
		if f.Kind == KindEnd {
			break
		}
	}
	c.Assert(string(body), qt.Equals, "mine")
}

// TestSlowReaderStopsItsWriter: a side that reads nothing holds no more than
// the window of the other's bytes.
func TestSlowReaderStopsItsWriter(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	wrote := make(chan int, 1)
	near, _ := pair(t, Config{Accept: func(_ context.Context, s *Stream, _ *Call) {
		n, _ := s.Write(make([]byte, 10*Window)) // ends when the stream is cancelled
		wrote <- n
	}})
	c.Assert(WriteFrame(ctx, near, Frame{Kind: KindCall, ID: 1, Call: &Call{Length: -1}}), qt.IsNil)
	got := 0
	for in := (&reader{ws: near}); got < Window; {
		f, err := in.next()
		c.Assert(err, qt.IsNil)
		got += len(f.Data)
	}
	c.Assert(WriteFrame(ctx, near, Frame{Kind: KindCancel, ID: 1}), qt.IsNil)
	c.Assert(<-wrote, qt.Equals, Window, qt.Commentf("no credit was given"))
}

// TestStreamBothWays: a long body comes back whole over a link of two Conns, and
// one that is cut short never looks whole.
func TestStreamBothWays(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	near, _ := pair(t, Config{Accept: echo})
	conn := New(Config{Socket: near, Handle: func(*Conn, Frame) {}})
	ended := make(chan error, 1)
	go func() { ended <- conn.Run(ctx) }()
	for _, fault := range []string{"", "caller went away"} {
		s, err := conn.Open(ctx, &Call{Length: -1})
		c.Assert(err, qt.IsNil)
		body := bytes.Repeat([]byte("0123456789"), 300_000)
		go func() {
			_, _ = s.Write(body)
			_ = s.CloseWrite(End{Fault: fault})
		}()
		head, err := s.Head(ctx)
		c.Assert(err, qt.IsNil)
		c.Assert(head.Response.Status, qt.Equals, 200)
		got, err := io.ReadAll(s)
		if fault != "" {
			c.Assert(err, qt.ErrorIs, ErrTruncated)
			continue
		}
		c.Assert(err, qt.IsNil)
		c.Assert(bytes.Equal(got, body), qt.IsTrue)
		s.Release()
	}
	cancel()
	c.Assert(<-ended, qt.ErrorIs, ErrClosed)
}
