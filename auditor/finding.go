package auditor

// Finding is a fault of a configuration.
type Finding struct {
	// Path is that of the field, by the names of this package, as in Routes[2].Prefix.
	Path    string
	Message string
	// Warning is set if the configuration may be meant so.
	Warning bool
}
