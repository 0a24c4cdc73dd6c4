package messenger

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestABodyDoesNotPrecedeItsCall queues calls, each with its body, while the writer waits for
// frames. The peer dropped a body that arrived first, and the request failed.
func TestABodyDoesNotPrecedeItsCall(t *testing.T) {
	const streams = 2_000_000
	c := qt.New(t)
	conn := &Conn{control: make(chan queuedFrame, controlQueueFrames), data: make(chan queuedFrame, dataQueueFrames), done: make(chan struct{})}
	go func() {
		for id := range uint64(streams) {
			conn.control <- queuedFrame{&Frame{Kind: KindCall, ID: id}, time.Time{}}
			conn.data <- queuedFrame{&Frame{Kind: KindData, ID: id}, time.Time{}}
		}
	}()
	early, opened := 0, uint64(0)
	for range 2 * streams {
		f, _ := conn.nextFrame(context.Background())
		if f.frame.Kind == KindCall {
			opened = f.frame.ID + 1
		} else if f.frame.ID >= opened {
			early++
		}
	}
	c.Assert(early, qt.Equals, 0)
}
