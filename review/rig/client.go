package main

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"github.com/endivefall/endivefall/elector"
	"github.com/endivefall/endivefall/storer"
)

// otherService is a second service.
const otherService = "dele69a"

// configure writes the operator's configuration.
func (f *fleet) configure(version int) {
	var routes []map[string]any
	for _, q := range f.queues {
		if !slices.Contains(q.Services, q.Service) {
			q.Services = append(q.Services, q.Service)
		}
		route := map[string]any{
			"name": q.Name, "host": q.Host, "prefix": q.Prefix, "kind": "unsafe", "timeoutMs": 3000, "targetLatencyMs": 1000, "priority": q.Priority,
			"service": q.Service, "maxAttempts": q.Attempts, "stretchFactor": 2.0,
		}
		if q.Restricted {
			route["hint"] = map[string]any{"decisionMs": f.policy.Decision.Milliseconds(), "perWorkerMs": f.policy.PerWorker.Milliseconds(), "validityMs": f.policy.Validity.Milliseconds()}
		}
		routes = append(routes, route)
	}
	raw, err := json.Marshal(map[string]any{
		"version": version, "routes": routes, "services": []map[string]any{
			{"name": f.service, "healthPath": "/healthz", "maxConns": 64, "protocol": "h1", "enforceLimits": false},
			{"name": otherService, "healthPath": "/healthz", "maxConns": 64, "protocol": "h1", "enforceLimits": false},
		},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	if err != nil {
		panic(err)
	}
	f.put("op/config", raw)
}

func (f *fleet) put(key string, value []byte) {
	for {
		client := f.store.Client()
		item, _ := client.Get(context.Background(), key)
		if _, err := client.Commit(context.Background(), storer.Transaction{Checks: []storer.Check{{Key: key, Version: item.Version}}, Writes: []storer.Write{{Key: key, Value: value}}}); err == nil {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// readOwner returns the record of the owner, if there is one.
func (f *fleet) readOwner() []string {
	item, err := f.store.Client().Get(context.Background(), elector.OwnerKey)
	if err != nil {
		return nil
	}
	return []string{string(item.Value)}
}

func (f *fleet) request(p *process, method string, q *queue, id string, body []byte, timeout time.Duration) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+p.front+q.Prefix+id, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	req.Host = q.Host
	req.Header.Set("X-Deadline-Ms", "3000")
	req.Header.Set("Content-Type", "application/json")
	resp, err := (&http.Client{}).Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	var reply bytes.Buffer
	if _, err := reply.ReadFrom(resp.Body); err != nil {
		return 0, nil, err
	}
	return resp.StatusCode, reply.Bytes(), nil
}

func (f *fleet) anyEntry() *process {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.entries[f.rand.IntN(len(f.entries))]
}

// submit hands a submission in, up to five times, and returns whether it was accepted.
func (f *fleet) submit(j *job) bool {
	f.mu.Lock()
	f.jobs[j.ID] = j
	f.mu.Unlock()
	j.sent = time.Now()
	body := j.body()
	rejected := true
	for try := range 5 {
		if try > 0 {
			time.Sleep(400 * time.Millisecond)
		}
		p := f.anyEntry()
		status, _, err := f.request(p, http.MethodPost, j.Queue, j.ID, body, 3*time.Second)
		f.say("POST %s%s at %s: %d %v", j.Queue.Prefix, j.ID, p.id, status, err)
		if err == nil && status/100 == 2 {
			j.mu.Lock()
			j.accepted = time.Now()
			j.mu.Unlock()
			return true
		}
		if err != nil || status != http.StatusServiceUnavailable && status != http.StatusTooManyRequests {
			rejected = false
		}
	}
	j.mu.Lock()
	j.rejected, j.unknown = rejected, !rejected
	j.mu.Unlock()
	return false
}

// cancel cancels a submission and returns whether that was acknowledged.
func (f *fleet) cancel(j *job) bool {
	j.mu.Lock()
	j.cancelSent = time.Now()
	j.mu.Unlock()
	for range 8 {
		p := f.anyEntry()
		status, _, err := f.request(p, http.MethodDelete, j.Queue, j.ID, nil, 3*time.Second)
		f.say("DELETE %s at %s: %d %v", j.ID, p.id, status, err)
		if err == nil && (status/100 == 2 || status == http.StatusGone) {
			j.mu.Lock()
			j.canceled = time.Now()
			j.mu.Unlock()
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// state asks for the state of a submission and judges the answer.
func (f *fleet) state(j *job) string {
	p := f.anyEntry()
	status, raw, err := f.request(p, http.MethodGet, j.Queue, j.ID, nil, 3*time.Second)
	if err != nil {
		return ""
	}
	var reply struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal(raw, &reply)
	j.mu.Lock()
	accepted, cancelSent, final := j.accepted, j.cancelSent, j.final
	j.mu.Unlock()
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case status == http.StatusGone && !accepted.IsZero() && cancelSent.IsZero() && time.Since(accepted) > 4*time.Second:
		f.audit.broken("LOST", "%s was accepted %s ago and isn't known at %s", j.ID, time.Since(accepted), p.id)
	case status != http.StatusOK:
		return ""
	}
	switch reply.State {
	case "complete":
		if missing := f.missing(j); missing != "" {
			f.audit.broken("MIXED", "%s is shown as complete, and %s isn't done", j.ID, missing)
		}
	case "canceled":
		if cancelSent.IsZero() {
			f.audit.broken("LOST", "%s is shown as canceled, and nobody canceled it", j.ID)
		}
	case "failed":
		if !f.mayFail(j) {
			f.audit.broken("LOST", "%s is shown as failed without cause", j.ID)
		}
	}
	if final != "" && reply.State != "" && reply.State != final {
		f.audit.broken("MIXED", "%s was shown as %s and is shown as %s", j.ID, final, reply.State)
	}
	if reply.State == "complete" || reply.State == "failed" || reply.State == "canceled" {
		j.mu.Lock()
		if j.final == "" {
			j.final, j.finalAt = reply.State, time.Now()
			f.note("%s is %s", j.ID, reply.State)
		}
		j.mu.Unlock()
	}
	return reply.State
}

// missing returns a task of a submission that hasn't ended done, if there is one.
func (f *fleet) missing(j *job) string {
	for k := range max(j.Times, 1) {
		for n, s := range j.Steps {
			for i := range s.Count {
				if t := taskOf(j, k, n, i); !f.audit.anyDone[t] {
					return t
				}
			}
		}
	}
	return ""
}

// mayFail reports whether a task of a submission, or a gang, has failed as often as its queue allows.
func (f *fleet) mayFail(j *job) bool {
	for key, failed := range f.audit.failed {
		if len(key) > len(j.ID) && key[:len(j.ID)] == j.ID && len(failed) >= j.Queue.Attempts {
			return true
		}
	}
	for task, n := range f.audit.crashes {
		if task[:len(j.ID)] == j.ID && n >= 2 {
			return true
		}
	}
	return f.audit.failsUnnoted(j)
}
