package registrar

// write is a change of a registration. The record is empty if it is removed.
type write struct {
	intent Intent
	record Registration
}

// closes reports whether the registration is open no more once it has taken effect.
func (w write) closes() bool { return w.intent == Close || w.intent == Remove }
