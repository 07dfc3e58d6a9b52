package estimator

import "fmt"

// Size describes a deployment.
type Size struct {
	Entries             float64
	Sidecars            float64 // one for each engine or service engine
	Services            float64 // number of sidecars of plain services
	Requests            float64 // per second
	Accounts            float64
	Changes             float64 // configuration changes per day
	Restarts            float64 // VM restarts per day
	DomainServers       float64 // backend servers per failure domain
	EntriesPerSidecar   float64 // entries that receive the heartbeats of one sidecar
	SessionSeconds      float64 // seconds until a sidecar must prove its role again by a call
	FailureTimeout      float64 // seconds of failed calls until a server counts as dead
	ProbeInterval       float64 // seconds between probes of a failing server
	ConcurrentProbes    float64 // concurrent probes of an entry
	PartitionSeconds    float64 // duration of a network partition between regions, in seconds
	Regions             float64
	GossipInterval      float64 // seconds between gossip rounds
	PushDelay           float64 // longest delay of pushes that no sidecar decision depends on, in seconds
	EntryPollInterval   float64 // seconds between an entry's reads of the head of the change log
	SidecarPollInterval float64 // seconds between a sidecar's reads of the head of the change log
	RetryReserve        float64 // retries that one entry may accumulate
}

// TargetSize is the deployment size that the users require, with the settings
// for that size.
var TargetSize = Size{
	Entries: 340, Sidecars: 12_000, Services: 40, Requests: 8_700, Accounts: 30_000, Changes: 23_000, Restarts: 3_000, DomainServers: 1_200,
	EntriesPerSidecar: 4, SessionSeconds: 3600, FailureTimeout: 3, ProbeInterval: 1, ConcurrentProbes: 8, PartitionSeconds: 3600, Regions: 3, GossipInterval: 10, PushDelay: 6, EntryPollInterval: 1, SidecarPollInterval: 30, RetryReserve: 20,
}

// Budgets that the users require.
const (
	budgetBytes       = 3_000.0 // control traffic in bytes per second and node
	budgetCore        = 0.025   // CPU cores for the control plane
	budgetMemory      = 256.0   // memory for the control plane, in MB
	budgetReads       = 2_000.0 // reads of the table service per second
	budgetWrites      = 300.0   // writes of the table service per second; low end of "several hundred"
	budgetPropagation = 10.0    // seconds until a change is active everywhere
	budgetPeriod      = 60.0    // longest heartbeat interval, in seconds
)

// minHeartbeatShare is the share of the traffic budget reserved for heartbeats,
// as in core/pacer.
const minHeartbeatShare = 0.25

// probeBytes is the cost of a probe of a server that does not respond: the first
// packet of a connection, sent twice.
const probeBytes = 120.0

// keepAliveSeconds is the interval at which a sidecar of a plain service
// registers as alive in the table service.
const keepAliveSeconds = 60.0

const (
	daySeconds          = 86_400.0
	micro               = 1e-6
	nano                = 1e-9
	mega                = 1e6
	decisionsPerRequest = 2.0 // placement decisions and limit checks per request, including retries
)

// Line is one estimated quantity.
type Line struct {
	Role     string
	Quantity string
	Value    float64
	Unit     string
	Budget   float64 // 0 if there is none
}

// Fits reports whether the value is within its budget.
func (l Line) Fits() bool { return l.Budget == 0 || l.Value <= l.Budget }

// String returns the line as key=value pairs.
func (l Line) String() string {
	text := fmt.Sprintf("role=%s what=%s value=%.4g unit=%s", l.Role, l.Quantity, l.Value, l.Unit)
	if l.Budget == 0 {
		return text
	}
	return fmt.Sprintf("%s budget=%g fits=%t", text, l.Budget, l.Fits())
}

// Lines returns all estimated quantities for a size.
func Lines(s Slopes, z Size) []Line {
	lines := entry(s, z)
	lines = append(lines, sidecar(s, z)...)
	lines = append(lines, platform(s, z)...)
	return append(lines, events(s, z)...)
}

// traffic is the control traffic of an entry, and the heartbeat interval that
// the budget allows.
type traffic struct {
	sidecars, gossip, pushes, calls float64
	period                          float64 // seconds
	heartbeats                      float64 // bytes per second
}

// controlTraffic returns an entry's control traffic. extra is the additional
// traffic of an event, in bytes per second.
func controlTraffic(s Slopes, z Size, extra float64) traffic {
	t := traffic{
		sidecars: z.Sidecars * z.EntriesPerSidecar / z.Entries,
		gossip:   2 * s["greet_bytes"] / z.GossipInterval, // its own round and, on average, one that another entry starts
		pushes:   pushRate(z) * z.Sidecars / z.Entries * s["direct_bytes"],
	}
	t.calls = t.sidecars / z.SessionSeconds * s["beat_bytes"]
	left := max(budgetBytes-t.gossip-t.pushes-t.calls-extra, minHeartbeatShare*budgetBytes)
	t.period = min(t.sidecars*s["datagram_bytes"]/left, budgetPeriod)
	t.heartbeats = t.sidecars * s["datagram_bytes"] / t.period
	return t
}

