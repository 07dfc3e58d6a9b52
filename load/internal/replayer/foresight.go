package replayer

import (
	"time"

	"bamboohill/core/assigner"
)

// Foresight tells entries the true rates that the load will have, which no entry can know,
// to find out what a forecast of demand could gain at most. The engines are put in an order
// that all entries share. The first of them, as many as the short prompts of the time ahead
// need, are for short prompts; the others are left for large ones, and cost a short prompt
// more.
type Foresight struct {
	Horizon time.Duration // over which rates are known
	Keep    float64       // cost of an engine that is left for large prompts, in values of the answers of least value
	Room    bool          // leave only the engines that the large prompts ahead need
}

const (
	slotShare   = 0.6 // of the slots that decoding requests take on average
	roomFactor  = 1.5 // engines left for large prompts, relative to their mean prefill
	sharedOrder = 0   // seed of the order
)

// line returns which share of the engines is for short prompts, given the rates from a time on.
func (f *Foresight) line(l *Load, at time.Duration) float64 {
	short, large := 0.0, 0.0
	tightest := l.Classes[0].Gap
	for _, c := range l.Classes {
		tightest = min(tightest, c.Gap)
	}
	for i, c := range l.Classes {
		tokens, slots := int(c.Tokens.Mean), l.Engine.Slots
		prefill := l.Engine.PrefillTime(tokens).Seconds()
		answer := c.Events.Mean * l.Engine.DecodeTime(slots/2, slots/2*tokens).Seconds()
		need := c.Rate * l.meanFactor(i, at, f.Horizon) * (prefill + (prefill+answer)/(slotShare*float64(slots)))
		if c.Gap == tightest {
			short += need
		} else {
			large += need
		}
	}
	share := short / float64(l.Engines)
	if f.Room {
		share = max(share, 1-roomFactor*large/float64(l.Engines))
	}
	return share
}

// apply raises the cost of the engines that are left for large prompts, if the prompt is a
// short one.
func (f *Foresight) apply(l *Load, at time.Duration, p *assigner.Prompt, all []assigner.Candidate) {
	if !p.Terms.Tight(p.Gap) {
		return
	}
	line := f.line(l, at)
	for i := range all {
		if assigner.EntryRank(sharedOrder, all[i].ID) >= line {
			all[i].EntryRank += f.Keep / assigner.DefaultTuning().RankCost
		}
	}
}

// meanFactor returns the mean factor on the rate of a class over a time.
func (l *Load) meanFactor(class int, from, length time.Duration) float64 {
	const steps = 20
	sum := 0.0
	for i := range steps {
		sum += l.factor(class, from+length*time.Duration(i)/steps)
	}
	return sum / steps
}
