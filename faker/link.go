package faker

import (
	"sync"
	"time"
)

// maxPacketBytes is how much of one write a link carries before its turn passes to
// another connection.
const maxPacketBytes = 16 << 10

// link carries the bytes of one process at a limited rate, one packet after another.
type link struct {
	bytesPerSecond float64

	mu sync.Mutex
	// freeAt is when the link has carried all that was sent so far; mu guards it.
	freeAt time.Time
}

// transmit waits until the link has carried size more bytes, or until the connection is
// closed, as a blocked write ends then.
func (l *link) transmit(size int, closed <-chan struct{}) {
	l.mu.Lock()
	now := time.Now()
	if l.freeAt.Before(now) {
		l.freeAt = now
	}
	l.freeAt = l.freeAt.Add(time.Duration(float64(size) / l.bytesPerSecond * float64(time.Second)))
	wait := l.freeAt.Sub(now)
	l.mu.Unlock()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-closed:
	}
}
