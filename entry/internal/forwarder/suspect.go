package forwarder

import (
	"crypto/sha256"
	"errors"
	"fmt"
	"net/http"
	"syscall"
	"time"

	"bamboohill/core/connector"
	"bamboohill/core/quarantiner"
	"bamboohill/wire"
)

// fingerprint names the request by its caller, path and body: one that crashes
// backend servers comes again with all three.
func (x *exchange) fingerprint() string {
	d := sha256.New()
	fmt.Fprintf(d, "%s %s ", x.r.Method, x.r.RequestURI)
	d.Write(x.body)
	return quarantiner.Fingerprint(x.account, d.Sum(nil))
}

// judge refuses a request that has crashed two backend servers, through
// whichever entries. It returns the status of a refusal, or zero. Requests are
// hashed only while anybody is suspected.
func (x *exchange) judge() (int, string) {
	f := x.forwarder
	if len(f.Screener.Accusations()) == 0 {
		return 0, ""
	}
	v := f.Screener.Decide(x.fingerprint())
	if v.Mode != quarantiner.Blocked {
		return 0, ""
	}
	x.until = v.Until
	f.Meter.Add("convicted", 1)
	return http.StatusServiceUnavailable, "this request crashed two backend servers"
}

// witness notes that a send broke off, in case its backend server has died.
func (x *exchange) witness(p placement) {
	if time.Until(x.deadline) > 0 {
		x.forwarder.Detector.RecordBroken(p.server, x.fingerprint(), time.Now())
	}
}

// refused reports whether a send failed because nobody listens any more.
func refused(err error) bool {
	var failed *connector.Error
	return errors.As(err, &failed) && !failed.Sent && errors.Is(failed.Err, syscall.ECONNREFUSED)
}

// RecordCrashes names the requests whose backend servers are shown to have died, to
// this entry's suspects, from which the others hear of them. It is called now
// and then.
func (f *Forwarder) RecordCrashes(now time.Time) {
	for _, d := range f.Detector.Confirmed(f.Viewer.Load().Servers, now) {
		news := f.Screener.Record(&wire.Accusation{
			Fingerprint: d.Fingerprint, Server: string(d.Server), Boot: uint64(d.StartMillis), AgeMs: d.Age.Milliseconds(),
		})
		f.Meter.Add("accused", 1)
		f.Log.Info().Str("event", "accused").Str("request", d.Fingerprint).Str("server", string(d.Server)).
			Int64("born", d.StartMillis).Float64("age_ms", millis(d.Age)).Bool("news", news).Msg("")
	}
}
