package messenger

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/coder/websocket"
	qt "github.com/frankban/quicktest"
)

// pair connects a raw socket, which it returns for the test, to a Conn with the
// given configuration. ended receives the error that ended the Conn.
func pair(t *testing.T, cfg Config) (peer *websocket.Conn, ended chan error) {
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
	peer, _, err := websocket.Dial(context.Background(), strings.Replace(server.URL, "http", "ws", 1), nil)
	c.Assert(err, qt.IsNil)
	peer.SetReadLimit(MaxFrameBytes)
	t.Cleanup(func() { _ = peer.CloseNow() })
	return peer, ended
}

// reader reads frames from a raw socket. A message may hold several frames.
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

// echo responds to a call with the request body.
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

// TestProtocolViolationClosesConnection checks that each protocol violation closes
// the connection with a protocol error.
func TestProtocolViolationClosesConnection(t *testing.T) {
	ctx := context.Background()
	call := Frame{Kind: KindCall, ID: 1, Call: &Call{Length: -1}}
	block := func(ctx context.Context, _ *Stream, _ *Call) { <-ctx.Done() }
	for _, tt := range []struct {
		name   string
		frames []Frame
		raw    []byte
		accept func(context.Context, *Stream, *Call)
	}{
		{name: "not a frame", raw: []byte("hello")},
		{name: "a call where none are accepted", frames: []Frame{call}},
		{name: "a duplicate request number", frames: []Frame{call, call}, accept: block},
		{name: "data over the window", accept: block, frames: func() []Frame {
			list := []Frame{call}
			for range WindowBytes/MaxChunkBytes + 1 {
				list = append(list, Frame{Kind: KindData, ID: 1, Data: make([]byte, MaxChunkBytes)})
			}
			return list
		}()},
		{name: "data after the end", accept: block, frames: []Frame{call, {Kind: KindEnd, ID: 1, End: &End{}}, {Kind: KindData, ID: 1, Data: []byte("x")}}},
		{name: "credit over the window", accept: block, frames: []Frame{call, {Kind: KindCredit, ID: 1, Credit: 1}}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			peer, ended := pair(t, Config{Accept: tt.accept})
			for _, f := range tt.frames {
				_ = WriteFrame(ctx, peer, f)
			}
			if tt.raw != nil {
				c.Assert(peer.Write(ctx, websocket.MessageBinary, tt.raw), qt.IsNil)
			}
			var err error
			for in := (&reader{ws: peer}); err == nil; {
				_, err = in.next()
			}
			c.Assert(websocket.CloseStatus(err), qt.Equals, websocket.StatusProtocolError, qt.Commentf("%v", err))
			c.Assert(<-ended, qt.ErrorIs, ErrFrame)
		})
	}
}

// TestLateFramesAreDropped checks that frames of a request that is not open, such as
// one that was cancelled, are ignored and do not reach another request.
func TestLateFramesAreDropped(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	peer, _ := pair(t, Config{Accept: echo})
	for _, f := range []Frame{
		{Kind: KindData, ID: 40, Data: []byte("late")},
		{Kind: KindEnd, ID: 40, End: &End{}},
		{Kind: KindCall, ID: 41, Call: &Call{Length: -1}},
		{Kind: KindData, ID: 41, Data: []byte("mine")},
		{Kind: KindEnd, ID: 41, End: &End{}},
	} {
		c.Assert(WriteFrame(ctx, peer, f), qt.IsNil)
	}
	var body []byte
	for in := (&reader{ws: peer}); ; {
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

// TestSlowReaderStopsItsWriter checks that a writer stops after WindowBytes when
// its peer grants no credit.
func TestSlowReaderStopsItsWriter(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	written := make(chan int, 1)
	peer, _ := pair(t, Config{Accept: func(_ context.Context, s *Stream, _ *Call) {
		n, _ := s.Write(make([]byte, 10*WindowBytes)) // ends when the stream is cancelled
		written <- n
	}})
	c.Assert(WriteFrame(ctx, peer, Frame{Kind: KindCall, ID: 1, Call: &Call{Length: -1}}), qt.IsNil)
	got := 0
	for in := (&reader{ws: peer}); got < WindowBytes; {
		f, err := in.next()
		c.Assert(err, qt.IsNil)
		got += len(f.Data)
	}
	c.Assert(WriteFrame(ctx, peer, Frame{Kind: KindCancel, ID: 1}), qt.IsNil)
	c.Assert(<-written, qt.Equals, WindowBytes, qt.Commentf("no credit was granted"))
}

// TestStreamBothWays checks that a long body is echoed completely between two
// Conns, and that a truncated body ends with an error.
func TestStreamBothWays(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	peer, _ := pair(t, Config{Accept: echo})
	conn := New(Config{Socket: peer, Handle: func(*Conn, Frame) {}})
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

// maxSilence is how long a process may wait for one that does not answer.
const maxSilence = 1200 * time.Millisecond

// The close handshake waits for the peer, which may be frozen.
func TestCloseDoesNotWaitForASilentPeer(t *testing.T) {
	c := qt.New(t)
	closed := make(chan error, 1)
	peer, ended := pair(t, Config{Handle: func(conn *Conn, _ Frame) {
		conn.Close("test")
		closed <- nil
	}})
	c.Assert(WriteFrame(context.Background(), peer, Frame{Kind: KindHeartbeat, Heartbeat: &Heartbeat{}}), qt.IsNil)
	timeout := time.After(maxSilence)
	for name, returned := range map[string]chan error{"Close": closed, "Run": ended} {
		select {
		case <-returned:
		case <-timeout:
			c.Fatalf("%s waits for the peer", name)
		}
	}
}

// A call that was read after the connection had ended got a stream that never failed:
// its handler waited for the body, and Run for the handler.
func TestCallReadAfterTheEndBlocksRun(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	peer, ended := pair(t, Config{
		Handle: func(conn *Conn, _ Frame) { conn.fail(ErrClosed) },
		Accept: func(_ context.Context, s *Stream, _ *Call) { _, _ = io.ReadAll(s) },
	})
	var batch []byte
	for _, f := range []Frame{
		{Kind: KindHeartbeat, Heartbeat: &Heartbeat{}},
		{Kind: KindCall, ID: 1, Call: &Call{Length: -1}},
	} {
		var err error
		batch, err = Append(batch, &f)
		c.Assert(err, qt.IsNil)
	}
	c.Assert(peer.Write(ctx, websocket.MessageBinary, batch), qt.IsNil)
	c.Assert(peer.CloseNow(), qt.IsNil)
	select {
	case err := <-ended:
		c.Assert(err, qt.ErrorIs, ErrClosed)
	case <-ctx.Done():
		c.Fatal("Run still waits for the handler of the call")
	}
}
