package agent

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/endivefall/endivefall/curator"
	"github.com/endivefall/endivefall/parser"
)

// fitEvery is how often a reservation that does not fit yet is tried again.
const fitEvery = 200 * time.Millisecond

// apply puts a document that came into force into effect here.
func (a *Agent) apply(k *curator.Kept) {
	s := a.cfg.Settings
	if k.Team != s.Team {
		return
	}
	service := k.Parsed.Service(s.Service)
	if service == nil {
		a.cfg.Log.Warn("service is not in its team's document", zap.String("team", s.Team), zap.String("service", s.Service))
		return
	}
	a.admit.Configure(service.Slots, service.Connections, service.Contract.Bound)
	a.mu.Lock()
	a.wanted = service.Need
	a.mu.Unlock()
	a.fit()
	a.cfg.Log.Info("document in force", zap.String("team", k.Team), zap.Uint64("version", k.Version))
}

// serviceName is the reservation of the target's service.
const serviceName = "service"

// fit reserves what the service needs. While batch work holds the room, no new
// batch work is taken.
func (a *Agent) fit() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.wanted == a.reserved {
		return
	}
	if err := a.commit.Resize(serviceName, a.wanted); err != nil {
		return
	}
	a.reserved = a.wanted
}

// tight says whether the service lacks room or has its contract at risk.
func (a *Agent) tight() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.wanted != a.reserved || a.atRisk.Load()
}

func (a *Agent) fitLoop(ctx context.Context) {
	tick := time.NewTicker(fitEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			a.fit()
		}
	}
}

// InForce returns the version of each team's document here.
func (a *Agent) InForce() map[string]uint64 {
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
	Total   parser.Need       `json:"total"`
	Free    parser.Need       `json:"free"`
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
