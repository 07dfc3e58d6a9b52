// Package watcher detects failed backend servers for an entry. It keeps the
// newest report of each server, by boot number and serial, and its health.
//
// # Usage
//
//	w := watcher.New(watcher.Config{SilenceTimeout: 3 * time.Second})
//	defer w.Stop()
//	w.Record(report)
//	for _, s := range w.View().Servers { ... }
//
// A server is dead when it is silent and calls to it failed, or when at least two
// calls to it have failed over more than SilenceTimeout, whatever the interval of
// its heartbeats. Dead servers, and for a while servers that flap, get no new
// work. If no other server is left, they get work all the same. While most servers
// of a failure domain are dead, none of them is dropped. An entry that is
// disconnected from a part of the servers therefore continues to use those that it
// can reach, and it does not tell other entries that the rest are dead.
//
// A view may be outdated. It is enough to propose a request to a server; the
// server itself decides whether it accepts the request.
package watcher

import (
	"math/rand/v2"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"bamboohill/core/identifier"
	"bamboohill/core/spawner"
	"bamboohill/wire"
)

// Defaults of Config.
const (
	defaultSilenceTimeout = 3 * time.Second
	defaultForgetAfter    = time.Minute
)

// Config configures a Watcher. A zero SilenceTimeout means three seconds, a zero
// ForgetAfter one minute; Now is the clock, time.Now if nil.
type Config struct {
	SilenceTimeout time.Duration // time without a report after which a server is silent, or three of its heartbeat intervals if that is longer
	ForgetAfter    time.Duration // time after which a dead server is dropped
	Now            func() time.Time
}

// Server is the state of one backend server.
type Server struct {
	*wire.Report
	LastReport  time.Time // time of the newest report
	FailedCalls int       // calls that failed since LastReport
}

// ID returns the server's id.
func (s Server) ID() identifier.Server { return identifier.Server(s.GetServer()) }

// View is a snapshot of the backend servers. It is immutable.
type View struct {
	Servers     []Server // get new work, in order of id
	Unavailable []Server // get no new work, in order of id
	Created     time.Time
}

// Watcher publishes the view. It is safe for concurrent use.
type Watcher struct {
	config  Config
	view    atomic.Pointer[View]
	actor   *spawner.Ref[message]
	records map[identifier.Server]*record // accessed by the actor's goroutine only
}

type message struct {
	report  *wire.Report
	relayed bool // report was sent by another entry
	failed  identifier.Server
	tick    bool
}

// New starts a Watcher that knows no servers.
func New(config Config) *Watcher {
	if config.SilenceTimeout <= 0 {
		config.SilenceTimeout = defaultSilenceTimeout
	}
	if config.ForgetAfter <= 0 {
		config.ForgetAfter = defaultForgetAfter
	}
	if config.Now == nil {
		config.Now = time.Now
	}
	w := &Watcher{config: config, records: map[identifier.Server]*record{}}
	w.view.Store(&View{})
	w.actor = spawner.Spawn(spawner.Config[message]{Name: "watcher", Receive: w.receive})
	return w
}

// Stop stops the Watcher.
func (w *Watcher) Stop() { w.actor.Stop() }

// Record adds a report that a server sent to this entry. It ignores a report
// without a server, and one that is older than the newest report of the server,
// unless the server is dead and the report is of another boot.
func (w *Watcher) Record(report *wire.Report) {
	if report.GetServer() != "" {
		w.actor.Send(message{report: report})
	}
}

// RecordRelayed adds a report that another entry relayed. It updates the report
// but does not show that this entry can reach the server: if calls to the server
// failed, LastReport and FailedCalls stay as they are until a report arrives
// directly or the server restarts.
func (w *Watcher) RecordRelayed(report *wire.Report) {
	if report.GetServer() != "" {
		w.actor.Send(message{report: report, relayed: true})
	}
}

// RecordFailure records that a call to a server got no answer.
func (w *Watcher) RecordFailure(server identifier.Server) { w.actor.Send(message{failed: server}) }

