package main

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"time"
)

// step is a step of a submission, as the rig's client writes it and its workers judge it.
type step struct {
	Count        int
	CPU, Memory  int64
	EstimateMs   int64
	After        []int
	Saves        bool
	Gang         bool
	Label        string
	Rack         string
	MaxPerWorker int
	Copies       bool
	Lasting      bool
	Image        string
	TargetMs     int64
	Fills        bool
	Away         int
	// WorkMs is how long a task works; FailEvery makes each so many-th attempt fail; 0 for none.
	WorkMs    int64
	FailEvery int
	// FailFirst is how many attempts of each task fail before one is done.
	FailFirst int
	// CrashMs is how long a task works until it crashes its worker, which is back BackMs later; 0 for none.
	CrashMs, BackMs int64
}

// job is a submission with what the client knows of it.
type job struct {
	ID    string
	Queue *queue
	Spec  string
	Steps []step
	DueMs int64
	Every int64
	Times int
	mu    sync.Mutex
	sent  time.Time
	// accepted, cancelSent and canceled are when the client got 2xx for it, sent a cancel, and got its acknowledgement.
	accepted, cancelSent, canceled time.Time
	// rejected is set if every attempt was rejected, unknown if one got no answer that tells.
	rejected, unknown bool
	final             string
	finalAt           time.Time
}

// queue is a route of the operator's configuration.
type queue struct {
	Name, Host, Prefix, Service string
	Priority, Attempts          int
	Restricted                  bool
	// Services are all to which a configuration has sent the queue.
	Services []string
}

func (j *job) body() []byte {
	var phases []map[string]any
	for _, s := range j.Steps {
		p := map[string]any{"count": s.Count}
		set := func(name string, is bool, value any) {
			if is {
				p[name] = value
			}
		}
		set("cpu", s.CPU > 0, s.CPU)
		set("memMb", s.Memory > 0, s.Memory)
		set("estimateMs", s.EstimateMs > 0, s.EstimateMs)
		set("after", len(s.After) > 0, s.After)
		set("checkpointing", s.Saves, true)
		set("gang", s.Gang, true)
		set("requiredLabel", s.Label != "", s.Label)
		set("affinity", s.Rack != "", s.Rack)
		set("maxPerServer", s.MaxPerWorker > 0, s.MaxPerWorker)
		set("speculative", s.Copies, true)
		set(wire["lasting"], s.Lasting, true)
		set("image", s.Image != "", s.Image)
		set("targetMs", s.TargetMs > 0, s.TargetMs)
		set("utilization", s.Fills, true)
		set(wire["away"], s.Away > 0, s.Away)
		phases = append(phases, p)
	}
	body := map[string]any{"spec": j.Spec, "phases": phases}
	if j.Times > 0 {
		body[wire["due"]], body[wire["every"]], body[wire["times"]] = j.DueMs, j.Every, j.Times
	}
	raw, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	return raw
}

// taskName is a task's name in parts: ID.K.STEP.INDEX.
type taskName struct {
	job               string
	time, step, index int
}

func parseTask(name string) (taskName, error) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 {
		return taskName{}, fmt.Errorf("task name %q", name)
	}
	var n [3]int
	for i := range n {
		v, err := strconv.Atoi(parts[i+1])
		if err != nil {
			return taskName{}, err
		}
		n[i] = v
	}
	return taskName{parts[0], n[0], n[1], n[2]}, nil
}

// stepName is the part of a task's name that all tasks of its step share.
func stepName(task string) string { return task[:strings.LastIndexByte(task, '.')] }

// hash spreads words over all numbers.
func hash(words ...any) uint64 {
	h := fnv.New64a()
	fmt.Fprint(h, words...)
	return h.Sum64()
}

func newID(r *rand.Rand) string { return fmt.Sprintf("%016x", r.Uint64()) }
