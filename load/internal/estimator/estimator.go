package estimator

import "fmt"

// Size is the size to work out.
type Size struct {
	Entries      float64
	Sidecars     float64 // one beside each engine or service engine
	Services     float64 // of them, plain services
	Requests     float64 // a second
	Accounts     float64
	Changes      float64 // of configuration, a day
	Restarts     float64 // of VMs, a day
	Domain       float64 // backend servers in one failure domain
	Copies       float64 // entries that hear one sidecar
	Session      float64 // seconds until a sidecar proves its role by a call again
	Silence      float64 // seconds for which calls to a server fail until it is gone
	Ask          float64 // seconds between questions to a server that fails
	Asked        float64 // servers asked at once
	Apart        float64 // seconds for which regions lose each other
	Regions      float64
	Greet        float64 // seconds between rounds of greetings
	PushWait     float64 // seconds that changes no gate decides by may wait
	Poll         float64 // seconds between an entry's reads of the head
	SidecarPoll  float64 // seconds between a sidecar's reads of the head
	RetriesSaved float64 // retries that one entry may save up
}

// Letter is the size that the users' first letter asks for, with the settings
// that the system would run with there.
var Letter = Size{
	Entries: 340, Sidecars: 12_000, Services: 40, Requests: 8_700, Accounts: 30_000, Changes: 23_000, Restarts: 3_000, Domain: 1_200,
	Copies: 4, Session: 3600, Silence: 3, Ask: 1, Asked: 8, Apart: 3600, Regions: 3, Greet: 10, PushWait: 6, Poll: 1, SidecarPoll: 30, RetriesSaved: 20,
}

// Budgets of the letter and of the brief.
const (
	budgetBytes  = 3_000.0 // of control a second and node
	budgetCore   = 0.025   // of a core for control
	budgetMemory = 256.0   // MB for control
	budgetReads  = 2_000.0 // of the table service a second
	budgetWrites = 300.0   // the low end of "several hundred"
	budgetSpread = 10.0    // seconds until a change is in force everywhere
	budgetPeriod = 60.0    // seconds between heartbeats at the most
)

// leastBeats is the part of the budget that heartbeats always get, as of
// core/pacer.
const leastBeats = 0.25

// askBytes is what a question to a server costs that does not answer: the first
// packet of a connection, twice.
const askBytes = 120.0

// sharePeriod is how often a sidecar of a plain service says that it lives, in
// seconds.
const sharePeriod = 60.0

const (
	day    = 86_400.0 // seconds
	micro  = 1e-6
	nano   = 1e-9
	mega   = 1e6
	decide = 2.0 // placements and looks at limits for each request, with retries
)

// Line is one worked-out quantity.
type Line struct {
	Role   string
	What   string
	Value  float64
	Unit   string
	Budget float64 // 0 is none
}

// Fits reports whether the value is within its budget.
func (l Line) Fits() bool { return l.Budget == 0 || l.Value <= l.Budget }

// String writes the line as key=value pairs.
func (l Line) String() string {
	text := fmt.Sprintf("role=%s what=%s value=%.4g unit=%s", l.Role, l.What, l.Value, l.Unit)
	if l.Budget == 0 {
		return text
	}
	return fmt.Sprintf("%s budget=%g fits=%t", text, l.Budget, l.Fits())
}

// Lines works out every quantity at a size.
func Lines(s Slopes, z Size) []Line {
	lines := entry(s, z)
	lines = append(lines, sidecar(s, z)...)
	lines = append(lines, platform(s, z)...)
	return append(lines, events(s, z)...)
}

// traffic is what an entry spends on control in bytes a second, and how far
// apart the heartbeats come that the rest leaves room for.
type traffic struct {
	heard, greets, pushes, calls float64
	period                       float64 // seconds
	beats                        float64 // bytes a second
}

// control works out an entry's traffic. more is what comes to the usual in an
// event, in bytes a second.
func control(s Slopes, z Size, more float64) traffic {
	t := traffic{
		heard:  z.Sidecars * z.Copies / z.Entries,
		greets: 2 * s["greet_bytes"] / z.Greet, // its own round and, on average, another one
		pushes: pushed(z) * z.Sidecars / z.Entries * s["direct_bytes"],
	}
	t.calls = t.heard / z.Session * s["beat_bytes"]
	left := max(budgetBytes-t.greets-t.pushes-t.calls-more, leastBeats*budgetBytes)
	t.period = min(t.heard*s["datagram_bytes"]/left, budgetPeriod)
	t.beats = t.heard * s["datagram_bytes"] / t.period
	return t
}

