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
	Beat         float64 // seconds between heartbeats
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
	Copies: 4, Beat: 60, Greet: 10, PushWait: 6, Poll: 1, SidecarPoll: 30, RetriesSaved: 20,
}

// Budgets of the letter and of the brief.
const (
	budgetBytes  = 3_000.0 // of control a second and node
	budgetCore   = 0.025   // of a core for control
	budgetMemory = 256.0   // MB for control
	budgetReads  = 2_000.0 // of the table service a second
	budgetWrites = 300.0   // the low end of "several hundred"
	budgetSpread = 10.0    // seconds until a change is in force everywhere
)

// Sizes in bytes of a push that goes as a datagram, and of a heartbeat with its
// answer.
const (
	datagramPush = 80.0
	datagramBeat = 305.0
)

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

func entry(s Slopes, z Size) []Line {
	heard := z.Sidecars * z.Copies / z.Entries
	owned := z.Sidecars / z.Entries
	changes := z.Changes / day
	beats := heard / z.Beat
	pushes := owned / (1/changes + z.PushWait)
	greets := 2 * s["greet_bytes"] / z.Greet // its own round and, on average, another one
	bytes := beats*s["beat_bytes"] + greets + pushes*s["push_bytes"]
	small := beats*datagramBeat + greets + pushes*datagramPush
	core := (beats*s["beat_cpu_us"] + s["greet_cpu_us"]/z.Greet + pushes*s["push_cpu_us"] + changes*s["apply_cpu_us"]) * micro
	decisions := z.Requests / z.Entries * decide * (s["pick_cpu_ns"] + s["take_cpu_ns"]) * nano
	return []Line{
		{Role: "entry", What: "sidecars_heard", Value: heard, Unit: "servers"},
		{Role: "entry", What: "heartbeats", Value: beats, Unit: "1/s"},
		{Role: "entry", What: "heartbeat_bytes", Value: beats * s["beat_bytes"], Unit: "B/s"},
		{Role: "entry", What: "greeting_bytes", Value: greets, Unit: "B/s"},
		{Role: "entry", What: "push_bytes", Value: pushes * s["push_bytes"], Unit: "B/s"},
		{Role: "entry", What: "control_bytes", Value: bytes, Unit: "B/s", Budget: budgetBytes},
		{Role: "entry", What: "control_bytes_as_datagrams", Value: small, Unit: "B/s", Budget: budgetBytes},
		{Role: "entry", What: "control_core", Value: core, Unit: "core", Budget: budgetCore},
		{Role: "entry", What: "decision_core", Value: decisions, Unit: "core"},
		{Role: "entry", What: "control_memory", Value: s["entry_rss_mb"] + z.Accounts*2*s["account_heap"]/mega, Unit: "MB", Budget: budgetMemory},
	}
}

func sidecar(s Slopes, z Size) []Line {
	changes := z.Changes / day
	beats := z.Copies / z.Beat
	pushes := 1 / (1/changes + z.PushWait)
	return []Line{
		{Role: "sidecar", What: "control_bytes", Value: beats*s["beat_bytes"] + pushes*s["push_bytes"], Unit: "B/s", Budget: budgetBytes},
		{Role: "sidecar", What: "control_core", Value: s["sidecar_idle_core"] + changes*s["apply_cpu_us"]*micro, Unit: "core", Budget: budgetCore},
		{Role: "sidecar", What: "control_memory", Value: s["sidecar_rss_mb"] + z.Accounts*2*s["account_heap"]/mega, Unit: "MB", Budget: budgetMemory},
	}
}

func platform(s Slopes, z Size) []Line {
	changes := z.Changes / day
	polls := z.Entries/z.Poll + z.Sidecars/z.SidecarPoll
	return []Line{
		{Role: "table", What: "head_reads", Value: polls, Unit: "1/s"},
		{Role: "table", What: "reads", Value: polls + changes*s["change_reads"], Unit: "1/s", Budget: budgetReads},
		{Role: "table", What: "change_writes", Value: changes * s["change_writes"], Unit: "1/s"},
		{Role: "table", What: "once_writes", Value: z.Services * s["once_txn_s"], Unit: "1/s"},
		{Role: "table", What: "writes", Value: changes*s["change_writes"] + z.Services*s["once_txn_s"], Unit: "1/s", Budget: budgetWrites},
		{Role: "objects", What: "snapshot", Value: z.Accounts * s["account_snapshot"] / mega, Unit: "MB"},
	}
}

func events(s Slopes, z Size) []Line {
	owned := z.Sidecars / z.Entries
	chain := (z.Entries + owned) * s["push_cpu_us"] * micro
	inHand := z.Requests * z.Domain / z.Sidecars
	return []Line{
		{Role: "change", What: "urgent_in_force", Value: chain, Unit: "s", Budget: budgetSpread},
		{Role: "change", What: "other_in_force", Value: chain + z.PushWait + 1, Unit: "s", Budget: budgetSpread},
		{Role: "change", What: "lost_push_mended", Value: z.Poll * 1.5, Unit: "s", Budget: budgetSpread},
		{Role: "domain_lost", What: "requests_a_second_moved", Value: inHand, Unit: "1/s", Budget: z.Entries * z.RetriesSaved},
		{Role: "restarts", What: "snapshot_bytes", Value: z.Restarts / day * z.Accounts * s["account_snapshot"], Unit: "B/s"},
	}
}
