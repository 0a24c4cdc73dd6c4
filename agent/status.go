package agent

import (
	"net/http"
	"sort"

	"github.com/endivefall/endivefall/responder"
)

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
	responder.JSON(w, http.StatusOK, status{
		ID: a.cfg.Settings.ID, Born: a.born, Since: a.started, Leaving: a.leaving.Load(), Tight: a.tight(),
		Inside: a.inside.Load(), Grants: a.runner.Busy(), Total: a.commit.Total(), Free: a.commit.Free(),
		Teams: a.InForce(), Entries: entries,
	})
}
