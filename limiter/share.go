package limiter

import "time"

// Share is what a listener may use of its process.
type Share struct {
	// Descriptors and ConnMemory are the shares of descriptors and of memory that the connections
	// may take; each connection counts with ConnBytes of memory.
	Descriptors, ConnMemory float64
	ConnBytes               int64
	// Bodies and Decoding are the shares of memory for large bodies that arrive, and for those
	// that are being handled.
	Bodies, Decoding float64
	// MaxBody returns the size of the largest body of the listener; nil if handlers have limits
	// of their own.
	MaxBody func() int64
	// BodyTimeout and MinRate bound the time of a body; see GroupConfig.
	BodyTimeout time.Duration
	MinRate     int
}

// Rates and times of bodies.
const (
	// bodyTimeout is how long a body may be late. Callers of a job wait for 3 s.
	bodyTimeout = 4 * time.Second
	// minRate lets the largest submission of 256 KiB take 4 s more; the thinnest link needs 0.2 s.
	minRate = 64 << 10
	// streamTimeout and minStreamRate are for bodies that are passed on while they arrive.
	streamTimeout = 30 * time.Second
	minStreamRate = 16 << 10
)

// Memory that a connection counts with, in bytes.
const (
	// connBytes is for goroutines, buffers, a header and a small body.
	connBytes = 64 << 10
	// peerConnBytes is for connections that are mostly idle, of which there are up to 17 per peer.
	peerConnBytes = 40 << 10
	// streamConnBytes includes what is buffered for a retry.
	streamConnBytes = 192 << 10
)

// maxPlainBody bounds the body of a request to which a body means nothing, in bytes.
const maxPlainBody = 64 << 10

// Submissions returns the share of callers that submit jobs. 64 connections that each send the
// largest submission fit into an instance of 184 MB, which keeps half of its memory for jobs.
func Submissions() Share {
	return Share{Descriptors: 0.5, ConnMemory: 0.3, ConnBytes: connBytes, Bodies: 0.16, Decoding: 0.1, BodyTimeout: bodyTimeout, MinRate: minRate}
}

// Streams returns the share of callers whose bodies are passed on while they arrive.
func Streams() Share {
	return Share{Descriptors: 0.5, ConnMemory: 0.4, ConnBytes: streamConnBytes, Bodies: 0.08, Decoding: 0.08, BodyTimeout: streamTimeout, MinRate: minStreamRate}
}

// Peers returns the share of agents and other entries. It has room for three relayed writes of 1 MB
// at once: an owner that does not reach the store sends those of its ledger.
func Peers() Share {
	return Share{Descriptors: 0.25, ConnMemory: 0.25, ConnBytes: peerConnBytes, Bodies: 0.1, Decoding: 0.12, BodyTimeout: bodyTimeout, MinRate: minRate}
}

// Heartbeats returns the share of the worker of an agent.
func Heartbeats() Share {
	return Share{Descriptors: 0.25, ConnMemory: 0.2, ConnBytes: peerConnBytes, Bodies: 0.16, Decoding: 0.16, BodyTimeout: bodyTimeout, MinRate: minRate}
}

// Checks returns the share of a listener for readiness or metrics.
func Checks() Share {
	return Share{
		Descriptors: 0.04, ConnMemory: 0.04, ConnBytes: connBytes, Bodies: 0.01, Decoding: 0.01,
		MaxBody: func() int64 { return maxPlainBody }, BodyTimeout: bodyTimeout, MinRate: minRate,
	}
}

// Health returns the share of a process whose only listener is for health and metrics.
func Health() Share {
	s := Checks()
	s.Descriptors, s.ConnMemory = 0.25, 0.2
	return s
}

// LargestBody returns the size of the largest body for which a process of some memory has room, while
// it arrives and while it is handled.
func (s Share) LargestBody(memory int64) int64 {
	return int64(min(s.Bodies, s.Decoding/decodeFactor) * float64(memory))
}
