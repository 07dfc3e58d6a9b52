package assigner

import (
	"cmp"
	"math"
	"slices"
	"time"

	"bamboohill/core/predictor"
	"bamboohill/core/profiler"
)

// engine is a candidate with what does not depend on the number of parts.
type engine struct {
	*Candidate
	batch       predictor.Batch
	prefill     time.Duration              // of the whole prompt
	before      [profiler.MaxKinds]float64 // probability that decoding requests of a kind pause for too long now
	slotDelay   time.Duration
	decoderCost float64
	free        int     // tokens
	rank        float64 // 0 to 1, see setRanks
}

func newEngine(p Prompt, c *Candidate) engine {
	e := engine{
		Candidate: c, prefill: c.Engine.PrefillTime(p.Tokens), free: freeTokens(p.tuning, c),
		batch: predictor.Batch{Decoding: c.Load.DecodingTotal(), Context: c.Load.ContextTokens, Prefill: c.Load.Prefill},
	}
	e.slotDelay = time.Duration(max(0, c.Load.Running+1-c.Engine.Slots)) * p.Terms.SlotWait
	e.decoderCost = decoderCost(p, &e)
	if e.batch.Decoding > 0 {
		pass := slowed(c, c.Engine.PassTime(e.batch))
		for i := range p.Terms.Kinds {
			if c.Load.Decoding[i] != 0 {
				e.before[i] = p.tuning.risk(pass, p.Terms.Kinds[i].Pause)
			}
		}
	}
	return e
}

// score is the score of an engine for a part of the prompt.
type score struct {
	*engine
	expected     time.Duration
	interference float64
	score        float64
}

// bestPlan returns a plan with the given number of parts, on the engines with the lowest
// scores. It overwrites scored.
func bestPlan(p Prompt, engines []engine, scored []score, parts int) Plan {
	scored = scored[:0]
	for i := range engines {
		e := &engines[i]
		if parts > 1 && e.NoHelper {
			continue
		}
		scored = append(scored, newScore(p, e, parts))
	}
	slices.SortFunc(scored, func(a, b score) int { return cmp.Or(cmp.Compare(a.score, b.score), cmp.Compare(a.ID, b.ID)) })
	members := scored[:parts]
	decoder := selectDecoder(p, members)
	plan := Plan{Server: members[decoder].ID, PrefillTime: members[decoder].prefill / time.Duration(parts)}
	for i, m := range members {
		plan.Cost += m.interference
		wait := m.expected
		if i == decoder {
			wait += m.slotDelay
		} else {
			plan.Helpers = append(plan.Helpers, m.ID)
		}
		plan.Expected = max(plan.Expected, wait)
	}
	if !allocateMemory(p, members, decoder, &plan) {
		plan.MemoryShort = true
		plan.Expected += p.Terms.AnswerTime // until memory becomes free
		plan.Cost += p.Value
	}
	plan.Cost += p.Value * (p.tuning.risk(p.Waited+plan.Expected, p.Target) + p.tuning.LatencyWeight*ratio(plan.Expected, p.Target))
	plan.Cost += members[decoder].decoderCost
	return plan
}

func newScore(p Prompt, e *engine, parts int) score {
	prefill := e.prefill / time.Duration(parts)
	s := score{engine: e, expected: firstEventTime(e, prefill, parts > 1), interference: interference(p, e, prefill)}
	wait := s.expected
	if p.enabled(EntryRanks) {
		s.score = p.tuning.RankCost * p.Terms.LeastValue * e.rank
	}
	if parts == 1 {
		wait += e.slotDelay
		s.score += e.decoderCost
		if p.Tokens+p.Answer > e.free {
			s.score += p.Value
		}
	}
	s.score += s.interference + p.Value*(p.tuning.risk(p.Waited+wait, p.Target)+p.tuning.LatencyWeight*ratio(wait, p.Target))
	return s
}

// selectDecoder returns the index of the member that decodes the answer: the one where
// decoding costs least.
func selectDecoder(p Prompt, members []score) int {
	best, least := 0, math.Inf(1)
	for i, m := range members {
		cost := m.decoderCost + p.Value*ratio(m.slotDelay, p.Target)
		cost += float64(m.Load.ContextTokens) / float64(max(1, m.Engine.Capacity))
		if cost < least {
			best, least = i, cost
		}
	}
	return best
}

