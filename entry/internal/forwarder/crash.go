package forwarder

import (
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"slices"
	"syscall"
	"time"

	"bamboohill/core/detector"
	"bamboohill/core/quarantiner"
	"bamboohill/core/screener"
	"bamboohill/core/viewer"
	"bamboohill/wire"
)

// computeFingerprint identifies the request by its account, method, path and body. A
// request that crashes backend servers is typically sent again unchanged.
func (x *exchange) computeFingerprint() string {
	d := sha256.New()
	fmt.Fprintf(d, "%s %s ", x.r.Method, x.r.RequestURI)
	d.Write(x.body)
	return quarantiner.Fingerprint(x.account, d.Sum(nil))
}

// Reasons that callers of a blocked request get.
const (
	causeBlocked     = "this request crashed two backend servers"
	causeBlockedPart = "a part of this prompt crashed backend servers"
)

// fingerprints returns the fingerprints under which the request may be suspected: its own
// and those of the parts of its prompt. The body is hashed only while there are suspects.
func (x *exchange) fingerprints() []string {
	all := make([]string, 0, 1+len(x.call.Parts))
	all = append(all, x.fingerprint())
	for _, id := range x.call.Parts {
		all = append(all, screener.PartFingerprint(id))
	}
	return all
}

// isBlocked reports whether the request is blocked, as it or a part of its prompt has
// crashed backend servers through any entries.
func (x *exchange) isBlocked() bool {
	if x.forwarder.Screener.Empty() {
		return false
	}
	return x.refusedBy(x.forwarder.Screener.DecideAny(x.fingerprints()))
}

// trialSettleTime is the time in which an entry that wants to begin a trial hears of
// others that do.
const trialSettleTime = 60 * time.Millisecond

// mayNotSend reports whether the request is blocked now that it is about to be sent.
// It may have crashed servers while this copy of it waited. A trial begins here.
func (x *exchange) mayNotSend(ctx context.Context) bool {
	x.trial = false
	f := x.forwarder
	if f.Screener.Empty() {
		return false
	}
	d, suspect := f.Screener.AdmitAny(x.fingerprints())
	if d.Mode != quarantiner.Trial {
		return x.refusedBy(d, suspect)
	}
	select {
	case <-time.After(trialSettleTime):
	case <-ctx.Done():
	}
	x.trial = f.Screener.ConfirmTrial(suspect)
	if !x.trial {
		return x.refusedBy(f.Screener.DecideAny(x.fingerprints()))
	}
	f.Meter.Add("trials", 1)
	f.Log.Info().Str("event", "trial").Str("id", x.call.Attempt).Str("request", suspect).Msg("")
	return false
}

// refusedBy reports whether the decision on a fingerprint refuses the request, and logs
// it.
func (x *exchange) refusedBy(d quarantiner.Decision, suspect string) bool {
	if d.Mode != quarantiner.Blocked {
		return false
	}
	x.retryAt, x.blockedBy = d.Until, causeBlocked
	if suspect != x.fingerprint() {
		x.blockedBy = causeBlockedPart
	}
	x.forwarder.Meter.Add("convicted", 1)
	x.forwarder.Log.Info().Str("event", "refused-as-suspect").Str("id", x.call.Attempt).Str("request", suspect).
		Float64("for_s", cents(time.Until(d.Until).Seconds())).Msg("")
	return true
}

// examineSend passes the result of a send to the detector and the screener.
func (x *exchange) examineSend(p placement, result sendResult) {
	reported := x.running != nil && !x.forwarder.Detector.RecordEnd(x.running)
	x.running = nil
	switch {
	case (result == sendDone || result == sendFailed) && !x.unframed:
		x.recordFinish(p, reported)
		if result == sendDone && !x.firstEvent.IsZero() {
			x.recordServed()
		}
	case result == sendBroken || result == sendCanceled || result == sendAborted || x.unframed:
		x.recordUnfinished(p, result, reported)
	}
}

// recordFinish clears the request if it is suspected, as it has run to its end: it
// does not crash every server that runs it. If a crash under this run was reported,
// that was wrong.
func (x *exchange) recordFinish(p placement, reported bool) {
	f := x.forwarder
	if f.Screener.Empty() {
		return
	}
	began := time.Since(p.attempted)
	if reported {
		began = 0
	}
	if f.Screener.Accuse(&wire.Accusation{Fingerprint: x.fingerprint(), Cleared: true, AgeMs: began.Milliseconds()}) {
		f.Meter.Add("cleared", 1)
		f.Log.Info().Str("event", "suspicion-cleared").Str("id", x.call.Attempt).Str("request", x.fingerprint()).
			Str("server", string(p.server.ID)).Msg("")
	}
}

// servedTime is the time after its first event from which an answer shows that no part of
// the prompt crashes the server that begins to write on it.
const servedTime = 500 * time.Millisecond

// recordServed records that the parts of the prompt were served, once a send.
func (x *exchange) recordServed() {
	if x.served || len(x.call.Parts) == 0 {
		return
	}
	x.served = true
	x.forwarder.Screener.Served(x.call.Parts, x.firstEvent)
}

