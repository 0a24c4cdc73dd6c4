package messenger

import (
	"context"
	"fmt"
	"time"

	"github.com/coder/websocket"

	"github.com/endivefall/endivefall/waiter"
)

// closeTimeout bounds the close handshake: a few round trips between regions.
const closeTimeout = 100 * time.Millisecond

// endReads cancels the reads of Run once the connection has ended and the peer has
// had time to answer the close frame. A silent peer would block them.
func (c *Conn) endReads(ctx context.Context, cancel context.CancelFunc) {
	select {
	case <-c.done:
		waiter.Sleep(ctx, closeTimeout)
		cancel()
	case <-ctx.Done():
	}
}

// Close ends the connection and sends the reason to the peer. It does not wait for
// the peer, which may be frozen or unreachable.
func (c *Conn) Close(reason string) {
	c.fail(fmt.Errorf("%w: %s", ErrClosed, reason))
	go c.closeSocket(websocket.StatusNormalClosure, reason)
}

// closeSocket performs the close handshake. It returns when the peer has answered or
// the socket is closed.
func (c *Conn) closeSocket(code websocket.StatusCode, reason string) {
	_ = c.cfg.Socket.Close(code, reason)
}

// maxCloseReasonBytes keeps the reason within the 123 bytes that a WebSocket
// close frame may carry.
const maxCloseReasonBytes = 120

func closeReason(err error) string {
	text := err.Error()
	return text[:min(len(text), maxCloseReasonBytes)]
}
