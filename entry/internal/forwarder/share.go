package forwarder

import (
	"time"

	"bamboohill/core/predictor"
	"bamboohill/core/viewer"
)

// recordDemand records that the account of the request asks for work.
func (x *exchange) recordDemand(now time.Time) {
	if x.account != "" {
		x.forwarder.Sharer.RecordDemand(x.service.Name, x.account, x.work(), now)
	}
}

// recordUse records that work of the account was placed.
func (x *exchange) recordUse(now time.Time) {
	if x.account != "" {
		x.forwarder.Sharer.RecordUse(x.service.Name, x.account, x.work(), now)
	}
}

// work returns the work of the request in seconds of a backend server, as far as its
// header says: for a prompt the prefill time and the slot's part of the time to decode the
// longest answer, for a call its target.
func (x *exchange) work() float64 {
	e := x.service.Engine
	if e == nil || x.route.Kind != viewer.Streaming {
		return x.route.TargetLatency.Seconds()
	}
	steps := float64(x.call.Answer) / float64(max(1, e.StepsPerPass))
	pass := e.PassTime(predictor.Batch{Decoding: 1, Context: x.call.Prompt})
	return e.PrefillTime(x.call.Prompt).Seconds() + steps*pass.Seconds()/float64(max(1, e.Slots))
}
