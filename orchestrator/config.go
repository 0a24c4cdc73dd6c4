package orchestrator

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/endivefall/endivefall/authorizer"
	"github.com/endivefall/endivefall/evacuator"
	"github.com/endivefall/endivefall/meter"
	"github.com/endivefall/endivefall/sequencer"
	"github.com/endivefall/endivefall/storer"
)

// Config holds the settings and dependencies of an Orchestrator.
type Config struct {
	// Term and Epoch identify the claim of this process. Every write requires that
	// the key OwnerKey still has the version Epoch.
	Term, Epoch uint64
	OwnerKey    string
	// ClaimedAt is when this process learned that its claim had taken effect. No earlier
	// owner has a confirmation of its ownership that is younger.
	ClaimedAt time.Time
	// ClaimSentAt is a time before which the claim was not sent, so that the store had not reached
	// the version Epoch.
	ClaimSentAt time.Time
	Store       *storer.Store
	// Now is a clock that includes the time during which the instance was
	// suspended; WallClock is the time of day.
	Now, WallClock func() time.Time
	// LeaseDuration is how long runs continue without a lease renewal by the owner.
	LeaseDuration time.Duration
	// UnextendedTTL is how long a confirmation of ownership is valid, ConfirmationTTL how long
	// it is while ConfirmationExtended reports that no entry can claim without regard to it.
	UnextendedTTL, ConfirmationTTL time.Duration
	ConfirmationExtended           func() bool
	// ExtendedForAnyAgent reports whether they do so for the lease of an agent that is not in the
	// roster, and asks them to.
	ExtendedForAnyAgent func() bool
	// PreviousOwnerTTL is how long an earlier owner may have sent commands after
	// the claim: at most ConfirmationTTL, 0 if it had certainly stopped.
	PreviousOwnerTTL time.Duration
	// EarlierConfirmedBy is a time before which earlier owners sent each call that confirmed
	// them, EarlierOwnersUntil the one until which they may send commands. Zero if no more is
	// known than ClaimedAt and PreviousOwnerTTL.
	EarlierConfirmedBy, EarlierOwnersUntil time.Time
	// KnownSince returns a time by which the store had reached a version, and false if none is
	// known; it may be nil.
	KnownSince func(version uint64) (time.Time, bool)
	// RosterFrom is the time from which the leases of no agents are renewed but those in the
	// roster of this owner. UnrosteredUntil is until when an earlier owner may renew the lease
	// of an agent that is not in the roster of the last one; zero if that is not known.
	RosterFrom, UnrosteredUntil time.Time
	// RulesSince is the first term since which every owner has granted long-running tasks before it
	// started them, and has heeded that a registration says that a lease is renewed no more; 0 if
	// this owner does not.
	RulesSince uint64
	// RemoteFactor is how many times as long a task takes outside the rack that holds its data; 0 if that is
	// not known, so that no task waits for its rack.
	RemoteFactor float64
	// JobRetention is how long the state of an ended job is kept.
	JobRetention time.Duration
	// OwnershipConfirmedAt returns the time of the newest confirmation of ownership. A write of
	// the ledger is none, as the next owner knows of no more than the elector's.
	OwnershipConfirmedAt func() time.Time
	// ConfigVersion returns the version of the configuration in force at this entry, 0 if it has none;
	// Placement returns where that lets the tasks of a job start, and false if it has no queue for the
	// job. Both may be nil, so that jobs stay where they were accepted.
	ConfigVersion func() uint64
	Placement     func(spec *sequencer.Spec) (sequencer.Placement, bool)
	// Evacuations returns which domains are evacuated; nil if that is not followed. EvacuationBound is the time
	// from the acknowledgement of a request until which tasks may still start in the domain; 0 for none.
	Evacuations     func() evacuator.View
	EvacuationBound time.Duration
	// ConfirmAfter asks for a confirmation of ownership that is sent after a time, which has passed; it may
	// be nil.
	ConfirmAfter func(at time.Time)
	// QueryPolicy asks the policy service of a queue which worker incarnations may
	// run a step, and how long the answer is valid.
	QueryPolicy func(ctx context.Context, step string, workers []string) ([]authorizer.Grant, time.Duration, error)
	// HasStandby reports whether another live entry could own the pools.
	HasStandby func() bool
	Log        *zap.Logger
	// Count, Gauge and ObserveDuration record metrics; Gauge may be nil.
	Count           func(c meter.Counter)
	Gauge           func(g meter.Gauge, value float64)
	ObserveDuration func(h meter.Histogram, d time.Duration)
}