func (t traffic) total() float64 { return t.gossip + t.pushes + t.calls + t.heartbeats }

// pushRate returns the number of pushes per second to a sidecar.
func pushRate(z Size) float64 { return 1 / (daySeconds/z.Changes + z.PushDelay) }

func entry(s Slopes, z Size) []Line {
	changes := z.Changes / daySeconds
	t := controlTraffic(s, z, 0)
	pushes := pushRate(z) * z.Sidecars / z.Entries
	core := (t.sidecars/t.period*s["datagram_cpu_us"] + t.sidecars/z.SessionSeconds*s["beat_cpu_us"] + s["greet_cpu_us"]/z.GossipInterval +
		pushes*s["push_cpu_us"] + changes*s["apply_cpu_us"]) * micro
	decisions := z.Requests / z.Entries * decisionsPerRequest * (s["pick_cpu_ns"] + s["take_cpu_ns"]) * nano
	return []Line{
		{Role: "entry", Quantity: "sidecars_heard", Value: t.sidecars, Unit: "servers"},
		{Role: "entry", Quantity: "heartbeat_period", Value: t.period, Unit: "s", Budget: budgetPeriod},
		{Role: "entry", Quantity: "heartbeat_bytes", Value: t.heartbeats, Unit: "B/s"},
		{Role: "entry", Quantity: "heartbeat_call_bytes", Value: t.calls, Unit: "B/s"},
		{Role: "entry", Quantity: "greeting_bytes", Value: t.gossip, Unit: "B/s"},
		{Role: "entry", Quantity: "push_bytes", Value: t.pushes, Unit: "B/s"},
		{Role: "entry", Quantity: "control_bytes", Value: t.total(), Unit: "B/s", Budget: budgetBytes},
		{Role: "entry", Quantity: "control_core", Value: core, Unit: "core", Budget: budgetCore},
		{Role: "entry", Quantity: "decision_core", Value: decisions, Unit: "core"},
		{Role: "entry", Quantity: "control_memory", Value: s["entry_rss_mb"] + z.Accounts*2*s["account_heap"]/mega, Unit: "MB", Budget: budgetMemory},
		{Role: "entry", Quantity: "dead_server_called", Value: z.FailureTimeout + z.ProbeInterval, Unit: "s"},
		{Role: "entry", Quantity: "dead_server_idle", Value: 3*t.period + z.GossipInterval, Unit: "s"},
	}
}

func sidecar(s Slopes, z Size) []Line {
	changes := z.Changes / daySeconds
	heartbeats := z.EntriesPerSidecar / controlTraffic(s, z, 0).period
	bytes := heartbeats*s["datagram_bytes"] + z.EntriesPerSidecar/z.SessionSeconds*s["beat_bytes"] + pushRate(z)*s["direct_bytes"]
	return []Line{
		{Role: "sidecar", Quantity: "control_bytes", Value: bytes, Unit: "B/s", Budget: budgetBytes},
		{Role: "sidecar", Quantity: "control_core", Value: s["sidecar_idle_core"] + changes*s["apply_cpu_us"]*micro, Unit: "core", Budget: budgetCore},
		{Role: "sidecar", Quantity: "control_memory", Value: s["sidecar_rss_mb"] + z.Accounts*2*s["account_heap"]/mega, Unit: "MB", Budget: budgetMemory},
	}
}

func platform(s Slopes, z Size) []Line {
	changes := z.Changes / daySeconds
	polls := z.Entries/z.EntryPollInterval + z.Sidecars/z.SidecarPollInterval + z.Services/keepAliveSeconds
	return []Line{
		{Role: "table", Quantity: "head_reads", Value: polls, Unit: "1/s"},
		{Role: "table", Quantity: "reads", Value: polls + changes*s["change_reads"], Unit: "1/s", Budget: budgetReads},
		{Role: "table", Quantity: "change_writes", Value: changes * s["change_writes"], Unit: "1/s"},
		{Role: "table", Quantity: "once_writes", Value: z.Services * s["shared_txn_s"], Unit: "1/s"},
		{Role: "table", Quantity: "once_writes_unshared", Value: z.Services * s["once_txn_s"], Unit: "1/s"},
		{Role: "table", Quantity: "share_writes", Value: z.Services / keepAliveSeconds, Unit: "1/s"},
		{Role: "table", Quantity: "writes", Value: changes*s["change_writes"] + z.Services*(s["shared_txn_s"]+1/keepAliveSeconds), Unit: "1/s", Budget: budgetWrites},
		{Role: "table", Quantity: "once_call_added", Value: s["shared_call_ms"], Unit: "ms"},
		{Role: "objects", Quantity: "snapshot", Value: z.Accounts * s["account_snapshot"] / mega, Unit: "MB"},
	}
}

