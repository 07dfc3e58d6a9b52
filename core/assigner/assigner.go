// Package assigner decides which model engines serve a prompt. It answers two
// load patterns that alternate within seconds: floods of short prompts, whose
// writers bear only short pauses, and waves of long ones, whose reading fills
// engines for seconds and makes everyone beside them pause.
//
// Each way of serving a prompt, on one engine or read by several, is priced in
// the value of the answers that it probably makes late: its own, and those of
// the writers at each engine that would read. So short prompts pack onto few
// engines, long ones are read by many at once, away from them, and how far one
// gives way to the other follows from what is under way.
//
// The package is pure.
//
// # Usage
//
//	plan, found := assigner.Choose(prompt, candidates)
package assigner

import (
	"cmp"
	"math"
	"slices"
	"time"

	"bamboohill/core/bookkeeper"
	"bamboohill/core/predictor"
	"bamboohill/core/viewer"

	"github.com/cespare/xxhash/v2"
)

// Prompt is what is to be placed.
type Prompt struct {
	Tokens        int           // to read
	Answer        int           // most tokens to write
	Target        time.Duration // until the first event
	Gap           time.Duration // longest pause between events
	Waited        time.Duration // since the request came
	CallerTimeout time.Duration // that the caller waits at all; 0 if unknown
	PrefillLoad   float64       // share of all engines that reading lately asked for keeps busy
	UpdateDelay   time.Duration // until this entry hears of what others place
	off           Features      // of the policy that are switched off
}

// Candidate is one engine that could serve.
type Candidate struct {
	ID        viewer.ServerID
	Engine    *predictor.Engine
	Load      bookkeeper.Load
	Slowdown  float64 // how many times slower than normal; 0 means 1
	EntryRank float64 // 0 to 1: the deciding entry's own order among like engines
}

// Plan is a way to serve a prompt.
type Plan struct {
	Server          viewer.ServerID
	Helpers         []viewer.ServerID // that read parts of the prompt
	Reserved        []int             // tokens to reserve at each helper; nil if the server holds all
	Context         int               // tokens that the server holds
	MemoryShort     bool              // there is too little memory for it
	PrefillTime     time.Duration     // that each of them does
	Expected        time.Duration     // until the first event
	Cost            float64           // value of the answers that it probably makes late
	OpportunityCost float64           // value of the answers that its reading displaces
}

// MaxHelpers is the largest number of helpers of one prompt.
const MaxHelpers = 16

// sizes are the numbers of parts that are tried: steps of a quarter or so, since
// the cost changes little between them.
var sizes = [...]int{1, 2, 3, 4, 5, 6, 8, 10, 13, MaxHelpers + 1}

// Constants of the prices.
const (
	// tokensPerValue: an answer is worth one more for each of these tokens.
	// Callers pay by the token, beside a floor for the request.
	tokensPerValue = 10_000.0
	// leastPart is the smallest part of a prompt worth sending to a helper, in
	// tokens: below it a pass costs more than reading.
	leastPart = 4_096
	// riskCenter and riskWidth shape how likely a time is missed: of the
	// predictions at 0.95 of a limit half are late, at 0.8 of it one in ten.
	riskCenter, riskWidth = 0.95, 0.06
	// openCost is what it costs to bring tight writers to an engine that has
	// none: it is lost to long prompts until they end.
	openCost = 0.35
	// haste prices the wait itself, so that of two ways in time the faster is
	// taken.
	haste = 0.08
	// aheadCost weighs the delay of a request whose reading others overtake: it
	// is overtaken more than once.
	aheadCost = 2
	// slotWait is how long a slot of a full engine takes to come free, at its
	// longest: answers last some two seconds on sixteen slots.
	slotWait = 250 * time.Millisecond
	// answerTime is how long an answer lasts and rush how much faster than that
	// slots are taken when a burst begins: with both, the slots that others take
	// before this entry hears of it.
	answerTime = 2 * time.Second
	rush       = 2
	// orderCost is how far entries differ in their liking of like engines: about
	// what a short answer is worth, so that each fills engines of its own first
	// and others' before it is late.
	orderCost = 2.0
	// readingValue is what a second of an engine earns with the usual mix of
	// prompts, and busyFrom to busyTo the share of busy engines over which it
	// becomes scarce.
	readingValue     = 4.0
	busyFrom, busyTo = 0.3, 0.8
	// memoryShare is the part of an engine's memory that is planned with, and
	// ownShare the part of that which a spread prompt takes where it writes.
	memoryShare, ownShare = 0.95, 0.8
	// memoryWait is how long memory takes to come free at an engine that has
	// too little: about the length of an answer.
	memoryWait = 2 * time.Second
)

