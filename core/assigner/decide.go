package assigner

import (
	"time"

	"bamboohill/core/predictor"
)

// Decision is what to do with a prompt now.
type Decision int

// Decisions.
const (
	Serve Decision = iota // according to the plan
	Wait                  // and decide again later: capacity may become free in time
	Refuse
)

// Decide returns what to do with a prompt. It protects against bursts that exceed
// the capacity of the engines: a prompt queued in an overloaded engine would be
// late, and so would all prompts behind it. A prompt that would be late because of
// others waits at the entry while capacity may still become free in time, and is
// refused as soon as that is impossible, so that accepted prompts are served in
// time. A prompt that would be late even on an idle engine is accepted if its wait
// is short. The largest prompts, whose prefill time grows with the square of their
// size, are refused if serving them would cost other prompts more than their own
// value.
func Decide(p Prompt, plan Plan, all []Candidate) Decision {
	p = p.complete()
	if acceptable(p, plan, all) {
		return Serve
	}
	if p.Waited < maxWait(p) {
		return Wait
	}
	if plan.Cost+plan.OpportunityCost <= p.Value && onTime(p, plan, all) || !plan.MemoryShort && mostlyIdle(p, all) {
		return Serve
	}
	return Refuse
}

// MaxWait returns how long a prompt may wait at the entry before Decide serves or refuses it.
func MaxWait(p Prompt) time.Duration { return max(0, maxWait(p.complete())) }

func maxWait(p Prompt) time.Duration {
	most := time.Duration(p.tuning.MaxWaitShare * float64(p.Target-p.Terms.ServeReserve))
	if p.CallerTimeout > 0 {
		most = min(most, time.Duration(p.tuning.MaxTimeoutShare*float64(p.CallerTimeout)))
	}
	return most
}

// acceptable reports whether the prompt should be served without further waiting:
// it is expected in time, at a cost well below its value.
func acceptable(p Prompt, plan Plan, all []Candidate) bool {
	return plan.Cost+plan.OpportunityCost <= p.tuning.MaxCostShare*p.Value && onTime(p, plan, all)
}

// onTime reports whether a prompt is expected about in time, or about as soon as on
// an idle engine.
func onTime(p Prompt, plan Plan, all []Candidate) bool {
	if len(all) == 0 {
		return false
	}
	engine := all[0].Engine // all engines of a service are of the same kind
	alone := engine.FirstToken(predictor.Batch{}, engine.PrefillTime(p.Tokens))
	most := max(p.tuning.MaxLateness*float64(p.Target), p.tuning.MaxIdleFactor*float64(alone))
	return float64(p.Waited+plan.Expected) <= most
}

// mostlyIdle reports whether the engines have free capacity although a prompt would
// be late. Many callers that retry at the same time, after an outage of entries, are
// then served late but displace no other requests.
func mostlyIdle(p Prompt, all []Candidate) bool {
	slots, taken := 0, 0
	for i := range all {
		slots += all[i].Engine.Slots
		taken += all[i].Load.Running
	}
	return float64(taken) < p.tuning.IdleShare*float64(slots) && p.PrefillLoad < p.tuning.IdlePrefill
}
