package meter

// Listener has the metrics of one listener's limits.
type Listener struct {
	// Name is that of the listener in names of metrics and logs.
	Name                   string
	Connections, BodyBytes Gauge
	// Shed counts by cause how often a limit had an effect.
	Shed Set[Counter]
}

func listener(name string) Listener {
	return Listener{
		Name:        name,
		Connections: gauge(name+"_connections", "connections", "Open connections of the listener."),
		BodyBytes:   gauge(name+"_body_bytes", "bytes", "Bytes of large bodies that arrive at the listener."),
		Shed: counters(name, "requests or connections", "Limits of the listener that had an effect.",
			"body_too_large", "body_closed", "body_busy", "body_slow", "decode_busy", "connection_closed", "connection_refused"),
	}
}

// Listeners of the processes.
var (
	Callers     = listener("callers")
	Heartbeats  = listener("heartbeats")
	Health      = listener("health")
	MetricsPage = listener("metrics")
	Peers       = listener("peers")
	Readiness   = listener("readiness")
)
