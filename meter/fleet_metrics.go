package meter

// Metrics of an entry of a fleet.
var (
	CallLatency    = histogram("call_latency", "Time of callers' requests.", "team", "service")
	CallsDone      = counter("calls_done", "requests", "Requests that were served.", "team", "service")
	CallsNotRun    = counter("calls_not_run", "requests", "Requests that have not run.", "team", "service")
	CallsUnknown   = counter("calls_unknown", "requests", "Requests whose outcome is unknown.", "team", "service")
	CallRetries    = counter("call_retries", "tries", "Repeated tries of requests.", "team", "service")
	CallsToStore   = counter("store_calls", "calls", "Calls to the store.", "call", "result")
	RequestsInside = gauge("requests_inside", "requests", "Requests in flight.")
	Links          = gauge("links", "connections", "Connections to agents and entries.")
	StoreSettled   = gauge("store_settled", "1 or 0", "0 if the store failed lately.")
	LedgerShards   = gauge("ledger_shards", "shards", "Shards of the ledger that the entry owns.")
	LedgerCommits  = gauge("ledger_commits", "writes", "Writes of the ledger.")
	LedgerChanges  = gauge("ledger_changes", "changes", "Changes in the writes of the ledger.")
	LedgerBytes    = gauge("ledger_bytes", "bytes", "Size of the shards.")
)

// Metrics of an agent of a fleet.
var (
	RequestsRunning = gauge("requests_running", "requests", "Requests that the target works on.")
	RequestsWaiting = gauge("requests_waiting", "requests", "Requests that wait for the target.")
	HeldGrants      = gauge("grants", "grants", "Grants of batch work that the agent holds.")
	FreeProcessors  = gauge("free_processors", "processors", "Processors free for batch work.")
	FreeMemory      = gauge("free_memory", "bytes", "Memory free for batch work.")
	Tight           = gauge("tight", "1 or 0", "1 while no new batch work is taken.")
)

// RefusedMetrics counts the metrics that are not recorded because of their names or values.
var RefusedMetrics = counter("refused_metrics", "metrics", "Metrics that are not recorded; the log names them.")