func events(s Slopes, z Size) []Line {
	sidecarsPerEntry := z.Sidecars / z.Entries
	chain := (z.Entries + sidecarsPerEntry) * s["push_cpu_us"] * micro
	lines := []Line{
		{Role: "change", Quantity: "urgent_in_force", Value: chain, Unit: "s", Budget: budgetPropagation},
		{Role: "change", Quantity: "other_in_force", Value: chain + z.PushDelay + 1, Unit: "s", Budget: budgetPropagation},
		{Role: "change", Quantity: "lost_push_mended", Value: z.EntryPollInterval * 1.5, Unit: "s", Budget: budgetPropagation},
	}
	lines = append(lines, failureDomainLoss(s, z)...)
	lines = append(lines, restarts(s, z)...)
	return append(lines, partition(s, z)...)
}

// failureDomainLoss estimates the minute after the loss of a failure domain.
// Its servers are probed until they count as dead, then a few in each gossip
// round. Operators exclude the domain, and two entries push that change to each
// sidecar.
func failureDomainLoss(s Slopes, z Size) []Line {
	const minute = 60.0
	t := controlTraffic(s, z, 0)
	lost := t.sidecars * z.DomainServers / z.Sidecars
	probes := min(lost, z.ConcurrentProbes)*(z.FailureTimeout+z.ProbeInterval)/z.ProbeInterval + min(lost, z.ConcurrentProbes)*minute/z.GossipInterval
	exclusion := 2 * z.Sidecars / z.Entries * s["direct_bytes"] / minute
	extra := probes*probeBytes/minute + exclusion
	after := controlTraffic(s, z, extra)
	moved := z.Requests * z.DomainServers / z.Sidecars
	return []Line{
		{Role: "domain_lost", Quantity: "servers_lost_of_heard", Value: lost, Unit: "servers"},
		{Role: "domain_lost", Quantity: "requests_a_second_moved", Value: moved, Unit: "1/s", Budget: z.Entries * z.RetryReserve},
		{Role: "domain_lost", Quantity: "first_tries_failed_at_an_entry", Value: moved / z.Entries * (z.FailureTimeout + z.ProbeInterval), Unit: "requests", Budget: z.RetryReserve},
		{Role: "domain_lost", Quantity: "asks_in_the_minute", Value: probes, Unit: "calls"},
		{Role: "domain_lost", Quantity: "ask_bytes", Value: probes * probeBytes / minute, Unit: "B/s"},
		{Role: "domain_lost", Quantity: "order_bytes", Value: exclusion, Unit: "B/s"},
		{Role: "domain_lost", Quantity: "control_bytes", Value: after.total() + extra, Unit: "B/s", Budget: budgetBytes},
		{Role: "domain_lost", Quantity: "heartbeat_period", Value: after.period, Unit: "s", Budget: budgetPeriod},
		{Role: "domain_lost", Quantity: "return_call_bytes", Value: lost * s["beat_bytes"], Unit: "B"},
	}
}

// restarts estimates the cost of a day's restarts. Each restarted process reads
// a snapshot from the object store; a sidecar calls its entries, and an entry is
// called by its sidecars.
func restarts(s Slopes, z Size) []Line {
	t := controlTraffic(s, z, 0)
	restartRate := z.Restarts / (z.Entries + z.Sidecars) / daySeconds // restarts of one process per second
	calls := t.sidecars * restartRate * s["beat_bytes"]
	return []Line{
		{Role: "restarts", Quantity: "snapshot_bytes", Value: z.Restarts / daySeconds * z.Accounts * s["account_snapshot"], Unit: "B/s"},
		{Role: "restarts", Quantity: "call_bytes_at_an_entry", Value: calls, Unit: "B/s", Budget: budgetBytes - t.total() + t.heartbeats},
		{Role: "restarts", Quantity: "calls_to_a_new_entry", Value: t.sidecars * s["beat_bytes"] / t.period, Unit: "B/s", Budget: budgetBytes},
	}
}

// partition estimates the cost of a network partition between regions for an
// entry. Its sidecars move to entries that they can reach; once the partition
// ends, the entry and its sidecars catch up on the changes that they missed.
func partition(s Slopes, z Size) []Line {
	t := controlTraffic(s, z, 0)
	unreachable := t.sidecars * (z.Regions - 1) / z.Regions
	missed := z.Changes / daySeconds * z.PartitionSeconds * s["change_bytes"]
	sidecarsPerEntry := z.Sidecars / z.Entries
	return []Line{
		{Role: "apart", Quantity: "servers_silent_of_heard", Value: unreachable, Unit: "servers"},
		{Role: "apart", Quantity: "moving_call_bytes", Value: unreachable * s["beat_bytes"], Unit: "B"},
		{Role: "apart", Quantity: "ask_bytes", Value: min(unreachable, z.ConcurrentProbes) / z.GossipInterval * probeBytes, Unit: "B/s"},
		{Role: "apart", Quantity: "changes_missed", Value: z.Changes / daySeconds * z.PartitionSeconds, Unit: "changes"},
		{Role: "apart", Quantity: "catch_up_bytes", Value: missed * (1 + sidecarsPerEntry), Unit: "B"},
		{Role: "apart", Quantity: "catch_up_at_budget", Value: missed * (1 + sidecarsPerEntry) / budgetBytes, Unit: "s", Budget: budgetPropagation},
	}
}
