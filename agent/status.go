package agent

import (
	"net/http"
	"sort"
	"time"

	"github.com/endivefall/endivefall/parser"
	"github.com/endivefall/endivefall/responder"
)

// DocumentVersions returns the version of each team's document here.
func (a *Agent) DocumentVersions() map[string]uint64 {
	versions := map[string]uint64{}
	for _, k := range a.curator.All() {
		versions[k.Team] = k.Version
	}
	return versions
}

// status is what an agent says of itself.
type status struct {
	ID      string            `json:"id"`
	Born    string            `json:"born"`
	Since   time.Time         `json:"since"`
	Leaving bool              `json:"leaving"`
	Tight   bool              `json:"tight"`
	Inside  int64             `json:"inside"`
	Grants  int               `json:"grants"`
	Total   parser.Resources  `json:"total"`
	Free    parser.Resources  `json:"free"`
	Teams   map[string]uint64 `json:"teams"`
	Entries []string          `json:"entries"`
}

// routes serves health, metrics and status.
func (a *Agent) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.Handle("GET /metrics", a.meter)
	mux.HandleFunc("GET /v1/status", a.showStatus)
	return mux
}

func (a *Agent) showStatus(w http.ResponseWriter, _ *http.Request) {
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
		ID: a.cfg.Settings.ID, Born: a.born, Since: a.started, Leaving: a.leaving.Load(), Tight: a.tight(),
		Inside: a.inside.Load(), Grants: a.runner.HeldGrants(), Total: a.commit.Total(), Free: a.commit.Free(),
		Teams: a.DocumentVersions(), Entries: entries,
	})
}