// recordUnfinished passes a send to the detector that may have ended with its
// backend server or a helper: it broke off, or the caller left or the time was up
// while the server was silent.
func (x *exchange) recordUnfinished(p placement, result sendResult, reported bool) {
	x.forwarder.Log.Info().Str("event", "send-broken").Str("id", x.call.Attempt).Str("request", x.fingerprint()).
		Strs("parts", x.call.Parts).Float64("wrote_ms", millis(x.writing(time.Now()))).
		Str("server", string(p.server.ID)).Int("helpers", len(p.helpers)).Str("outcome", result.String()).Bool("reported", reported).Msg("")
	if reported {
		return
	}
	servers := append([]*viewer.Server{p.server}, p.helpers...)
	x.recordBreak(servers, result == sendCanceled || result == sendAborted || time.Until(x.deadline) <= 0)
	if result == sendBroken {
		x.forwarder.probe(servers)
	}
}

// recordStart tells the detector that the request is being sent.
func (x *exchange) recordStart(p placement) {
	x.running = &detector.Running{
		Attempt: x.call.Attempt, Fingerprint: x.fingerprint, Parts: x.call.Parts, Trial: x.trial,
		Runs: runsOf(append([]*viewer.Server{p.server}, p.helpers...)),
	}
	x.forwarder.Detector.RecordStart(x.running)
}

func runsOf(servers []*viewer.Server) []detector.Run {
	runs := make([]detector.Run, len(servers))
	for i, s := range servers {
		runs[i] = detector.RunOf(s)
	}
	return runs
}

// recordBreak records that a send ended, possibly because one of the given backend
// servers, on which it ran, has crashed. Ended is set if the caller or the deadline
// ended it.
func (x *exchange) recordBreak(servers []*viewer.Server, ended bool) {
	x.forwarder.Detector.RecordBreak(detector.Break{
		Attempt: x.call.Attempt, Fingerprint: x.fingerprint(), Parts: x.call.Parts, Runs: runsOf(servers), At: time.Now(), Trial: x.trial, Ended: ended,
	})
}

// probe opens connections to the backend servers of a send that broke off. A crashed
// server refuses them. Without a probe only the next request that is placed there
// would notice that, or the expiry of the registration seconds later.
func (f *Forwarder) probe(servers []*viewer.Server) {
	for _, s := range servers {
		if !f.Detector.BeginProbe(s.ID, time.Now()) {
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
			defer cancel()
			f.Meter.Add("probes", 1)
			if connectionRefused(f.Connector.Probe(ctx, s.Address)) {
				f.recordRefused(s.ID)
			}
		}()
	}
}

// recordRefused records that a backend server refused a connection, and records
// the crashes that this confirms.
func (f *Forwarder) recordRefused(server viewer.ServerID) {
	now := time.Now()
	f.Detector.RecordRefused(server, now)
	f.RecordCrashes(now)
}

// probeTimeout is the time after which a probe that was not refused shows nothing.
const probeTimeout = 400 * time.Millisecond

// recentAnswer is the age of an answer up to which it shows that a server was alive
// when a request was sent.
const recentAnswer = time.Second

// wasAlive reports whether a helper is known to have been alive when the request
// was sent: it has reserved memory for it, or answered another request shortly
// before. A request is not suspected of the crash of a helper that was already gone.
func (x *exchange) wasAlive(p placement, helper *viewer.Server) bool {
	i := slices.Index(p.helpers, helper)
	reserved := i < len(p.work.HelperContextTokens) && p.work.HelperContextTokens[i] > 0
	return reserved || x.forwarder.Ejector.AnsweredSince(helper.ID, p.attempted.Add(-recentAnswer))
}

// connectionRefused reports whether a connection could not be opened because no
// process listens at the address.
func connectionRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// RecordCrashes records an accusation against each request whose backend server
// is confirmed to have crashed. The exchanger sends the accusations to the other
// entries. It must be called periodically.
func (f *Forwarder) RecordCrashes(now time.Time) {
	o := detector.Observations{Servers: f.Viewer.Load().Servers, AnsweredSince: f.Ejector.AnsweredSince}
	for _, v := range f.Detector.Examine(o, now) {
		if !v.Confirmed() {
			f.Meter.Add("breaks_dismissed", 1)
			f.Log.Info().Str("event", "break-dismissed").Str("id", v.Attempt).Str("request", v.Fingerprint).Float64("age_ms", millis(v.Age)).Str("reason", string(v.Evidence)).Msg("")
			continue
		}
		isNew := f.Screener.Accuse(&wire.Accusation{
			Fingerprint: v.Fingerprint, Server: string(v.Crashed.Server), Boot: uint64(v.Crashed.StartMillis), AgeMs: v.Age.Milliseconds(), Trial: v.Trial,
			Parts: slices.Clone(v.Parts),
		})
		f.Meter.Add("accused", 1)
		f.Log.Info().Str("event", "crash-suspected").Str("id", v.Attempt).Str("request", v.Fingerprint).Strs("parts", v.Parts).Str("server", string(v.Crashed.Server)).
			Int64("born", v.Crashed.StartMillis).Float64("age_ms", millis(v.Age)).Bool("new", isNew).Str("evidence", string(v.Evidence)).Bool("trial", v.Trial).Msg("")
	}
}
