package auditor

// Change is a difference between two configurations.
type Change struct {
	// List is Routes, Services or Limits, or empty for a field of the configuration itself.
	List string
	// Name is that of the route or the service; empty in other lists.
	Name string
	// Field is empty if a route or service was added or removed as a whole.
	Field string
	// From is empty for an addition, To for a removal.
	From, To string
	// Effect is what the change does to jobs.
	Effect string
}
