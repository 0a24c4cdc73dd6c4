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

// output takes lines, or holds them up.
type output struct {
	mu    sync.Mutex
	lines []string
	held  chan struct{}
}

func (o *output) Write(line []byte) (int, error) {
	if o.held != nil {
		<-o.held
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, one := range strings.SplitAfter(string(line), "\n") {
		if one != "" {
			o.lines = append(o.lines, one)
		}
	}
	return len(line), nil
}

func TestAWriterNeverWaitsForItsOutput(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		out := &output{held: make(chan struct{})}
		l := NewAsyncWriter(out)
		for range 2 {
			for range linesPerSecond {
				_, err := l.Write([]byte("line\n"))
				c.Assert(err, qt.IsNil)
			}
			advancer.Sleep(time.Second)
		}
		c.Assert(l.Dropped() > 0, qt.IsTrue)
		close(out.held)
		l.Close()
		c.Assert(strings.Contains(strings.Join(out.lines, ""), `msg="log lines dropped"`), qt.IsTrue)
	})
}

func TestTheVolumeIsBoundedAndWhatIsDroppedIsTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		out := &output{}
		l := NewAsyncWriter(out)
		for range linesPerSecond + 7 {
			if _, err := l.Write([]byte("line\n")); err != nil {
				c.Fatal(err)
			}
			synctest.Wait() // the output is fast
		}
		l.Close()
		c.Assert(out.lines, qt.HasLen, linesPerSecond+1)
		c.Assert(out.lines[linesPerSecond], qt.Contains, "lines=7")
	})
}
