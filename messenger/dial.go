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

// dialTimeout bounds connecting and the handshake together.
const dialTimeout = 5 * time.Second

// ErrHandshakeRefused is returned when the peer rejects this process's hello.
var ErrHandshakeRefused = errors.New("peer refused the handshake")

// PeerPath is the HTTP path at which entries accept peer connections.
const PeerPath = "/peer"

// ReadFrame reads one frame from a socket that no Conn uses yet.
func ReadFrame(ctx context.Context, ws *websocket.Conn) (Frame, error) {
	_, raw, err := ws.Read(ctx)
	if err != nil {
		return Frame{}, err
	}
	return Decode(raw)
}

// WriteFrame writes one frame to a socket that no Conn uses yet.
func WriteFrame(ctx context.Context, ws *websocket.Conn, f Frame) error {
	raw, err := Encode(f)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	return ws.Write(ctx, websocket.MessageBinary, raw)
}

var httpClient = &http.Client{Transport: &http.Transport{}}

// Dial connects to an entry and performs the handshake.
func Dial(ctx context.Context, addr netip.AddrPort, hello Hello) (*websocket.Conn, *Welcome, error) {
	return DialWith(ctx, httpClient, addr, hello)
}

// DialWith is Dial with the given HTTP client.
func DialWith(ctx context.Context, client *http.Client, addr netip.AddrPort, hello Hello) (*websocket.Conn, *Welcome, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	ws, _, err := websocket.Dial(ctx, "ws://"+addr.String()+PeerPath, &websocket.DialOptions{HTTPClient: client})
	if err != nil {
		return nil, nil, fmt.Errorf("dialling %s: %w", addr, err)
	}
	ws.SetReadLimit(MaxFrameBytes)
	welcome, err := handshake(ctx, ws, hello)
	if err != nil {
		_ = ws.CloseNow()
		return nil, nil, fmt.Errorf("handshake with %s: %w", addr, err)
	}
	return ws, welcome, nil
}

func handshake(ctx context.Context, ws *websocket.Conn, hello Hello) (*Welcome, error) {
	if err := WriteFrame(ctx, ws, Frame{Kind: KindHello, Hello: &hello}); err != nil {
		return nil, err
	}
	f, err := ReadFrame(ctx, ws)
	switch {
	case err != nil:
		return nil, err
	case f.Kind != KindWelcome:
		return nil, fmt.Errorf("%w: expected a welcome frame, got kind %d", ErrFrame, f.Kind)
	case f.Welcome.RefusalReason != "":
		return nil, fmt.Errorf("%w: %s", ErrHandshakeRefused, f.Welcome.RefusalReason)
	case f.Welcome.Version != Version:
		return nil, fmt.Errorf("%w: peer has version %d, this process has version %d", ErrVersion, f.Welcome.Version, Version)
	}
	return f.Welcome, nil
}
