package meter

// Metrics of callers' requests.
var (
	Answers    = counters("answer", "answers", "Answers to callers by status.", "200", "400", "404", "405", "410", "413", "500", "503", "504")
	RetryAfter = counters("retry_after", "answers", "Rejections by the seconds after which the caller is to return.", "1", "2", "3", "4")
	Rejections = counters("rejected", "answers", "Rejections by cause.",
		"store_unavailable", "queue_full", "shed", "too_many_cancels", "no_configuration", "configuration_out_of_date", "state_unavailable")
	Submissions = histogram("submit", "Time until a job is stored.")
)

// Metrics of what other writers have left in the store and at workers.
var (
	UnreadableConfigs       = counter("unreadable_config", "configurations", "Configurations, or routes of one, that can't be read.")
	UnreadableEvacuations   = counter("unreadable_evacuation", "keys", "Requests of evacuations that name no domain.")
	UnreadableExtenders     = counter("unreadable_extenders", "records", "Lists of extenders that can't be read.")
	UnreadableMembers       = counter("unreadable_member", "records", "Live keys of entries that can't be read.")
	UnreadableOwners        = counter("unreadable_owner", "records", "Owner keys that can't be read.")
	UnreadableEntries       = counter("unreadable_entry", "records", "Registrations of entries that can't be read.")
	UnreadableJobs          = counter("unreadable_job", "records", "Jobs of the ledger that can't be read.")
	UnreadableProgress      = counter("unreadable_progress", "records", "Progress of jobs that can't be read.")
	UnreadableRegistrations = counter("unreadable_registration", "records", "Registrations of agents that can't be read.")
	UnreadableRosters       = counter("unreadable_roster", "records", "Rosters that can't be read.")
	UnreadableGrants        = counter("unreadable_grant", "rows", "Rows of replies of the policy service that can't be read.")
	UnreadableLists         = counter("unreadable_list", "rows", "Rows of lists of the worker that can't be read.")
	UnreadableHeartbeats    = counter("unreadable_heartbeat", "heartbeats", "Heartbeats of the worker that can't be read.")
)

// Metrics of traffic and of calls to the store.
var (
	StoreCalls             = counters("store", "calls", "Calls to the store by kind.", "get", "page", "watch", "commit", "lease", "renew", "end", "unknown")
	UnreadableStoreEntries = counter("store_unreadable", "entries", "Entries of the store that can't be read.")
	BytesSent              = counters("bytes_sent", "bytes", "Bytes sent by kind of frame.", frameKinds...)
	BytesReceived          = counters("bytes_received", "bytes", "Bytes received by kind of frame.", frameKinds...)
	FrameWait              = histogram("frame_wait", "Longest wait of a frame in the queues of connections, each 2 s.")
	LedgerWrites           = histogram("ledger_write", "Time of a write of the ledger.")
)

// frameKinds are the kinds of frames in names of metrics, and the connections to the store.
var frameKinds = []string{"heartbeat", "reply", "command", "snapshot", "ack", "query", "state", "doubt", "store"}