// bounds of the pauses that writers bear, by bookkeeper.Pause.
var bounds = [...]time.Duration{200 * time.Millisecond, 500 * time.Millisecond, 800 * time.Millisecond}

// targets until the first event, by bookkeeper.Pause: of the routes that have
// such pauses.
var targets = [...]time.Duration{300 * time.Millisecond, 1500 * time.Millisecond, 3 * time.Second}

// values of the answers of writers, by bookkeeper.Pause: of the sizes that
// routes with such pauses usually have.
var values = [...]float64{1.5, 4, 18}

// Value is what an answer in time is worth, against that of the smallest.
func Value(tokens int) float64 { return 1 + float64(tokens)/tokensPerValue }

// Choose returns the cheapest plan. It reports false if there is no candidate.
func Choose(p Prompt, all []Candidate) (Plan, bool) {
	var best Plan
	found := false
	most := min(len(all), MaxHelpers+1, max(1, p.Tokens/leastPart))
	for _, parts := range sizes {
		if parts > most || parts > 1 && !p.on(Helpers) {
			break
		}
		plan := cheapest(p, all, parts)
		if !found || plan.Cost < best.Cost {
			best, found = plan, true
		}
	}
	best.OpportunityCost = price(p, best)
	return best, found
}

// price returns what reading costs those that come after: nothing while engines
// are idle, and what it earns elsewhere once all are busy.
func price(p Prompt, plan Plan) float64 {
	if !p.on(PrefillScarcity) {
		return 0
	}
	scarce := min(1, max(0, (p.PrefillLoad-busyFrom)/(busyTo-busyFrom)))
	work := plan.PrefillTime.Seconds() * float64(1+len(plan.Helpers))
	return readingValue * scarce * work
}

// Decision says what becomes of a prompt now.
type Decision int

// Verdicts.
const (
	Serve Decision = iota // as planned
	Wait                  // and ask again: room may come in time
	Reject
)

// Decide says what becomes of a prompt. It answers the load pattern of a flood
// beyond what the engines hold: whoever then waits in an engine is late, and so
// is everyone behind. A prompt that can't be in time because of others waits at
// the entry while room may come, and is turned down at once when it can't, so
// that those that are taken are in time. One that would be late at an idle
// engine too is taken if it waits little. The largest prompts, whose reading
// grows with the square of their size, are turned down when it would cost
// others more than they are worth.
func Decide(p Prompt, plan Plan, all []Candidate) Decision {
	if acceptable(p, plan, all) {
		return Serve
	}
	if p.Waited < patience(p) {
		return Wait
	}
	if plan.Cost+plan.OpportunityCost <= Value(p.Tokens) && inTime(p, plan, all) || !plan.MemoryShort && idle(p, all) {
		return Serve
	}
	return Reject
}

// patience returns how long a prompt may wait here.
func patience(p Prompt) time.Duration {
	most := time.Duration(waitMost * float64(p.Target-waitReserve))
	if p.CallerTimeout > 0 {
		most = min(most, time.Duration(limitMost*float64(p.CallerTimeout)))
	}
	return most
}

// acceptable reports whether waiting has nothing to offer: the prompt is in
// time, at a cost well below its value.
func acceptable(p Prompt, plan Plan, all []Candidate) bool {
	return plan.Cost+plan.OpportunityCost <= waitCost*Value(p.Tokens) && inTime(p, plan, all)
}

// inTime reports whether a prompt is expected about in time, or about as soon as
// an idle engine would serve it.
func inTime(p Prompt, plan Plan, all []Candidate) bool {
	if len(all) == 0 {
		return false
	}
	engine := all[0].Engine // those of one service are alike
	alone := expect(Candidate{Engine: engine}, engine.PrefillTime(p.Tokens), false)
	most := max(lateMost*float64(p.Target), aloneMost*float64(alone))
	return float64(p.Waited+plan.Expected) <= most
}

