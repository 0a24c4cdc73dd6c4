package logger

import (
	"io"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Limits of an AsyncWriter.
const (
	// queueCapacity is how many lines may wait for a slow output. Further lines are
	// dropped and counted.
	queueCapacity = 4096
	// linesPerSecond limits the rate. A busy owner writes 200 to 400 lines a second,
	// and several times that during a burst of starts.
	linesPerSecond = 3000
	// maxWriteBytes limits a combined write to about two pages: no line is added to
	// a write that is this long.
	maxWriteBytes = 8 << 10
	// dropReportInterval is how often dropped lines are reported.
	dropReportInterval = time.Second
)

// AsyncWriter writes lines to an output without blocking the caller. Lines beyond
// its limits are dropped, and a log line reports how many. It is safe for
// concurrent use.
type AsyncWriter struct {
	out   io.Writer
	lines chan []byte
	// unreportedDrops counts the lines dropped since the last report, totalDropped
	// all dropped lines.
	unreportedDrops, totalDropped atomic.Int64
	done                          chan struct{}
	closeOnce                     sync.Once
	writer                        sync.WaitGroup

	mu sync.Mutex
	// windowStart is the start of the second in which windowLines are counted. Both
	// are guarded by mu.
	windowStart time.Time
	windowLines int
	now         func() time.Time
}

// NewAsyncWriter returns an AsyncWriter for an output. Close stops it.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	w := &AsyncWriter{out: out, lines: make(chan []byte, queueCapacity), done: make(chan struct{}), now: time.Now}
	w.writer.Go(w.writeLoop)
	return w
}

// Write queues or drops a line. It never fails.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	if !w.withinRate() {
		w.drop()
		return len(line), nil
	}
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.drop()
	}
	return len(line), nil
}

func (w *AsyncWriter) drop() {
	w.unreportedDrops.Add(1)
	w.totalDropped.Add(1)
}

// withinRate counts a line and reports whether it is within linesPerSecond.
func (w *AsyncWriter) withinRate() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if now := w.now(); now.Sub(w.windowStart) >= time.Second {
		w.windowStart, w.windowLines = now, 0
	}
	w.windowLines++
	return w.windowLines <= linesPerSecond
}

// Dropped returns the number of lines dropped so far.
func (w *AsyncWriter) Dropped() int64 { return w.totalDropped.Load() }

// writeLoop writes lines until the AsyncWriter is closed and its queue is empty.
func (w *AsyncWriter) writeLoop() {
	ticker := time.NewTicker(dropReportInterval)
	defer ticker.Stop()
	for {
		select {
		case line := <-w.lines:
			w.output(w.coalesce(line))
		case <-ticker.C:
			w.reportDropped()
		case <-w.done:
			for {
				select {
				case line := <-w.lines:
					w.output(line)
				default:
					w.reportDropped()
					return
				}
			}
		}
	}
}

// coalesce appends queued lines to a line, so that they share a write.
func (w *AsyncWriter) coalesce(line []byte) []byte {
	for len(line) < maxWriteBytes {
		select {
		case next := <-w.lines:
			line = append(line, next...)
		default:
			return line
		}
	}
	return line
}

// output writes lines. Errors are ignored, since there is nowhere to report them.
func (w *AsyncWriter) output(line []byte) { _, _ = w.out.Write(line) }

func (w *AsyncWriter) reportDropped() {
	if n := w.unreportedDrops.Swap(0); n > 0 {
		w.output([]byte("ts=" + w.now().UTC().Format(time.RFC3339Nano) + " level=warn msg=\"log lines dropped\" lines=" + strconv.FormatInt(n, 10) + "\n"))
	}
}

// Close writes the queued lines and stops the AsyncWriter.
func (w *AsyncWriter) Close() {
	w.closeOnce.Do(func() { close(w.done) })
	w.writer.Wait()
}
