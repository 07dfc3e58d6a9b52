package forwarder

import (
	"errors"
	"math/rand/v2"
	"strings"
	"time"

	"bamboohill/core/assigner"
	"bamboohill/core/queuer"
	"bamboohill/core/viewer"
)

// OverShare returns how far an account exceeds its share of a service: 0 if it does not,
// and more the further it does.
type OverShare func(account string, service viewer.ServiceName, now time.Time) float64

// callWaitShare is the share of its target for which a call to a plain service waits for a
// slot. A call that is still not sent then takes its chance.
const callWaitShare = 0.3

// lowestRetryShare is the share of the retry budget that requests of the least urgent rank
// of a service may use.
const lowestRetryShare = 2.0 / 3

// standing is what decides the place of a request among those that wait, and what its
// caller is told if it is refused.
type standing struct {
	rank       int           // 0 is the most urgent
	ranked     bool          // the service has requests of different ranks
	lowestRank bool          // and this one is of the least urgent
	alone      bool          // the request waits for something that no other request waits for
	back       bool          // its caller was refused before and has come back
	returned   bool          // and it has done so at the time that it was told
	maxWait    time.Duration // of a prompt at the entry, by the placement policy; 0 if not computed
	named      time.Duration // after which the caller of a refused request was told to come back
	returnIn   time.Duration // after which time the caller may come back, if the request is refused for lack of room
}

// setRank sets the rank of the request by the configuration of its view.
func (x *exchange) setRank() {
	c := x.view.Configuration
	route, found := c.Route(x.r.Host, x.r.URL.EscapedPath())
	if !found {
		route = x.route
	}
	account, _ := c.Account(x.call.Key)
	if route.Public {
		account = nil
	}
	x.rank = c.Rank(route, account)
	lowest, differ := c.Ranks(x.service.Name)
	x.ranked, x.lowestRank = differ, differ && x.rank >= lowest
}

// enginePriority returns the rank that a model engine is told, nil if all requests of the
// service have the same.
func (x *exchange) enginePriority() *int {
	if !x.ranked || x.service.Engine == nil || x.forwarder.HideRanks {
		return nil
	}
	rank := x.rank
	return &rank
}

// mayRetry reports whether the retry budget allows one more send, and takes it.
func (x *exchange) mayRetry(now time.Time) bool {
	share := 1.0
	if x.lowestRank {
		share = lowestRetryShare
	}
	return x.forwarder.Budgeter.RetryWithin(x.service.Name, x.forwarder.Entries(), share, now)
}

// mayArrive reports whether the request may be sent once more after a send that failed. One
// that reached no server added to no server's load, and the next arrival is paid for as if
// it had not been made: servers that are gone, as when a failure domain starts anew, must not
// spend what those that answer need. Each server is tried once.
func (x *exchange) mayArrive(now time.Time) bool {
	if x.unreached {
		x.forwarder.Meter.Add("unreached", 1)
		return true
	}
	return x.retryPaid.Swap(false) || x.mayRetry(now)
}

// patience returns how long the request can wait at the entry: a prompt as long as the
// placement policy lets it.
func (x *exchange) patience() time.Duration {
	target := x.route.TargetLatency
	if x.service.Engine == nil {
		return max(0, time.Duration(callWaitShare*float64(target)))
	}
	if x.maxWait == 0 {
		_, terms := x.terms(len(x.view.ServersOf(x.service.Name)), time.Now())
		x.maxWait = assigner.MaxWait(assigner.Prompt{Target: target, CallerTimeout: x.deadline.Sub(x.received), Terms: terms})
	}
	return x.maxWait
}

// yields reports whether the request leaves room to more urgent ones that wait at other
// entries.
func (x *exchange) yields(now time.Time) bool {
	if !x.ranked {
		return false
	}
	r := queuer.Request{Rank: x.rank, Begun: x.history.sends > 0, Arrived: x.received, Patience: x.patience()}
	return x.forwarder.Board.Yields(r, queuer.HashService(x.service.Name), now)
}

// awaitsSlot reports whether a call to a plain service waits, as all slots of the servers
// are taken as far as this entry knows.
func (x *exchange) awaitsSlot(servers []*viewer.Server, now time.Time) bool {
	if x.service.Engine != nil || now.Sub(x.received) >= x.patience() {
		return false
	}
	for _, s := range servers {
		if s.Slots <= 0 || x.forwarder.Loads.Load(s.ID, now).Running < s.Slots {
			return false
		}
	}
	return true
}

// recordEnd records that a send has ended, which may free room for a waiting request.
func (x *exchange) recordEnd() {
	x.forwarder.Loads.RecordEnd(x.load, time.Now())
	x.forwarder.lines.notify()
}

// refusalCauses are the names of the reasons for which a request is not placed, in metrics.
var refusalCauses = map[error]string{
	errFull: "full", errOverflow: "overflow", errTooLong: "waited", errLimited: "limited", errResting: "resting", errNoServer: "no_server",
}

// recordRefusal counts a request that is not placed by its reason.
func (x *exchange) recordRefusal(err error) {
	x.full = errors.Is(err, errFull) || errors.Is(err, errOverflow) || errors.Is(err, errTooLong)
	if cause, found := refusalCauses[err]; found {
		x.forwarder.Meter.Add("refused_"+cause, 1)
	}
}

// estimateReturn sets when the caller of a prompt that the placement has refused may come
// back: when the work that makes it late is done.
func (x *exchange) estimateReturn(p placement, now time.Time) {
	f := x.forwarder
	ahead := f.lines.ahead(x, now) + f.Promises.Outstanding(now) + f.Board.Elsewhere(queuer.HashService(x.service.Name), x.rank+1, now)
	s := queuer.Shortage{
		Excess: now.Sub(x.received) + p.expected - x.route.TargetLatency,
		Ahead:  time.Duration(ahead) * x.service.Engine.PrefillTime(x.call.Prompt), Servers: p.choices,
		Demand: p.prefillLoad, Remaining: x.deadline.Sub(now),
	}
	x.returnIn = s.ReturnIn(rand.Float64())
}

// promise records that the caller of a refused request was told to come back.
func (x *exchange) promise(wait time.Duration) {
	if x.service == nil || x.blockedBy != "" || x.elsewhere {
		return
	}
	now := time.Now()
	x.forwarder.Promises.Make(queuer.HashFingerprint(x.fingerprint()), now.Add(wait), now)
	if x.back {
		x.forwarder.Meter.Add("refused_again_"+metricName(x.route.Name), 1)
	}
}

// recordReturn recognizes a request whose caller was refused and told when to come back.
func (x *exchange) recordReturn() {
	if x.forwarder.Promises.Empty() {
		return
	}
	x.back, x.returned = x.forwarder.Promises.Return(queuer.HashFingerprint(x.fingerprint()), time.Now())
	if x.back {
		x.forwarder.Meter.Add("returned_"+metricName(x.route.Name), 1)
		x.forwarder.Log.Info().Str("event", "returned").Str("id", x.call.Attempt).Str("route", x.route.Name).Bool("on_time", x.returned).Msg("")
	}
}

// metricName returns a name as a part of the name of a metric.
func metricName(name string) string { return strings.ReplaceAll(name, "-", "_") }
