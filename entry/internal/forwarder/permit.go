package forwarder

import (
	"errors"
	"strings"
	"time"

	"bamboohill/core/permitter"
	"bamboohill/core/translator"
	"bamboohill/core/viewer"
)

// Errors of a placement at servers that take no request now.
var (
	errLimited = errors.New("backend servers take no more requests now") // not in time, because of the limits that they name
	errResting = errors.New("backend servers have asked for rest")
)

// permitWaitShare is the part of its time for which a request waits for a permit, if its
// route has no target latency, and a stream that has begun for a server that takes it.
const permitWaitShare = 0.5

// hear records what an answer of a backend server to a request that was sent at asked says
// about the server. A zero asked means that the answer was not one to a caller's request.
// An answer of another server at its address says nothing about it.
func (f *Forwarder) hear(s *viewer.Server, v translator.Classification, asked time.Time, attempt string) {
	if v.OtherServer {
		return
	}
	now := time.Now()
	if len(v.Said.Invalid) > 0 {
		f.Meter.Add("invalid_statements", 1)
		if f.Permitter.ReportInvalid(s, now) {
			f.Log.Warn().Str("event", "server-said-invalid").Str("id", attempt).Str("server", string(s.ID)).
				Str("value", strings.Join(v.Said.Invalid, "; ")).Msg("")
		}
	}
	if f.Permitter.Record(s, v.Said, asked, now) {
		f.Log.Info().Str("event", "server-said").Str("id", attempt).Str("server", string(s.ID)).Int64("born", s.StartMillis).
			Float64("limit", v.Said.Limit).Bool("leaving", v.Said.Leaving).Float64("rest_s", v.Said.Rest.Seconds()).Msg("")
	}
}

// hearSkipped is hear for an answer that belongs to no request. It may be an old one, so the
// rest that it asks for may be over.
func (f *Forwarder) hearSkipped(s *viewer.Server, v translator.Classification, attempt string) {
	v.Said.Rest = 0
	f.hear(s, v, time.Time{}, attempt)
}

// isPermitted reports whether a placed request may be sent now. Since the placement the
// server may have named a limit, or it or a helper may have asked for rest or said that it
// leaves, or the permit may have expired.
func (x *exchange) isPermitted(p *placement) bool {
	now := time.Now()
	for _, s := range append([]*viewer.Server{p.server}, p.helpers...) {
		switch v := x.forwarder.Permitter.Check(s, now); v.Reason {
		case permitter.Resting, permitter.Leaving:
			x.cause = "withheld: " + string(v.Reason)
			return false
		case permitter.Allowed, permitter.Limited:
		}
	}
	if !p.permit.Expires.IsZero() {
		if !p.permit.Valid(now) {
			x.cause = "permit expired"
		}
		return p.permit.Valid(now)
	}
	permit, ok := x.forwarder.Permitter.Take(p.server, now)
	if !ok {
		x.cause = errLimited.Error()
	}
	p.permit = permit
	return ok
}

// awaitPermit returns errWaitAlone if the request can expect a permit in time, else errLimited.
// The other servers rest until the given time, if it is not zero. A zero expected means
// that the time is not known yet. After a send that failed the wait begins anew, and a
// stream that has begun waits longer, as it would be cut otherwise.
func (x *exchange) awaitPermit(expected, rest, now time.Time) error {
	if x.permitSince.IsZero() {
		x.permitSince = now
		if x.history.sends == 0 {
			x.permitSince = x.received
		}
	}
	wait := time.Duration(permitWaitShare * float64(x.deadline.Sub(x.permitSince)))
	if x.route.TargetLatency > 0 && !x.relay.started.Load() {
		wait = min(wait, x.route.TargetLatency)
	}
	latest := x.permitSince.Add(wait)
	if now.After(latest) || expected.After(latest) {
		x.retryAt = expected
		if !rest.IsZero() && (expected.IsZero() || rest.Before(expected)) {
			x.retryAt = rest
		}
		return errLimited
	}
	return errWaitAlone
}

// awaitRest returns errResting, as all servers rest until the given time or longer. A
// stream that has begun waits for that, if it is within permitWaitShare of its time.
func (x *exchange) awaitRest(end, now time.Time) error {
	x.retryAt = end
	if x.relay.started.Load() && end.Sub(now) < time.Duration(permitWaitShare*float64(x.deadline.Sub(now))) {
		return errWaitAlone
	}
	return errResting
}
