package agent

import (
	"net/http"
	"sort"
	"time"

	"github.com/endivefall/endivefall/parser"
	"github.com/endivefall/endivefall/responder"
)

// DocumentVersions returns the version of each team's document at this agent.
func (a *Agent) DocumentVersions() map[string]uint64 {
	versions := map[string]uint64{}
	for _, doc := range a.cataloger.All() {
		versions[doc.Team] = doc.Version
	}
	return versions
}

// status is the body of GET /v1/status.
type status struct {
	ID            string            `json:"id"`
	Incarnation   string            `json:"born"`
	StartedAt     time.Time         `json:"since"`
	Draining      bool              `json:"leaving"`
	UnderPressure bool              `json:"tight"`
	InFlight      int64             `json:"inside"`
	Grants        int               `json:"grants"`
	Total         parser.Resources  `json:"total"`
	Free          parser.Resources  `json:"free"`
	Teams         map[string]uint64 `json:"teams"`
	Entries       []string          `json:"entries"`
}

// routes returns the handler of health checks, metrics and status.
func (a *Agent) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.Handle("GET /metrics", a.meter)
	mux.HandleFunc("GET /v1/status", a.getStatus)
	return mux
}

func (a *Agent) getStatus(w http.ResponseWriter, _ *http.Request) {
	a.mu.Lock()
	var entries []string
	for id := range a.links {
		entries = append(entries, id)
	}
	a.mu.Unlock()
	if !a.ready.Load() {
		http.Error(w, "worker not reached yet", http.StatusServiceUnavailable)
		return
	}
	sort.Strings(entries)
	responder.WriteJSON(w, http.StatusOK, status{
		ID: a.cfg.Settings.ID, Incarnation: a.incarnation, StartedAt: a.started, Draining: a.draining.Load(), UnderPressure: a.underPressure(),
		InFlight: a.inFlight.Load(), Grants: a.runner.HeldGrants(), Total: a.reserver.Total(), Free: a.reserver.Free(),
		Teams: a.DocumentVersions(), Entries: entries,
	})
}
