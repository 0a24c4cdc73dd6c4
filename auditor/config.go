package auditor

// Config is one version of the operator's configuration.
type Config struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Limits   Limits
}

// Route configures a queue of jobs. Times are in ms.
type Route struct {
	Name      string
	Host      string
	Prefix    string
	Kind      string
	Timeout   int64 // of a caller's request
	Allowance int64 // part of the objective that does not grow with the work
	Priority  int   // 0 is the highest
	Service   string
	Attempts  int     // failed runs after which a task fails
	Stretch   float64 // factor of the work in the objective
	Hint      *Hint   // nil if any worker of the service may run the tasks
	// Unreadable is set if entries skip the route.
	Unreadable bool
}

// path returns the host and the prefix, as entries compare them.
func (r *Route) path() string { return lower(r.Host) + r.Prefix }

// Hint has the times of the policy service that names the workers of a route, in ms.
type Hint struct {
	Decision  int64 // of a query
	PerWorker int64 // more for each worker in it
	Validity  int64 // of a ticket, from the query on
}

// Service is a pool of workers.
type Service struct {
	Name          string
	HealthPath    string
	MaxConns      int64
	Protocol      string
	TLS           bool
	Warmup        float64
	WarmupRate    float64
	EnforceLimits bool
	Standby       bool
}

// Limits bound the requests of callers. Sizes are in bytes, times in ms.
type Limits struct {
	MaxHeader     int64
	MaxBody       int64 // 0 for the default
	HeaderTimeout int64
	IdleTimeout   int64
}
