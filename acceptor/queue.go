package acceptor

import (
	"strings"
	"time"

	"github.com/endivefall/endivefall/sequencer"
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

// Path returns the host and the prefix of the queue.
func (q Queue) Path() string { return q.Host + q.Prefix }

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

// Of returns the queue of a job: the one with its name, or else the one that has taken the place of that.
func (q *Queues) Of(spec *sequencer.Spec) (Queue, bool) {
	if queue, ok := q.byName[spec.Queue]; ok {
		return queue, true
	}
	host, _, _ := strings.Cut(spec.Path, "/")
	for _, queue := range q.byHost[host] {
		if spec.Of(queue.Name, queue.Path()) {
			return queue, true
		}
	}
	return Queue{}, false
}

// pathOf returns the host and the prefix of the queue with a name, or an empty string if there is none.
func (a *Acceptor) pathOf(queue string) string {
	queues := a.Queues()
	if queues == nil {
		return ""
	}
	q, ok := queues.Named(queue)
	if !ok {
		return ""
	}
	return q.Path()
}

// has reports whether a job is one of the queue with a name.
func (a *Acceptor) has(queue string, spec *sequencer.Spec) bool {
	return spec.Of(queue, a.pathOf(queue))
}
