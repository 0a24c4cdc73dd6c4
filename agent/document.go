package agent

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/endivefall/endivefall/cataloger"
	"github.com/endivefall/endivefall/waiter"
)

// reserveInterval is the interval between attempts to make a reservation that
// does not fit yet.
const reserveInterval = 200 * time.Millisecond

// applyDocument applies the settings of the target's service in a new document.
func (a *Agent) applyDocument(doc *cataloger.VersionedDocument) {
	s := a.cfg.Settings
	if doc.Team != s.Team {
		return
	}
	service := doc.Parsed.Service(s.Service)
	if service == nil {
		a.cfg.Log.Warn("service is missing in its team's document", zap.String("team", s.Team), zap.String("service", s.Service))
		return
	}
	a.admitter.Configure(service.Slots, service.Connections, service.Contract.Limit)
	a.mu.Lock()
	a.wanted = service.Need
	a.mu.Unlock()
	a.resizeReservation()
	a.cfg.Log.Info("document applied", zap.String("team", doc.Team), zap.Uint64("version", doc.Version))
}

// serviceReservation names the reservation of the target's service.
const serviceReservation = "service"

// resizeReservation reserves the resources that the service needs. While batch
// tasks hold them it fails and reserveLoop retries it; underPressure keeps the
// entries from sending new batch tasks meanwhile.
func (a *Agent) resizeReservation() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.wanted == a.reserved {
		return
	}
	if err := a.reserver.Resize(serviceReservation, a.wanted); err != nil {
		return
	}
	a.reserved = a.wanted
}

// underPressure reports whether the service's reservation does not fit or its
// contract is at risk.
func (a *Agent) underPressure() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.wanted != a.reserved || a.atRisk.Load()
}

func (a *Agent) reserveLoop(ctx context.Context) {
	waiter.Every(ctx, reserveInterval, a.resizeReservation)
}
