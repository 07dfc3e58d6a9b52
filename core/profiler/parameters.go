package profiler

import (
	"math"
	"time"

	"bamboohill/core/predictor"
	"bamboohill/core/viewer"
)

// Terms are what the cost model needs to know of a kind.
type Terms struct {
	Pause  time.Duration // longest pause between two events; 0 for none
	Target time.Duration // time to the first event; 0 for none
	Value  float64       // of a mean answer in time, in units of the smallest one
	Rank   int           // 0 is the most urgent
}

// Parameters are what the cost model of package assigner needs to know of the requests to
// one service. They are immutable.
type Parameters struct {
	Kinds        []Terms       // by index in Kinds
	Count        int           // of the elements of Kinds that belong to the service
	TightPause   time.Duration // requests with at most this pause are packed; 0 if none are
	SlotWait     time.Duration // maximum time until a slot of a full engine becomes free
	AnswerTime   time.Duration // mean time for which a request holds its slot, and its memory
	ServeReserve time.Duration // part of a target that a prompt must not spend waiting at the entry
	LeastValue   float64       // value of a mean answer of the kind with the least
	PrefillValue float64       // value that an engine earns per second
	Valuing      Valuing
	PerValue     float64   // prompt tokens that add one to the value of an answer by size; TokensPerValue if 0
	sizes        []float64 // mean prompt of each kind, in tokens
	lowest       int       // rank of the least urgent kind
}

// Reasons of the factors below hold for any customer: they compare quantities of the same
// load, or the limits of its kinds.
const (
	// tightFactor is the largest ratio of a pause to the tightest one at which both count
	// as tight, and looseFactor the ratio of the longest pause to the tightest one from
	// which packing pays: a pass that is too long for the tight must be fine for others.
	tightFactor, looseFactor = 1.25, 2.0
	// reserveFactor is the time to serve a first event, in tightest pauses. Engines work
	// in passes of at most that pause, and a first event takes the rest of one pass and
	// the next one.
	reserveFactor = 1.25
	// slotWaitFactor is the ratio of the maximum time until one of the slots becomes free
	// to the mean.
	slotWaitFactor = 2
	// usualLoad is the share of time in which an engine is taken to earn value while there
	// are too few samples: that at which engines begin to be scarce.
	usualLoad = 0.3
)

// Size of requests to services for which the configuration names none, in tokens: the
// prompt whose value is twice that of the smallest one.
const (
	defaultPrompt = TokensPerValue
	defaultAnswer = 1_000
)

// Derive returns the parameters for one service, from the kinds of the configuration and
// the traffic of all entries to the given number of its engines.
func Derive(kinds *Kinds, service viewer.ServiceName, traffic Traffic, engines int, valuing Valuing) *Parameters {
	s := kinds.services[service]
	if s == nil || s.Engine == nil {
		s = &viewer.Service{Engine: &predictor.Engine{Slots: 1}}
	}
	usual := s.Usual
	if usual.Prompt <= 0 {
		usual.Prompt = defaultPrompt
	}
	if usual.Answer <= 0 {
		usual.Answer = defaultAnswer
	}
	usualHeld := usualSlotTime(s.Engine, usual).Seconds()
	p := &Parameters{Kinds: make([]Terms, kinds.Len()), sizes: make([]float64, kinds.Len()), Valuing: valuing}
	p.setLimits(kinds, service)
	rate, held, earned, seen := 0.0, 0.0, 0.0, 0.0
	for i := range p.Kinds {
		k := kinds.At(i)
		sample := traffic[k]
		p.sizes[i] = sample.Prompt(float64(usual.Prompt))
		p.Kinds[i].Value = p.valueAt(i, p.sizes[i], k.Rank)
		if k.Service != service {
			continue
		}
		r := sample.Rate()
		rate += r
		held += r * sample.Held(usualHeld)
		earned += r * p.Kinds[i].Value
		seen += sample.Usual.Prompts
		if p.LeastValue == 0 || p.Kinds[i].Value < p.LeastValue {
			p.LeastValue = p.Kinds[i].Value
		}
	}
	usualValue := p.meanValue(float64(usual.Prompt))
	if p.LeastValue == 0 {
		p.LeastValue = usualValue
	}
	answer := usualHeld
	if rate > 0 {
		answer = held / rate
	}
	p.setTimes(time.Duration(answer*float64(time.Second)), s.Engine)
	work := s.Engine.PrefillTime(usual.Prompt).Seconds() + answer/float64(max(1, s.Engine.Slots))
	p.PrefillValue = usualLoad * usualValue / max(work, math.SmallestNonzeroFloat32)
	if seen >= floor && engines > 0 {
		p.PrefillValue = earned / float64(engines)
	}
	return p
}

// setLimits sets what follows from the limits of the kinds alone.
func (p *Parameters) setLimits(kinds *Kinds, service viewer.ServiceName) {
	tightest, longest := noLimit, time.Duration(0)
	for i := range p.Kinds {
		k := kinds.At(i)
		p.Kinds[i] = Terms{Pause: k.Pause, Target: k.Target, Rank: k.Rank}
		if k.Service != service {
			continue
		}
		p.Count++
		p.lowest = max(p.lowest, k.Rank)
		tightest, longest = min(tightest, limit(k.Pause)), max(longest, limit(k.Pause))
	}
	if tightest == noLimit {
		return
	}
	p.ServeReserve = time.Duration(reserveFactor * float64(tightest))
	if float64(longest) >= looseFactor*float64(tightest) {
		p.TightPause = time.Duration(tightFactor * float64(tightest))
	}
}

// setTimes sets what follows from the time for which a request holds its slot.
func (p *Parameters) setTimes(answer time.Duration, e *predictor.Engine) {
	p.AnswerTime = answer
	p.SlotWait = slotWaitFactor * answer / time.Duration(max(1, e.Slots))
}

// usualSlotTime returns the time for which a request of the usual size holds a slot of an
// engine of which half are taken.
func usualSlotTime(e *predictor.Engine, usual viewer.Size) time.Duration {
	half := max(1, e.Slots/2)
	steps := max(1, e.StepsPerPass)
	passes := (usual.Answer + steps - 1) / steps
	return e.PrefillTime(usual.Prompt) + time.Duration(passes)*e.DecodeTime(half, half*(usual.Prompt+usual.Answer))
}

// Tight reports whether requests with a pause are packed on engines that decode others
// like them.
func (p *Parameters) Tight(pause time.Duration) bool { return pause > 0 && pause <= p.TightPause }
