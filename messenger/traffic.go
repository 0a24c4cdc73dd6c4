package messenger

import (
	"sync/atomic"
	"time"
)

// kindCount is above the number of every kind of frame that this version sends.
const kindCount = int(KindInDoubt) + 1

// Traffic counts the bytes of a process's frames by kind. It is safe for concurrent
// use; a nil Traffic counts nothing.
type Traffic struct {
	sent, received [kindCount]atomic.Int64
	// longestWait is the longest time, in nanoseconds, that a frame has waited in a
	// queue until it was written, since the last Take.
	longestWait atomic.Int64
}

// KindBytes is the number of bytes of the frames of one kind.
type KindBytes struct {
	Kind           Kind
	Sent, Received int64
}

// Take returns the bytes and the longest wait since the last call, and resets them.
// Kinds without frames are left out.
func (t *Traffic) Take() ([]KindBytes, time.Duration) {
	var list []KindBytes
	for k := range kindCount {
		b := KindBytes{Kind: Kind(k), Sent: t.sent[k].Swap(0), Received: t.received[k].Swap(0)}
		if b.Sent > 0 || b.Received > 0 {
			list = append(list, b)
		}
	}
	return list, time.Duration(t.longestWait.Swap(0))
}

func (t *Traffic) addSent(k Kind, n int) {
	if t != nil && int(k) < kindCount {
		t.sent[k].Add(int64(n))
	}
}

func (t *Traffic) addReceived(k Kind, n int) {
	if t != nil && int(k) < kindCount {
		t.received[k].Add(int64(n))
	}
}

// recordWait records that a frame has waited for d.
func (t *Traffic) recordWait(d time.Duration) {
	if t == nil {
		return
	}
	for old := t.longestWait.Load(); int64(d) > old && !t.longestWait.CompareAndSwap(old, int64(d)); {
		old = t.longestWait.Load()
	}
}

// String returns the name of the kind in logs and metrics.
func (k Kind) String() string {
	if name := kindNames[k]; name != "" {
		return name
	}
	return "other"
}

var kindNames = map[Kind]string{
	KindHeartbeat: "heartbeat", KindHeartbeatReply: "reply", KindCommand: "command", KindWorkerSnapshot: "snapshot",
	KindSnapshotAck: "ack", KindStateQuery: "query", KindStateReply: "state", KindInDoubt: "doubt",
}
