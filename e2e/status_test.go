package e2e

import (
	"encoding/json"
	"fmt"
	"net/http"
)

func (w *world) get(url string, into any) bool {
	resp, err := w.client.Get(url)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	return resp.StatusCode == http.StatusOK && json.NewDecoder(resp.Body).Decode(into) == nil
}

// statusView is the part of an entry's or agent's status that tests check.
type statusView struct {
	Agents   []struct{ ID string }
	Services map[string][]struct {
		ID      string
		Leaving bool
	}
	Teams  map[string]uint64
	Shards []uint32
	Grants int
}

func (w *world) status(addr string) statusView {
	var s statusView
	w.get("http://"+addr+"/v1/status", &s)
	return s
}

// waitForVersion waits until every agent uses a team's version.
func (w *world) waitForVersion(team string, version uint64) {
	w.eventually(fmt.Sprintf("every agent uses %s version %d", team, version), func() bool {
		for _, in := range w.instances {
			if w.status(in.http).Teams[team] < version {
				return false
			}
		}
		return true
	})
}
