package e2e

// poolProcess is a process with the arguments for restarting it after its exit.
type poolProcess struct {
	*process
	role, conf string
	paused     bool
}