// idle reports whether engines have room all the same: a herd that returns at
// one moment, after an outage of entries, is late but displaces nobody.
func idle(p Prompt, all []Candidate) bool {
	slots, taken := 0, 0
	for _, c := range all {
		slots += c.Engine.Slots
		taken += c.Load.Running
	}
	return float64(taken) < idleMost*float64(slots) && p.PrefillLoad < busyFrom
}

// Bounds of what Decide accepts. Predictions err by about a fifth.
const (
	lateMost  = 1.2 // time until the first event, against the target
	aloneMost = 1.5 // and against an idle engine
	waitMost  = 0.5 // wait at the entry, against what the target leaves
	limitMost = 0.2 // and against what the caller waits at all
	waitCost  = 0.5 // cost against the value of a prompt, above which it waits
	// waitReserve is what the target must leave for serving: a prompt of the
	// tightest target has nothing to wait with.
	waitReserve = 250 * time.Millisecond
	// idleMost is the share of slots up to which engines count as idle: what
	// comes then is a moment's herd and no flood.
	idleMost = 0.5
)

// member is a candidate with the price of its share.
type member struct {
	Candidate
	expected time.Duration
	harm     float64
	rank     float64
}

// cheapest returns a plan with the given number of parts.
func cheapest(p Prompt, all []Candidate, parts int) Plan {
	value := Value(p.Tokens)
	members := make([]member, 0, len(all))
	for _, c := range all {
		share := pace(c, c.Engine.PrefillTime(p.Tokens)/time.Duration(parts))
		m := member{Candidate: c, expected: expect(c, share, parts > 1), harm: harm(p, c, share)}
		wait := m.expected
		if p.on(EntryRanks) {
			m.rank = orderCost * c.EntryRank
		}
		if parts == 1 {
			wait += slotFor(c)
			m.rank += ownCost(p, c, value)
			if p.Tokens+p.Answer > free(c) {
				m.rank += value
			}
		}
		m.rank += m.harm + value*(risk(p.Waited+wait, p.Target)+haste*ratio(wait, p.Target))
		members = append(members, m)
	}
	slices.SortFunc(members, func(a, b member) int { return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.ID, b.ID)) })
	members = members[:parts]
	first := lead(p, members, value)
	plan := Plan{Server: members[first].ID, PrefillTime: members[first].Engine.PrefillTime(p.Tokens) / time.Duration(parts)}
	for i, m := range members {
		plan.Cost += m.harm
		wait := m.expected
		if i == first {
			wait += slotFor(m.Candidate)
		} else {
			plan.Helpers = append(plan.Helpers, m.ID)
		}
		plan.Expected = max(plan.Expected, wait)
	}
	if !spread(p, members, first, &plan) {
		plan.MemoryShort = true
		plan.Expected += memoryWait
		plan.Cost += value
	}
	plan.Cost += value * (risk(p.Waited+plan.Expected, p.Target) + haste*ratio(plan.Expected, p.Target))
	plan.Cost += ownCost(p, members[first].Candidate, value)
	return plan
}

// lead picks the member that writes: the one where writing costs least.
func lead(p Prompt, members []member, value float64) int {
	best, least := 0, math.Inf(1)
	for i, m := range members {
		cost := ownCost(p, m.Candidate, value) + value*ratio(slotFor(m.Candidate), p.Target)
		cost += float64(m.Load.Context) / float64(max(1, m.Engine.Capacity))
		if cost < least {
			best, least = i, cost
		}
	}
	return best
}

// ownCost prices what the prompt suffers and changes as a writer: pauses beside
// readers, and an engine opened to tight writers.
func ownCost(p Prompt, c Candidate, value float64) float64 {
	pass := c.Engine.PassTime(predictor.Batch{Decoding: c.Load.Writing() + 1, Context: c.Load.Context, Prefill: c.Load.Reading})
	cost := value * risk(pace(c, pass), p.Gap)
	if p.on(Packing) && bookkeeper.PauseOf(p.Gap) == bookkeeper.Tight && c.Load.Writers[bookkeeper.Tight] == 0 {
		cost += openCost
	}
	if p.on(UnseenPlacements) {
		cost += value * crowded(p, c)
	}
	return cost
}

