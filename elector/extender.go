package elector

// extender is a process of an entry that an owner asks before it acts on an old confirmation.
type extender struct {
	ID          string `cbor:"1,keyasint"`
	Incarnation string `cbor:"2,keyasint"`
}
