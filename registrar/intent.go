package registrar

// Intent is a change of a registration that is to be written.
type Intent int

// Intents of an owner.
const (
	// None changes nothing.
	None Intent = iota
	// Open lets the agent run any task.
	Open
	// Close lists the tasks that the agent may run from then on.
	Close
	// Remove deletes the record of an agent that holds nothing.
	Remove
)
