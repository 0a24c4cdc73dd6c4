package e2e

// pooled is a process that is started again after its end.
type pooled struct {
	*process
	role, conf string
	paused     bool
}
