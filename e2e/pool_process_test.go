package e2e

// poolProcess is a process with what is needed to restart it after its end.
type poolProcess struct {
	*process
	role, conf string
	paused     bool
}
