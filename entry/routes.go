package entry

import (
	"net/http"

	"github.com/endivefall/endivefall/responder"
)

// routes returns the handler of the listener for callers and operators.
func (e *Entry) routes() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/v1/call/{team}/{service}/{path...}", e.dispatcher)
	mux.HandleFunc("GET /v1/teams/{team}", e.getTeam)
	mux.HandleFunc("PUT /v1/teams/{team}", e.putTeam)
	mux.HandleFunc("POST /v1/teams/{team}/plan", e.planTeam)
	mux.HandleFunc("POST /v1/jobs/{team}/{job}", e.submit)
	mux.HandleFunc("GET /v1/jobs/{team}", e.listJobs)
	mux.HandleFunc("GET /v1/jobs/{team}/{job}/{run}", e.getJob)
	mux.HandleFunc("DELETE /v1/jobs/{team}/{job}/{run}", e.cancelJob)
	mux.HandleFunc("GET /v1/explain/request/{id}", e.explainRequest)
	mux.HandleFunc("GET /v1/explain/job/{team}/{job}/{run}", e.explainJob)
	mux.HandleFunc("GET /v1/status", e.getStatus)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", e.ready)
	mux.Handle("GET /metrics", e.meter)
	mux.HandleFunc("/", e.notFound)
	return mux
}

func (e *Entry) notFound(w http.ResponseWriter, r *http.Request) {
	responder.Write(w, responder.Problem{
		Status: http.StatusNotFound, Code: "unknown-path", Outcome: responder.NotRun,
		Detail: "nothing is served at " + r.Method + " " + r.URL.Path,
	}, e.now())
}

// ready serves the readiness check of the load balancer. It fails until the entry has
// a document or knows that the store has none, and again from the start of the
// shutdown, while the entry still serves.
func (e *Entry) ready(w http.ResponseWriter, _ *http.Request) {
	switch {
	case e.draining.Load():
		http.Error(w, "leaving", http.StatusServiceUnavailable)
	case len(e.cataloger.All()) == 0 && !e.publisher.Synced():
		http.Error(w, "no documents yet", http.StatusServiceUnavailable)
	default:
		w.WriteHeader(http.StatusOK)
	}
}
