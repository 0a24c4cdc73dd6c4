package acceptor

import (
	"strings"
	"time"
)

// Queue receives the jobs of one path prefix at one host.
type Queue struct {
	Name             string
	Host             string // without a port, in lower case
	Prefix           string
	Pool             string // service whose workers run the tasks
	Priority         int    // 0 is the highest
	MaxAttempts      int    // failed runs after which a task fails; 0 for no limit
	StretchFactor    float64
	LatencyAllowance time.Duration // added to StretchFactor times the work for the latency objective
	// PolicyRestricted is set if the queue's policy allows only some workers.
	PolicyRestricted bool
}

// Queues is one version of the operator's configuration.
type Queues struct {
	Version uint64
	// MaxBodyBytes bounds the body of a submission; 0 for no limit.
	MaxBodyBytes int64
	// byHost holds the queues of each host, the longest prefix first; byName has them all.
	byHost map[string][]Queue
	byName map[string]Queue
}

// NewQueues returns a configuration of the queues in list.
func NewQueues(version uint64, maxBodyBytes int64, list []Queue) *Queues {
	q := &Queues{Version: version, MaxBodyBytes: maxBodyBytes, byHost: map[string][]Queue{}, byName: map[string]Queue{}}
	for _, queue := range list {
		queue.Host = strings.ToLower(queue.Host)
		q.byName[queue.Name] = queue
		hostQueues := q.byHost[queue.Host]
		n := 0
		for n < len(hostQueues) && len(hostQueues[n].Prefix) >= len(queue.Prefix) {
			n++
		}
		hostQueues = append(hostQueues, Queue{})
		copy(hostQueues[n+1:], hostQueues[n:])
		hostQueues[n] = queue
		q.byHost[queue.Host] = hostQueues
	}
	return q
}

// Match returns the queue of a request and the part of the path after its prefix.
func (q *Queues) Match(host, path string) (Queue, string, bool) {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 {
		host = host[:colon]
	}
	for _, queue := range q.byHost[strings.ToLower(host)] {
		if rest, ok := strings.CutPrefix(path, queue.Prefix); ok {
			return queue, rest, true
		}
	}
	return Queue{}, "", false
}

// Named returns the queue with a name.
func (q *Queues) Named(name string) (Queue, bool) {
	queue, ok := q.byName[name]
	return queue, ok
}