// decoderCost returns the cost of decoding the answer on an engine: of pauses due to
// prefill there, and of opening an engine to requests with a tight pause limit.
func decoderCost(p Prompt, e *engine) float64 {
	b := e.batch
	b.Decoding++
	cost := p.Value * p.tuning.risk(slowed(e.Candidate, e.Engine.PassTime(b)), p.Gap)
	if p.enabled(Packing) && p.Terms.Tight(p.Gap) && !decodesTight(p.Terms, e) {
		cost += p.tuning.OpeningCost * p.Terms.LeastValue
	}
	if p.enabled(UnseenPlacements) {
		cost += p.Value * occupancyRisk(p, e.Candidate)
	}
	return cost
}

// decodesTight reports whether an engine decodes requests with a tight pause limit.
func decodesTight(t *profiler.Parameters, e *engine) bool {
	for i := range t.Kinds {
		if e.Load.Decoding[i] > 0 && t.Tight(t.Kinds[i].Pause) {
			return true
		}
	}
	return false
}

// occupancyRisk returns the probability that other entries have taken all slots that
// this entry considers free. It matters if a burst reaches many entries at once:
// each of them sees the same engine with one free slot, and all but one of their
// prompts then wait for the duration of an answer.
func occupancyRisk(p Prompt, c *Candidate) float64 {
	freeSlots := c.Engine.Slots - c.Load.Running
	if freeSlots <= 0 {
		return 1
	}
	mean := p.tuning.BurstFactor * float64(c.Load.PeerRunning) * ratio(p.UpdateDelay, p.Terms.AnswerTime)
	if mean == 0 {
		return 0
	}
	term := math.Exp(-mean)
	atMost := term
	for n := 1; n < freeSlots; n++ {
		term *= mean / float64(n)
		atMost += term
	}
	return max(0, 1-atMost)
}

// firstEventTime returns the time until an engine has completed its prefill, given at
// normal speed, and has generated the first event. split says that the prompt is split: its parts are
// prefilled before all other prompts, the newest first.
func firstEventTime(e *engine, prefill time.Duration, split bool) time.Duration {
	b := e.batch
	if split {
		b.Prefill = 0
	}
	return slowed(e.Candidate, e.Engine.FirstToken(b, prefill))
}

// interference returns the cost that additional prefill, given at normal speed, causes to
// other requests on the engine.
func interference(p Prompt, e *engine, prefill time.Duration) float64 {
	sum := 0.0
	if e.batch.Decoding > 0 {
		b := e.batch
		b.Prefill += prefill
		after := slowed(e.Candidate, e.Engine.PassTime(b))
		for i := range p.Terms.Kinds {
			if n := e.Load.Decoding[i]; n != 0 {
				sum += float64(n) * p.lateCost(i) * (p.tuning.risk(after, p.Terms.Kinds[i].Pause) - e.before[i])
			}
		}
	}
	if !p.enabled(Overtaking) {
		return sum
	}
	// A part of a split prompt is prefilled before the prompts that wait here.
	for i := range p.Terms.Kinds {
		if n := e.Load.Prefilling[i]; n != 0 {
			sum += float64(n) * p.lateCost(i) * min(1, p.tuning.OvertakeWeight*ratio(slowed(e.Candidate, prefill), p.Terms.Kinds[i].Target))
		}
	}
	return sum
}

// slowed returns the duration d of work on an engine, adjusted by its slowdown.
func slowed(c *Candidate, d time.Duration) time.Duration {
	if c.Slowdown <= 1 {
		return d
	}
	return time.Duration(c.Slowdown * float64(d))
}

// ratio returns d as a share of its limit, or 0 if there is no limit.
func ratio(d, limit time.Duration) float64 {
	if limit <= 0 {
		return 0
	}
	return float64(d) / float64(limit)
}

// risk returns the probability that a time predicted as d exceeds its limit.
func (t *Tuning) risk(d, limit time.Duration) float64 {
	if limit <= 0 {
		return 0
	}
	return 1 / (1 + math.Exp(-(ratio(d, limit)-t.RiskCenter)/t.RiskWidth))
}
