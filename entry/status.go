package entry

import (
	"net/http"
	"time"

	"github.com/endivefall/endivefall/announcer"
	"github.com/endivefall/endivefall/parser"
	"github.com/endivefall/endivefall/responder"
	"github.com/endivefall/endivefall/router"
)

// Status is the status of an entry and of the entries, services and agents known
// to it; it is the body of GET /v1/status.
type Status struct {
	ID          string                           `json:"id"`
	Incarnation string                           `json:"born"`
	StartedAt   time.Time                        `json:"since"`
	Draining    bool                             `json:"leaving"`
	InFlight    int64                            `json:"inside"`
	Store       string                           `json:"store"`
	Shards      []uint32                         `json:"shards"`
	Entries     []announcer.Entry                `json:"entries"`
	Teams       map[string]uint64                `json:"teams"`
	Services    map[string][]router.TargetStatus `json:"services"`
	Agents      []AgentStatus                    `json:"agents"`
}

// AgentStatus is the status of an agent as known to an entry.
type AgentStatus struct {
	ID            string           `json:"id"`
	Domain        string           `json:"domain"`
	Rack          string           `json:"rack"`
	Total         parser.Resources `json:"total"`
	Free          parser.Resources `json:"free"`
	UnderPressure bool             `json:"tight"`
	Draining      bool             `json:"leaving"`
}

func (e *Entry) getStatus(w http.ResponseWriter, _ *http.Request) {
	status := Status{
		ID: e.cfg.Settings.ID, Incarnation: e.incarnation, StartedAt: e.started, Draining: e.draining.Load(), InFlight: e.dispatcher.InFlight(),
		Store: "up", Entries: e.announcer.Entries(), Teams: map[string]uint64{}, Services: e.dispatcher.Targets(),
	}
	if !e.announcer.Synced() {
		status.Store = "in doubt"
	}
	for _, doc := range e.cataloger.All() {
		status.Teams[doc.Team] = doc.Version
	}
	if sch := e.scheduler.Load(); sch != nil {
		status.Shards = sch.OwnedShards()
	}
	for _, a := range e.placer.Agents() {
		status.Agents = append(status.Agents, AgentStatus{a.ID, a.Domain, a.Rack, a.Total, a.Free, a.UnderPressure, a.Draining})
	}
	responder.WriteJSON(w, http.StatusOK, status)
}

func (e *Entry) explainRequest(w http.ResponseWriter, r *http.Request) {
	trace, ok := e.dispatcher.Explain(r.PathValue("id"))
	if !ok {
		e.problem(w, responder.Problem{Status: http.StatusNotFound, Code: "unknown-request", Detail: "this entry does not remember the request; another may have served it"})
		return
	}
	responder.WriteJSON(w, http.StatusOK, trace)
}
