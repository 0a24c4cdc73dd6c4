package agent

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/endivefall/endivefall/cataloger"
	"github.com/endivefall/endivefall/waiter"
)

// fitEvery is how often a reservation that does not fit yet is tried again.
const fitEvery = 200 * time.Millisecond

// apply puts a document that came into force into effect here.
func (a *Agent) apply(k *cataloger.VersionedDocument) {
	s := a.cfg.Settings
	if k.Team != s.Team {
		return
	}
	service := k.Parsed.Service(s.Service)
	if service == nil {
		a.cfg.Log.Warn("service is not in its team's document", zap.String("team", s.Team), zap.String("service", s.Service))
		return
	}
	a.admit.Configure(service.Slots, service.Connections, service.Contract.Limit)
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
	waiter.Every(ctx, fitEvery, a.fit)
}
