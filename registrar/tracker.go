package registrar

// Tracker follows the registration of an agent for the owner that writes it. What the owner may assume
// follows from the record that was last read or written and from the writes that may yet take
// effect, however the record was learned. It is not safe for concurrent use.
type Tracker struct {
	// version and record are those that the ledger had last, as far as is known; version is 0
	// if there is no record, and record is empty then.
	version uint64
	record  Registration
	// sent is the write in flight, late the last one if it was refused and may take effect all the
	// same; it can't once another one has been committed.
	sent, late write
	// wanted is what is to be written next.
	wanted Intent
}

// Set takes over the record that the ledger has at a version, 0 if it has none. A write in flight
// has ended, and has taken effect or never will.
func (t *Tracker) Set(version uint64, r Registration) {
	if version == 0 {
		r = Registration{}
	}
	*t = Tracker{version: version, record: r, wanted: t.wanted}
}

// SetInDoubt takes over the record that the ledger has at a version. The write in flight has not taken
// effect, but an attempt without a reply still may.
func (t *Tracker) SetInDoubt(version uint64, r Registration) {
	sent := t.sent
	t.Set(version, r)
	t.late = sent
}

// Want sets what is to be written next. It must not be called while a write is in flight.
func (t *Tracker) Want(i Intent) { t.wanted = i }

// Wanted returns what is to be written next.
func (t *Tracker) Wanted() Intent { return t.wanted }

// Send begins the write of what is wanted, with a record unless that is removed.
func (t *Tracker) Send(r Registration) {
	t.sent, t.wanted = write{t.wanted, r}, None
}

// Committed takes over the write in flight, which has taken effect with a version.
func (t *Tracker) Committed(version uint64) {
	if t.sent.intent == Remove {
		version = 0
	}
	t.Set(version, t.sent.record)
}

// Writing reports whether a write is in flight.
func (t *Tracker) Writing() bool { return t.sent.intent != None }

// Version returns the version of the record, or 0 if there is none.
func (t *Tracker) Version() uint64 { return t.version }

// Record returns the record that the ledger had last; it is empty if there is none.
func (t *Tracker) Record() Registration { return t.record }

// Open reports whether the agent's registration is open, and is to stay so: it may run any task.
func (t *Tracker) Open() bool {
	return t.record.Open && !(write{intent: t.wanted}).closes() && !t.sent.closes() && !t.late.closes()
}

// OpenFor reports whether the registration is open for a process of the agent. An earlier process may
// have closed it as it ended, which the owner learns only when it writes the next one.
func (t *Tracker) OpenFor(incarnation string) bool {
	return t.Open() && t.record.Incarnation == incarnation
}

// MayRenew reports whether the agent's lease may be renewed as far as its registration goes: a later
// owner waits for no lease without a record, or with one that says that it is renewed no more.
func (t *Tracker) MayRenew() bool {
	return t.version != 0 && t.sent.intent != Remove && t.late.intent != Remove && !t.RenewalsEnded()
}

// RenewalsEnded reports whether a later owner may read that the lease is renewed no more.
func (t *Tracker) RenewalsEnded() bool {
	return t.record.RenewalsEndedInTerm != 0 || t.sent.record.RenewalsEndedInTerm != 0 || t.late.record.RenewalsEndedInTerm != 0
}

// Bounded reports whether the record says that every owner renews the lease for a short time after its
// confirmations only.
func (t *Tracker) Bounded() bool { return t.record.Bounded && !t.record.Open }

// Closed reports whether the record, if there is one, is not open, and no write is in flight.
func (t *Tracker) Closed() bool { return !t.Writing() && !t.record.Open }