func (t traffic) sum() float64 { return t.greets + t.pushes + t.calls + t.beats }

// pushed is how many pushes a second a sidecar gets.
func pushed(z Size) float64 { return 1 / (day/z.Changes + z.PushWait) }

func entry(s Slopes, z Size) []Line {
	changes := z.Changes / day
	t := control(s, z, 0)
	pushes := pushed(z) * z.Sidecars / z.Entries
	core := (t.heard/t.period*s["datagram_cpu_us"] + t.heard/z.Session*s["beat_cpu_us"] + s["greet_cpu_us"]/z.Greet +
		pushes*s["push_cpu_us"] + changes*s["apply_cpu_us"]) * micro
	decisions := z.Requests / z.Entries * decide * (s["pick_cpu_ns"] + s["take_cpu_ns"]) * nano
	return []Line{
		{Role: "entry", What: "sidecars_heard", Value: t.heard, Unit: "servers"},
		{Role: "entry", What: "heartbeat_period", Value: t.period, Unit: "s", Budget: budgetPeriod},
		{Role: "entry", What: "heartbeat_bytes", Value: t.beats, Unit: "B/s"},
		{Role: "entry", What: "heartbeat_call_bytes", Value: t.calls, Unit: "B/s"},
		{Role: "entry", What: "greeting_bytes", Value: t.greets, Unit: "B/s"},
		{Role: "entry", What: "push_bytes", Value: t.pushes, Unit: "B/s"},
		{Role: "entry", What: "control_bytes", Value: t.sum(), Unit: "B/s", Budget: budgetBytes},
		{Role: "entry", What: "control_core", Value: core, Unit: "core", Budget: budgetCore},
		{Role: "entry", What: "decision_core", Value: decisions, Unit: "core"},
		{Role: "entry", What: "control_memory", Value: s["entry_rss_mb"] + z.Accounts*2*s["account_heap"]/mega, Unit: "MB", Budget: budgetMemory},
		{Role: "entry", What: "dead_server_called", Value: z.Silence + z.Ask, Unit: "s"},
		{Role: "entry", What: "dead_server_idle", Value: 3*t.period + z.Greet, Unit: "s"},
	}
}

func sidecar(s Slopes, z Size) []Line {
	changes := z.Changes / day
	beats := z.Copies / control(s, z, 0).period
	bytes := beats*s["datagram_bytes"] + z.Copies/z.Session*s["beat_bytes"] + pushed(z)*s["direct_bytes"]
	return []Line{
		{Role: "sidecar", What: "control_bytes", Value: bytes, Unit: "B/s", Budget: budgetBytes},
		{Role: "sidecar", What: "control_core", Value: s["sidecar_idle_core"] + changes*s["apply_cpu_us"]*micro, Unit: "core", Budget: budgetCore},
		{Role: "sidecar", What: "control_memory", Value: s["sidecar_rss_mb"] + z.Accounts*2*s["account_heap"]/mega, Unit: "MB", Budget: budgetMemory},
	}
}

func platform(s Slopes, z Size) []Line {
	changes := z.Changes / day
	polls := z.Entries/z.Poll + z.Sidecars/z.SidecarPoll + z.Services/sharePeriod
	return []Line{
		{Role: "table", What: "head_reads", Value: polls, Unit: "1/s"},
		{Role: "table", What: "reads", Value: polls + changes*s["change_reads"], Unit: "1/s", Budget: budgetReads},
		{Role: "table", What: "change_writes", Value: changes * s["change_writes"], Unit: "1/s"},
		{Role: "table", What: "once_writes", Value: z.Services * s["shared_txn_s"], Unit: "1/s"},
		{Role: "table", What: "once_writes_unshared", Value: z.Services * s["once_txn_s"], Unit: "1/s"},
		{Role: "table", What: "share_writes", Value: z.Services / sharePeriod, Unit: "1/s"},
		{Role: "table", What: "writes", Value: changes*s["change_writes"] + z.Services*(s["shared_txn_s"]+1/sharePeriod), Unit: "1/s", Budget: budgetWrites},
		{Role: "table", What: "once_call_added", Value: s["shared_call_ms"], Unit: "ms"},
		{Role: "objects", What: "snapshot", Value: z.Accounts * s["account_snapshot"] / mega, Unit: "MB"},
	}
}

