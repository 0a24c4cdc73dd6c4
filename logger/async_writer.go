package logger

import (
	"io"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Bounds of a log.
const (
	// queueLines is how many lines wait for a slow output; beyond it they are
	// dropped and counted.
	queueLines = 4096
	// linesPerSecond bounds the volume: a busy owner writes 200 to 400 lines a
	// second, a burst of starts several times that.
	linesPerSecond = 3000
	// gatherBytes bounds the lines that share a write: a page or two.
	gatherBytes = 8 << 10
	// reportEvery is how often dropped lines are told.
	reportEvery = time.Second
)

// AsyncWriter hands lines to an output without ever waiting for it. Lines beyond
// its bounds are dropped, and a line says how many. It is safe for concurrent
// use.
type AsyncWriter struct {
	out   io.Writer
	lines chan []byte
	// dropped counts lines since the last report, all those ever.
	dropped, all atomic.Int64
	done         chan struct{}
	once         sync.Once
	ended        sync.WaitGroup

	mu sync.Mutex
	// second is the one that written counts lines of.
	second  time.Time
	written int
	now     func() time.Time
}

// NewAsyncWriter returns a Limiter in front of an output; Close ends it.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	l := &AsyncWriter{out: out, lines: make(chan []byte, queueLines), done: make(chan struct{}), now: time.Now}
	l.ended.Go(l.writeLoop)
	return l
}

// Write takes a line.
func (l *AsyncWriter) Write(line []byte) (int, error) {
	if !l.allowed() {
		l.drop()
		return len(line), nil
	}
	select {
	case l.lines <- append([]byte(nil), line...):
	default:
		l.drop()
	}
	return len(line), nil
}

func (l *AsyncWriter) drop() {
	l.dropped.Add(1)
	l.all.Add(1)
}

// allowed counts a line and says whether it is within the rate.
func (l *AsyncWriter) allowed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := l.now(); now.Sub(l.second) >= time.Second {
		l.second, l.written = now, 0
	}
	l.written++
	return l.written <= linesPerSecond
}

// Dropped returns how many lines were dropped so far.
func (l *AsyncWriter) Dropped() int64 { return l.all.Load() }

// writeLoop writes lines until the Limiter is closed and empty.
func (l *AsyncWriter) writeLoop() {
	report := time.NewTicker(reportEvery)
	defer report.Stop()
	for {
		select {
		case line := <-l.lines:
			l.put(l.gather(line))
		case <-report.C:
			l.report()
		case <-l.done:
			for {
				select {
				case line := <-l.lines:
					l.put(line)
				default:
					l.report()
					return
				}
			}
		}
	}
}

// gather adds the lines that wait to a line, so that they share a write.
func (l *AsyncWriter) gather(line []byte) []byte {
	for len(line) < gatherBytes {
		select {
		case more := <-l.lines:
			line = append(line, more...)
		default:
			return line
		}
	}
	return line
}

// put writes a line. There is nowhere to tell that the output fails.
func (l *AsyncWriter) put(line []byte) { _, _ = l.out.Write(line) }

func (l *AsyncWriter) report() {
	if n := l.dropped.Swap(0); n > 0 {
		l.put([]byte("ts=" + l.now().UTC().Format(time.RFC3339Nano) + " level=warn msg=\"log lines dropped\" lines=" + strconv.FormatInt(n, 10) + "\n"))
	}
}

// Close writes what waits and ends the Limiter.
func (l *AsyncWriter) Close() {
	l.once.Do(func() { close(l.done) })
	l.ended.Wait()
}