// Metrics of runs.
var (
	Starts             = counter("start", "runs", "Starts that were sent or queued.")
	RunEnds            = counters("end", "runs", "Ends of runs by status.", "unknown", "done", "failed", "stopped", "lapsed", "broken", "alone", "never", "gone")
	RunTimes           = histogram("run", "Time of runs that completed.")
	JobEnds            = counters("job", "jobs", "Ends of jobs by state.", "complete", "failed", "canceled")
	JobTimes           = histogram("job", "Time from the acceptance of a job to its end.")
	Grants             = counter("grant", "starts", "Long-running tasks that were granted to an agent.")
	DroppedGrants      = counter("grant_dropped", "starts", "Granted starts that were dropped before they were sent.")
	GrantWait          = histogram("grant_wait", "Time of the write before the start of a long-running task.")
	Claims             = counter("claimed", "claims", "Claims of room for long-running tasks.")
	Moved              = counter("moved", "runs", "Runs stopped to run on a faster worker.")
	Stuck              = counter("stuck", "runs", "Runs stopped for lack of progress.")
	Evacuated          = counter("evacuated", "runs", "Runs stopped on draining workers and in evacuated domains.")
	Preempted          = counter("preempted", "runs", "Runs stopped for more urgent tasks.")
	StopCauses         = counters("stopped_for", "runs", "Runs stopped to start again, by cause.", "task", "claim", "move")
	StoppedAgain       = counter("stopped_again", "runs", "Runs stopped without progress since their last stop.")
	LostCoreTime       = histogram("stop_lost_core_time", "Core time that the stop of a run throws away.")
	RefusedStarts      = counter("refused_start", "starts", "Starts withdrawn as their domain is evacuated.")
	OverdueStarts      = counter("overdue_start", "starts", "Starts that arrived too late to be carried out.")
	DroppedStops       = counter("stop_dropped", "stops", "Stops of runs that are not at the worker.")
	RejectedJobs       = counter("rejected_job", "jobs", "Jobs whose progress the ledger does not take.")
	OmittedCheckpoints = counter("checkpoints_omitted", "writes", "Writes of progress without room for all checkpoints.")
	Crashes            = counter("crash", "crashes", "Crashes of workers.")
	Suspects           = counter("suspect", "tasks", "Tasks that may have crashed their workers.")
	CrashingJobs       = counter("crashing_job", "jobs", "Jobs failed as a task of them crashes its workers.")
	Plans              = histogram("plan", "Time of a round of placement.")
	OldestStop         = gauge("oldest_stop_seconds", "seconds", "Age of the oldest stop whose run has not ended.")
	WaitingCommands    = gauge("waiting_commands", "commands", "Commands that wait in outboxes of agents.")
	LastingWaits       = gauge("lasting_waits", "tasks", "Long-running tasks that run nowhere.")
	BlockedWaits       = gauge("lasting_waits_blocked", "tasks", "Long-running tasks that run nowhere as an absent agent may run them.")
	RoomClaims         = gauge("room_claims", "claims", "Claims of room.")
	HeadroomShortage   = gauge("headroom_shortage", "workers", "Workers without headroom for the best-effort task that waits the longest.")
	WaitingJobs        = gauges("waiting_jobs", "jobs", "Best-effort jobs with tasks left to start, by class.", "filling", "late", "worthless")
	EvacuatedDomains   = gauge("evacuated_domains", "domains", "Evacuated failure domains.")
	EvacuatingRuns     = gauge("evacuating_runs", "runs", "Runs that are still in evacuated domains.")
	KeptCPU            = gauge("kept_cpu", "cores", "CPU kept for short tasks of the first priority.")
)

// Metrics of waits for a rack.
var (
	RackWaits          = gauge("rack_waits", "steps", "Steps that wait for a place in their rack.")
	RackWaitsBegun     = counter("rack_wait", "waits", "Waits for a place in the rack that began.")
	RackWaitsPaid      = counter("rack_wait_paid", "waits", "Waits that ended with a start in the rack.")
	RackWaitsUnpaid    = counter("rack_wait_unpaid", "waits", "Waits that ended with a start outside the rack.")
	RackWaitPaidTime   = histogram("rack_wait_paid_time", "Waits of tasks that then started in their rack.")
	RackWaitUnpaidTime = histogram("rack_wait_unpaid_time", "Waits of tasks that then started outside their rack.")
	RackStartsNear     = counter("rack_start_near", "tasks", "Tasks with a preferred rack that started there.")
	RackStartsAway     = counter("rack_start_away", "tasks", "Tasks with a preferred rack that started elsewhere.")
	RackAway           = counters("rack_away", "decisions", "Why tasks did not wait for their rack, or no longer.", "pays", "no_rack", "too_long", "no_gain", "expired")
)

// Metrics of the policy service.
var (
	PolicyWaits         = gauge("policy_waits", "steps", "Steps that wait for a ticket of the policy service.")
	OldestPolicyWait    = gauge("policy_oldest_wait_seconds", "seconds", "Age of the oldest of these waits.")
	PolicyQueries       = histogram("policy_query", "Time of a query to the policy service.")
	FailedPolicyQueries = counter("policy_query_failed", "queries", "Queries without a usable answer.")
	LapsedTickets       = counter("ticket_lapsed", "tickets", "Tickets that ran out unused.")
	RefusedTickets      = counter("ticket_refused", "starts", "Starts that the worker refused for want of a valid ticket.")
)