// crowded returns how likely other entries have taken the slots that an engine
// seems to have free. It answers the load pattern of a burst that reaches many
// entries at once: each sees the same engine with one slot left, and all but one
// of their prompts then wait for as long as an answer lasts.
func crowded(p Prompt, c Candidate) float64 {
	free := c.Engine.Slots - c.Load.Running
	if free <= 0 {
		return 1
	}
	mean := rush * float64(c.Load.Others) * float64(p.UpdateDelay) / float64(answerTime)
	term := math.Exp(-mean)
	fit := term
	for n := 1; n < free; n++ {
		term *= mean / float64(n)
		fit += term
	}
	return max(0, 1-fit)
}

// slotFor returns how long a prompt waits for a slot.
func slotFor(c Candidate) time.Duration {
	return time.Duration(max(0, c.Load.Running+1-c.Engine.Slots)) * slotWait
}

// free returns the tokens that an engine can still hold, less a reserve for
// answers that grow.
func free(c Candidate) int {
	return max(0, int(memoryShare*float64(c.Engine.Capacity))-c.Load.Context)
}

// spread decides where the memory of a prompt lies: at the engine that writes
// if it fits there, else also in reservations at the helpers, in proportion to
// what they have free. It reports false if there is too little.
func spread(p Prompt, members []member, first int, plan *Plan) bool {
	need := p.Tokens + p.Answer
	own := free(members[first].Candidate)
	plan.Context = need
	if need <= own {
		return true
	}
	sum := 0
	for i, m := range members {
		if i != first {
			sum += free(m.Candidate)
		}
	}
	if need > own+sum {
		return false
	}
	rest := need - int(ownShare*float64(own)*min(1, float64(need)/float64(own+sum)))
	plan.Context = need
	for i, m := range members {
		if i == first {
			continue
		}
		held := min(free(m.Candidate), 1+int(float64(rest)*float64(free(m.Candidate))/float64(sum)))
		plan.Reserved = append(plan.Reserved, held)
		plan.Context -= held
	}
	plan.Context = max(0, plan.Context)
	return plan.Context <= own
}

// expect returns the time until an engine has read a share and written. The
// newest part of a prompt that several read goes ahead of all other reading.
func expect(c Candidate, share time.Duration, part bool) time.Duration {
	b := predictor.Batch{Decoding: c.Load.Writing(), Context: c.Load.Context, Prefill: c.Load.Reading}
	if part {
		b.Prefill = 0
	}
	return pace(c, c.Engine.FirstToken(b, share))
}

// harm prices what a share of reading does to those at the engine.
func harm(p Prompt, c Candidate, share time.Duration) float64 {
	b := predictor.Batch{Decoding: c.Load.Writing(), Context: c.Load.Context, Prefill: c.Load.Reading}
	before := pace(c, c.Engine.PassTime(b))
	b.Prefill += share
	after := pace(c, c.Engine.PassTime(b))
	sum := 0.0
	for i, n := range c.Load.Writers {
		sum += float64(n) * values[i] * (risk(after, bounds[i]) - risk(before, bounds[i]))
	}
	if !p.on(Overtaking) {
		return sum
	}
	// A part goes ahead of what those that wait here have still to read.
	for i, n := range c.Load.Waiting {
		sum += float64(n) * values[i] * min(1, aheadCost*ratio(share, targets[i]))
	}
	return sum
}

func pace(c Candidate, d time.Duration) time.Duration {
	if c.Slowdown <= 1 {
		return d
	}
	return time.Duration(c.Slowdown * float64(d))
}

func ratio(d, limit time.Duration) float64 {
	if limit <= 0 {
		return 0
	}
	return float64(d) / float64(limit)
}

// risk returns how likely a predicted time turns out over its limit.
func risk(d, limit time.Duration) float64 {
	if limit <= 0 {
		return 0
	}
	return 1 / (1 + math.Exp(-(ratio(d, limit)-riskCenter)/riskWidth))
}

// EntryRank returns the place of an engine in an entry's own order among like
// engines, as Candidate.EntryRank. The seed tells entries apart. Entries with late
// word of each other so meet at few engines, and need no agreement for it.
func EntryRank(seed uint64, id viewer.ServerID) float64 {
	z := seed + xxhash.Sum64String(string(id))
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return float64((z^z>>31)>>11) / (1 << 53)
}
