package messenger

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"github.com/coder/websocket"
)

// dialTimeout bounds opening a connection.
const dialTimeout = 5 * time.Second

// ErrHandshakeRefused says that the peer refused this process.
var ErrHandshakeRefused = errors.New("peer turned this process away")

// PeerPath is where entries accept connections of peers.
const PeerPath = "/peer"

// ReadFrame reads one frame, before a Conn takes the socket over.
func ReadFrame(ctx context.Context, ws *websocket.Conn) (Frame, error) {
	_, raw, err := ws.Read(ctx)
	if err != nil {
		return Frame{}, err
	}
	return Decode(raw)
}

// WriteFrame writes one frame, before a Conn takes the socket over.
func WriteFrame(ctx context.Context, ws *websocket.Conn, f Frame) error {
	raw, err := Encode(f)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	return ws.Write(ctx, websocket.MessageBinary, raw)
}

var dialer = &http.Client{Transport: &http.Transport{}}

// Dial connects to an entry and exchanges the hello.
func Dial(ctx context.Context, addr netip.AddrPort, hello Hello) (*websocket.Conn, *Welcome, error) {
	return DialWith(ctx, dialer, addr, hello)
}

// DialWith is Dial over the network of an HTTP caller.
func DialWith(ctx context.Context, caller *http.Client, addr netip.AddrPort, hello Hello) (*websocket.Conn, *Welcome, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	ws, _, err := websocket.Dial(ctx, "ws://"+addr.String()+PeerPath, &websocket.DialOptions{HTTPClient: caller})
	if err != nil {
		return nil, nil, fmt.Errorf("dialling %s: %w", addr, err)
	}
	ws.SetReadLimit(MaxFrame)
	w, err := greet(ctx, ws, hello)
	if err != nil {
		_ = ws.CloseNow()
		return nil, nil, fmt.Errorf("greeting %s: %w", addr, err)
	}
	return ws, w, nil
}

func greet(ctx context.Context, ws *websocket.Conn, hello Hello) (*Welcome, error) {
	if err := WriteFrame(ctx, ws, Frame{Kind: KindHello, Hello: &hello}); err != nil {
		return nil, err
	}
	f, err := ReadFrame(ctx, ws)
	switch {
	case err != nil:
		return nil, err
	case f.Kind != KindWelcome:
		return nil, fmt.Errorf("%w: want a welcome, got kind %d", ErrFrame, f.Kind)
	case f.Welcome.RefusalReason != "":
		return nil, fmt.Errorf("%w: %s", ErrHandshakeRefused, f.Welcome.RefusalReason)
	case f.Welcome.Version != Version:
		return nil, fmt.Errorf("%w: %d, this process speaks %d", ErrVersion, f.Welcome.Version, Version)
	}
	return f.Welcome, nil
}
