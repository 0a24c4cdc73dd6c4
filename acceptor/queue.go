package acceptor

import (
	"strings"
	"time"
)

// Queue takes the jobs of one path prefix at one host.
type Queue struct {
	Name             string
	Host             string // without a port, in lower case
	Prefix           string
	Pool             string // service whose workers run its tasks
	Priority         int    // 0 comes first
	MaxAttempts      int    // failed runs after which a task fails; 0 is without limit
	StretchFactor    float64
	LatencyAllowance time.Duration // objective beyond Stretch times the work
	// PolicyRestricted is set where the queue's policy allows only some workers.
	PolicyRestricted bool
}

// Queues is one version of the operator's configuration.
type Queues struct {
	Version uint64
	// MaxBodyBytes bounds a submission in bytes; 0 is without limit.
	MaxBodyBytes int64
	// byHost has the queues of a host, the longest prefix first.
	byHost map[string][]Queue
}

// NewQueues returns a configuration.
func NewQueues(version uint64, maxBody int64, list []Queue) *Queues {
	q := &Queues{Version: version, MaxBodyBytes: maxBody, byHost: map[string][]Queue{}}
	for _, queue := range list {
		queue.Host = strings.ToLower(queue.Host)
		at := q.byHost[queue.Host]
		n := 0
		for n < len(at) && len(at[n].Prefix) >= len(queue.Prefix) {
			n++
		}
		at = append(at, Queue{})
		copy(at[n+1:], at[n:])
		at[n] = queue
		q.byHost[queue.Host] = at
	}
	return q
}

// Match returns the queue of a request and what follows its prefix in the path.
func (q *Queues) Match(host, path string) (Queue, string, bool) {
	if at := strings.LastIndexByte(host, ':'); at >= 0 {
		host = host[:at]
	}
	for _, queue := range q.byHost[strings.ToLower(host)] {
		if rest, ok := strings.CutPrefix(path, queue.Prefix); ok {
			return queue, rest, true
		}
	}
	return Queue{}, "", false
}
