package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Times of the adviser, as in the configuration of its queue.
const (
	decision  = 40 * time.Millisecond
	perWorker = 2 * time.Millisecond
	validity  = 40 * time.Second
)

// adviser is a stand-in of the policy service. It allows each worker, and handles one call at
// a time.
type adviser struct {
	record *record
	mu     sync.Mutex
	// tickets has the end of each ticket's validity.
	tickets map[string]time.Time
}

// ServeHTTP handles a call for advice.
func (a *adviser) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	var c struct {
		Step    string   `json:"stepId"`
		Workers []string `json:"workers"`
	}
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil || r.URL.Path != words["advise"] {
		answer(rw, http.StatusBadRequest, map[string]any{})
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	time.Sleep(decision + time.Duration(len(c.Workers))*perWorker)
	granted := [][]string{}
	for _, id := range c.Workers {
		ticket := c.Step + "/" + id
		a.tickets[ticket] = time.Now().Add(validity)
		granted = append(granted, []string{id, ticket})
	}
	a.record.note("advice on %s for %s", c.Step, strings.Join(c.Workers, ","))
	answer(rw, http.StatusOK, map[string]any{"granted": granted, "validityMs": validity.Milliseconds()})
}

// valid reports whether a ticket allows a task on the worker with an id.
func (a *adviser) valid(id, task, ticket string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	step := task[:strings.LastIndexByte(task, '.')]
	return ticket == fmt.Sprint(step, "/", id) && time.Now().Before(a.tickets[ticket])
}