func events(s Slopes, z Size) []Line {
	owned := z.Sidecars / z.Entries
	chain := (z.Entries + owned) * s["push_cpu_us"] * micro
	lines := []Line{
		{Role: "change", What: "urgent_in_force", Value: chain, Unit: "s", Budget: budgetSpread},
		{Role: "change", What: "other_in_force", Value: chain + z.PushWait + 1, Unit: "s", Budget: budgetSpread},
		{Role: "change", What: "lost_push_mended", Value: z.Poll * 1.5, Unit: "s", Budget: budgetSpread},
	}
	lines = append(lines, domainLost(s, z)...)
	lines = append(lines, restarts(s, z)...)
	return append(lines, regionsApart(s, z)...)
}

// domainLost works out the minute after a failure domain is lost: its servers
// are asked until they are gone, then a few in each round, and operators take
// it out, which goes to every sidecar from two entries.
func domainLost(s Slopes, z Size) []Line {
	const minute = 60.0
	t := control(s, z, 0)
	lost := t.heard * z.Domain / z.Sidecars
	asks := min(lost, z.Asked)*(z.Silence+z.Ask)/z.Ask + min(lost, z.Asked)*minute/z.Greet
	order := 2 * z.Sidecars / z.Entries * s["direct_bytes"] / minute
	more := asks*askBytes/minute + order
	after := control(s, z, more)
	moved := z.Requests * z.Domain / z.Sidecars
	return []Line{
		{Role: "domain_lost", What: "servers_lost_of_heard", Value: lost, Unit: "servers"},
		{Role: "domain_lost", What: "requests_a_second_moved", Value: moved, Unit: "1/s", Budget: z.Entries * z.RetriesSaved},
		{Role: "domain_lost", What: "first_tries_failed_at_an_entry", Value: moved / z.Entries * (z.Silence + z.Ask), Unit: "requests", Budget: z.RetriesSaved},
		{Role: "domain_lost", What: "asks_in_the_minute", Value: asks, Unit: "calls"},
		{Role: "domain_lost", What: "ask_bytes", Value: asks * askBytes / minute, Unit: "B/s"},
		{Role: "domain_lost", What: "order_bytes", Value: order, Unit: "B/s"},
		{Role: "domain_lost", What: "control_bytes", Value: after.sum() + more, Unit: "B/s", Budget: budgetBytes},
		{Role: "domain_lost", What: "heartbeat_period", Value: after.period, Unit: "s", Budget: budgetPeriod},
		{Role: "domain_lost", What: "return_call_bytes", Value: lost * s["beat_bytes"], Unit: "B"},
	}
}

// restarts works out a day's restarts: each process reads a snapshot from the
// object store; a sidecar calls its entries, an entry is called by its sidecars.
func restarts(s Slopes, z Size) []Line {
	t := control(s, z, 0)
	of := z.Restarts / (z.Entries + z.Sidecars) / day // of one process, a second
	calls := t.heard * of * s["beat_bytes"]
	return []Line{
		{Role: "restarts", What: "snapshot_bytes", Value: z.Restarts / day * z.Accounts * s["account_snapshot"], Unit: "B/s"},
		{Role: "restarts", What: "call_bytes_at_an_entry", Value: calls, Unit: "B/s", Budget: budgetBytes - t.sum() + t.beats},
		{Role: "restarts", What: "calls_to_a_new_entry", Value: t.heard * s["beat_bytes"] / t.period, Unit: "B/s", Budget: budgetBytes},
	}
}

// regionsApart works out what regions that lost each other cost an entry: its
// sidecars move to entries that they reach, and the changes that it missed are
// caught up, by itself and by its sidecars, once they meet again.
func regionsApart(s Slopes, z Size) []Line {
	t := control(s, z, 0)
	away := t.heard * (z.Regions - 1) / z.Regions
	missed := z.Changes / day * z.Apart * s["change_bytes"]
	owned := z.Sidecars / z.Entries
	return []Line{
		{Role: "apart", What: "servers_silent_of_heard", Value: away, Unit: "servers"},
		{Role: "apart", What: "moving_call_bytes", Value: away * s["beat_bytes"], Unit: "B"},
		{Role: "apart", What: "ask_bytes", Value: min(away, z.Asked) / z.Greet * askBytes, Unit: "B/s"},
		{Role: "apart", What: "changes_missed", Value: z.Changes / day * z.Apart, Unit: "changes"},
		{Role: "apart", What: "catch_up_bytes", Value: missed * (1 + owned), Unit: "B"},
		{Role: "apart", What: "catch_up_at_budget", Value: missed * (1 + owned) / budgetBytes, Unit: "s", Budget: budgetSpread},
	}
}
