package capacity

// term is one summand of a need: intercept + slope × driver, with the intercept
// and slope of one measurement.
type term struct {
	slope  string
	driver string
	// noIntercept omits the intercept. It is set if another term already
	// includes it.
	noIntercept bool
}

// need is a resource that a role uses.
type need struct {
	role string
	name string
	unit string
	// scale converts the sum of the terms to unit.
	scale float64
	terms []term
	// budgetOf returns the limit for the need, zero if the budget states none.
	// It is nil if the need never has a limit.
	budgetOf func(Budget) float64
	// mechanism describes the mechanism that meets the need. It is
	// mechanismFallback if the need arises only when another mechanism fails.
	mechanism string
}

// The roles, as shown on the capacity page.
const (
	roleEvery      = "every instance"
	roleLookup     = "look-up server"
	roleForwarder  = "forwarder"
	roleWatcher    = "zone's watcher"
	roleHolder     = "share holder"
	roleSummariser = "summariser"
	roleTables     = "platform's table service"
	roleObjects    = "platform's object store"
	roleOperator   = "operators' command"
)

// nanosecond is one nanosecond in seconds.
const nanosecond = 1e-9

// mechanismFallback marks needs that arise only when another mechanism fails.
const mechanismFallback = "the fall-back only"

func coreBudget(b Budget) float64    { return b.CoreFraction }
func memoryBudget(b Budget) float64  { return b.MemoryBytes }
func controlBudget(b Budget) float64 { return b.ControlBytesPerSecond }
func readsBudget(b Budget) float64   { return b.StoreReadsPerSecond }
func writesBudget(b Budget) float64  { return b.StoreWritesPerSecond }
func inForceBudget(b Budget) float64 { return b.InForceSeconds }

// needs lists the needs of all roles. The slopes are named as in the slopes file.
var needs = []need{
	{roleEvery, "processor, idle", "cores", nanosecond, []term{{slope: "idle_ns_per_s", driver: "targets"}}, coreBudget, "ticks, probes of the zone's targets, reads of the store"},
	{roleEvery, "bytes, all control traffic when idle", "B/s", 1, []term{{slope: "control_bytes_per_s", driver: "zone_daemons"}}, controlBudget, "heartbeats, probes, summaries, reads of the store"},
	{roleEvery, "memory, process with the tables", "B", 1, []term{{slope: "process_rss_bytes", driver: "targets"}}, memoryBudget, "one immutable snapshot of the tables"},
	{roleLookup, "processor, matching client blocks", "cores", nanosecond, []term{{slope: "block_lookup_ns", driver: "lookups_per_daemon"}}, coreBudget, "sorted prefixes in pages, searched through samples"},
	{roleLookup, "processor, HTTP look-ups", "cores", nanosecond, []term{{slope: "http_lookup_ns", driver: "lookups_per_daemon"}}, coreBudget, "answers from one immutable snapshot"},
	{roleLookup, "processor, applying block deltas", "cores", nanosecond, []term{{slope: "block_delta_ns", driver: "block_changes_per_second"}}, coreBudget, "copies of the pages that change"},
	{roleLookup, "memory, client blocks", "B", 1, []term{{slope: "block_v4_bytes", driver: "blocks_v4"}, {slope: "block_v6_bytes", driver: "blocks_v6", noIntercept: true}}, memoryBudget, "8 bytes an IPv4 block, 12 an IPv6 block"},
	{roleForwarder, "processor, forwarding", "cores", nanosecond, []term{{slope: "forward_ns", driver: "requests_per_daemon"}}, coreBudget, "streaming with pooled buffers"},
	{roleForwarder, "processor, decisions", "cores", nanosecond, []term{{slope: "decide_ns", driver: "requests_per_daemon"}}, coreBudget, "choice among the zone's own targets"},
	{roleWatcher, "bytes, watching the head", "B/s", 1, []term{{slope: "head_poll_bytes", driver: "polls_per_watcher"}}, controlBudget, "conditional reads"},
	{roleWatcher, "bytes, learning edits by patches", "B/s", 1, []term{{slope: "learn_edit_bytes", driver: "changes_per_second"}}, controlBudget, "the rows that an edit changes, checked by the hash of the whole"},
	{roleWatcher, "processor, learning edits by patches", "cores", nanosecond, []term{{slope: "learn_edit_ns", driver: "target_loads_per_second", noIntercept: true}}, coreBudget, "hash and validation of the whole"},
	{roleWatcher, "bytes, if each version were read whole", "B/s", 1, []term{{slope: "tables_bytes", driver: "target_loads_per_second", noIntercept: true}}, controlBudget, mechanismFallback},
	{roleWatcher, "processor, if each version were read whole", "cores", nanosecond, []term{{slope: "tables_load_ns", driver: "target_loads_per_second", noIntercept: true}}, coreBudget, mechanismFallback},
	{roleWatcher, "bytes, telling the zone", "B/s", 1, []term{{slope: "propagation_bytes_per_s", driver: "zone_daemons"}}, controlBudget, "digests, then content to those that lack it"},
	{roleWatcher, "time from acceptance to in force", "s", 1, []term{{slope: "in_force_seconds", driver: "zone_daemons"}}, inForceBudget, "watchers by rendezvous hash in each zone"},
	{roleHolder, "bytes, transfers of shares under load", "B/s", 1, []term{{slope: "transfer_bytes_per_s", driver: "zone_daemons"}}, controlBudget, "shares by target and region"},
	{roleSummariser, "bytes, summaries of the sites", "B/s", 1, []term{{slope: "summary_bytes_per_s", driver: "sites"}}, controlBudget, "deltas between zones"},
	{roleTables, "reads, idle", "reads/s", 1, []term{{slope: "zone_reads_per_s", driver: "zones"}}, readsBudget, "a few watchers in each zone"},
	{roleTables, "writes, accepted edits", "writes/s", 1, []term{{slope: "edit_writes", driver: "changes_per_second", noIntercept: true}}, writesBudget, "two transactions an edit"},
	{roleTables, "writes, share ledger", "writes/s", 1, []term{{slope: "ledger_writes_per_s", driver: "zones"}}, writesBudget, "one row for each zone"},
	{roleTables, "writes, churn of instances", "writes/s", 1, []term{{slope: "churn_writes", driver: "churn_per_second", noIntercept: true}}, writesBudget, "registration, and reclaim of shares"},
	{roleObjects, "reads, watchers", "reads/s", 1, []term{{slope: "load_object_reads", driver: "watcher_loads_per_second", noIntercept: true}}, readsBudget, "one object for each version and watcher"},
	{roleObjects, "bytes of one version", "B", 1, []term{{slope: "tables_bytes", driver: "targets"}}, nil, "canonical JSON"},
	{roleOperator, "processor time of one edit", "s", nanosecond, []term{{slope: "edit_ns", driver: "targets"}}, nil, "parse, validate, compare, accept"},
}