// Tick updates the health of all servers and drops those that have been dead for
// longer than ForgetAfter. It does not wait for the update.
func (w *Watcher) Tick() { w.actor.TrySend(message{tick: true}) }

// View returns the newest view.
func (w *Watcher) View() *View { return w.view.Load() }

// Silent reports whether the heartbeats of a server have stopped.
func (w *Watcher) Silent(s Server) bool { return w.config.Now().Sub(s.LastReport) > w.silenceLimit(s) }

// silenceLimit returns the age of the last report from which on a server is
// silent: SilenceTimeout or three heartbeat intervals of the server, whichever is
// longer.
func (w *Watcher) silenceLimit(s Server) time.Duration {
	return max(w.config.SilenceTimeout, maxMissedHeartbeats*time.Duration(s.GetEveryMs())*time.Millisecond)
}

// maxMissedHeartbeats is the number of heartbeat intervals that may pass without a
// report.
const maxMissedHeartbeats = 3

func (w *Watcher) receive(m message) {
	now := w.config.Now()
	switch {
	case m.report != nil:
		if !w.update(m.report, m.relayed, now) {
			return
		}
	case m.failed != "":
		s, found := w.records[m.failed]
		if !found {
			return
		}
		if s.FailedCalls == 0 {
			s.failingSince = now
		}
		s.FailedCalls++
	}
	w.updateHealth(now)
	w.publish(now)
}

// update stores a report and reports whether it was newer than the known one.
func (w *Watcher) update(report *wire.Report, relayed bool, now time.Time) bool {
	id := identifier.Server(report.GetServer())
	r, found := w.records[id]
	if found && !newer(report, r.Report) && !replaces(report, r) {
		return false
	}
	if !found {
		r = &record{}
		w.records[id] = r
	}
	if relayed && r.FailedCalls > 0 && report.GetBoot() == r.GetBoot() {
		r.Report = report
		return true
	}
	w.markReturned(r, now)
	r.Server = Server{Report: report, LastReport: now}
	return true
}

// replaces reports whether a report with a lower boot number may replace the
// record of a dead server. A replacement VM whose clock is behind the clock of its
// predecessor starts with a lower boot number.
func replaces(report *wire.Report, r *record) bool {
	return !r.deadSince.IsZero() && report.GetBoot() != r.GetBoot()
}

func newer(a, b *wire.Report) bool {
	if a.GetBoot() != b.GetBoot() {
		return a.GetBoot() > b.GetBoot()
	}
	return a.GetSerial() > b.GetSerial()
}

func (w *Watcher) publish(now time.Time) {
	view := &View{Created: now}
	for _, r := range w.records {
		if !r.deadSince.IsZero() || now.Before(r.heldUntil) {
			view.Unavailable = append(view.Unavailable, r.Server)
		} else {
			view.Servers = append(view.Servers, r.Server)
		}
	}
	if len(view.Servers) == 0 {
		view.Servers, view.Unavailable = view.Unavailable, nil
	}
	order := func(a, b Server) int { return strings.Compare(a.GetServer(), b.GetServer()) }
	slices.SortFunc(view.Servers, order)
	slices.SortFunc(view.Unavailable, order)
	w.view.Store(view)
}

// SilentServers returns at most n of the silent servers, chosen at random.
func (w *Watcher) SilentServers(n int) []Server {
	view := w.View()
	return sample(n, slices.Concat(view.Servers, view.Unavailable), w.Silent)
}

// FailingServers returns at most n of the servers that get new work although a
// call to them failed since their last report, chosen at random.
func (w *Watcher) FailingServers(n int) []Server {
	return sample(n, w.View().Servers, func(s Server) bool { return s.FailedCalls > 0 })
}

// sample returns at most n of the servers that match, chosen at random.
func sample(n int, servers []Server, match func(Server) bool) []Server {
	var all []Server
	for _, s := range servers {
		if match(s) {
			all = append(all, s)
		}
	}
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(n, len(all))]
}
