package logger

import (
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivefall/endivefall/advancer"
)

// output records lines. If unblock is set, writes block until it is closed.
type output struct {
	mu      sync.Mutex
	lines   []string
	unblock chan struct{}
}

func (o *output) Write(line []byte) (int, error) {
	if o.unblock != nil {
		<-o.unblock
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, l := range strings.SplitAfter(string(line), "\n") {
		if l != "" {
			o.lines = append(o.lines, l)
		}
	}
	return len(line), nil
}

func TestWriteNeverBlocksOnItsOutput(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		out := &output{unblock: make(chan struct{})}
		w := NewAsyncWriter(out)
		for range 2 {
			for range linesPerSecond {
				_, err := w.Write([]byte("line\n"))
				c.Assert(err, qt.IsNil)
			}
			advancer.Sleep(time.Second)
		}
		c.Assert(w.Dropped() > 0, qt.IsTrue)
		close(out.unblock)
		w.Close()
		c.Assert(strings.Contains(strings.Join(out.lines, ""), `msg="log lines dropped"`), qt.IsTrue)
	})
}

func TestRateLimitReportsDroppedLines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		out := &output{}
		w := NewAsyncWriter(out)
		for range linesPerSecond + 7 {
			if _, err := w.Write([]byte("line\n")); err != nil {
				c.Fatal(err)
			}
			synctest.Wait() // the line is written, so that the queue never fills
		}
		w.Close()
		c.Assert(out.lines, qt.HasLen, linesPerSecond+1)
		c.Assert(out.lines[linesPerSecond], qt.Contains, "lines=7")
	})
}
