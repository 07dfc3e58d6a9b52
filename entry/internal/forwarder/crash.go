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

// fingerprint identifies the request by its account, method, path and body. A
// request that crashes backend servers is typically sent again unchanged.
func (x *exchange) fingerprint() string {
	d := sha256.New()
	fmt.Fprintf(d, "%s %s ", x.r.Method, x.r.RequestURI)
	d.Write(x.body)
	return quarantiner.Fingerprint(x.account, d.Sum(nil))
}

// checkBlocked refuses a request that has crashed two backend servers, through
// any entries. It returns the status and reason of the refusal, or zero.
// Requests are hashed only while there are accusations.
func (x *exchange) checkBlocked() (int, string) {
	f := x.forwarder
	if len(f.Screener.Accusations()) == 0 {
		return 0, ""
	}
	v := f.Screener.Decide(x.fingerprint())
	if v.Mode != quarantiner.Blocked {
		return 0, ""
	}
	x.blockedUntil = v.Until
	f.Meter.Add("convicted", 1)
	return http.StatusServiceUnavailable, "this request crashed two backend servers"
}

// recordBroken records that a send broke off, in case its backend server crashed.
func (x *exchange) recordBroken(p placement) {
	if time.Until(x.deadline) > 0 {
		x.forwarder.Detector.RecordBroken(p.server, x.fingerprint(), time.Now())
	}
}

// connectionRefused reports whether a send failed because no process listens at
// the address.
func connectionRefused(err error) bool {
	var failed *connector.Error
	return errors.As(err, &failed) && !failed.Sent && errors.Is(failed.Err, syscall.ECONNREFUSED)
}

// RecordCrashes records an accusation against each request whose backend server
// is confirmed to have crashed. The exchanger sends the accusations to the other
// entries. It must be called periodically.
func (f *Forwarder) RecordCrashes(now time.Time) {
	for _, d := range f.Detector.Confirmed(f.Viewer.Load().Servers, now) {
		isNew := f.Screener.Record(&wire.Accusation{
			Fingerprint: d.Fingerprint, Server: string(d.Server), Boot: uint64(d.StartMillis), AgeMs: d.Age.Milliseconds(),
		})
		f.Meter.Add("accused", 1)
		f.Log.Info().Str("event", "crash-suspected").Str("request", d.Fingerprint).Str("server", string(d.Server)).
			Int64("born", d.StartMillis).Float64("age_ms", millis(d.Age)).Bool("new", isNew).Msg("")
	}
}
