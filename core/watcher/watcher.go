// Package watcher keeps an entry's view of the backend servers: the newest
// report of each, by boot number and serial, and which of them are silent.
//
// # Usage
//
//	w := watcher.New(watcher.Config{Silence: 3 * time.Second})
//	defer w.Stop()
//	w.Hear(report)
//	for _, s := range w.View().Servers { ... }
//
// A server is gone when it is both silent and calls to it failed, or when calls
// alone have failed for as long as silence takes, however far apart its
// heartbeats come. Gone ones,
// and for a while those that come and go, are kept apart from those that are
// offered work; when nobody else is left they are offered work all the same,
// and none of a failure domain is forgotten while most of it is gone. An entry
// that is cut off so keeps using what it reaches, and tells nobody otherwise.
//
// The view is a proposal's ground, never a promise's: the gate decides.
package watcher

import (
	"math/rand/v2"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"bamboohill/core/ider"
	"bamboohill/core/spawner"
	"bamboohill/wire"
)

// Defaults of Config.
const (
	defaultSilence = 3 * time.Second
	defaultForget  = time.Minute
)

// Config describes a Watcher. The zero Silence is three seconds, the zero
// Forget a minute; Now is the clock, time.Now if nil.
type Config struct {
	SilenceTimeout time.Duration // without a report until a server counts as silent, at least three heartbeats
	ForgetAfter    time.Duration // gone until a server is dropped
	Now            func() time.Time
}

// Server is what is known of one backend server.
type Server struct {
	*wire.Report
	LastReport  time.Time // of the newest report
	FailedCalls int       // calls failed since then
}

// ID returns the server's id.
func (s Server) ID() ider.Server { return ider.Server(s.GetServer()) }

// View is what is known at one moment. It is never changed after it is made.
type View struct {
	Servers     []Server // offered work, in order of id
	Unavailable []Server // not offered work, in order of id
	Created     time.Time
}

// Watcher owns the view.
type Watcher struct {
	config  Config
	view    atomic.Pointer[View]
	actor   *spawner.Ref[message]
	records map[ider.Server]*record // owner's goroutine alone
}

type message struct {
	report  *wire.Report
	relayed bool // on by another entry
	failed  ider.Server
	tick    bool
}

// New starts a watcher that knows nobody.
func New(config Config) *Watcher {
	if config.SilenceTimeout <= 0 {
		config.SilenceTimeout = defaultSilence
	}
	if config.ForgetAfter <= 0 {
		config.ForgetAfter = defaultForget
	}
	if config.Now == nil {
		config.Now = time.Now
	}
	w := &Watcher{config: config, records: map[ider.Server]*record{}}
	w.view.Store(&View{})
	w.actor = spawner.Spawn(spawner.Config[message]{Name: "watcher", Receive: w.receive})
	return w
}

// Stop ends the watcher.
func (w *Watcher) Stop() { w.actor.Stop() }

// Record takes a report; one that is older than what is known is dropped.
func (w *Watcher) Record(report *wire.Report) {
	if report.GetServer() != "" {
		w.actor.Tell(message{report: report})
	}
}

// RecordRelayed takes a report that another entry passes on. It is news of a server,
// and no sign that this entry reaches it: one to which calls failed stays as
// silent and as failed as it was until it is heard itself, or starts again.
func (w *Watcher) RecordRelayed(report *wire.Report) {
	if report.GetServer() != "" {
		w.actor.Tell(message{report: report, relayed: true})
	}
}

// RecordFailure notes that a proposal to a server got no answer.
func (w *Watcher) RecordFailure(server ider.Server) { w.actor.Tell(message{failed: server}) }

// Tick judges who is gone and drops those that were gone for too long.
func (w *Watcher) Tick() { w.actor.Offer(message{tick: true}) }

// View returns the newest view.
func (w *Watcher) View() *View { return w.view.Load() }

// Silent reports whether a server's heartbeats have stopped.
func (w *Watcher) Silent(s Server) bool { return w.config.Now().Sub(s.LastReport) > w.silenceLimit(s) }

// silenceLimit is how long a server may be silent: as Config says, or three of its
// heartbeats if they come further apart.
func (w *Watcher) silenceLimit(s Server) time.Duration {
	return max(w.config.SilenceTimeout, maxMissedHeartbeats*time.Duration(s.GetEveryMs())*time.Millisecond)
}

// maxMissedHeartbeats is how many heartbeats a server may miss.
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

func (w *Watcher) update(report *wire.Report, passed bool, now time.Time) bool {
	id := ider.Server(report.GetServer())
	r, found := w.records[id]
	if found && !newer(report, r.Report) && !replaces(report, r) {
		return false
	}
	if !found {
		r = &record{}
		w.records[id] = r
	}
	if passed && r.FailedCalls > 0 && report.GetBoot() == r.GetBoot() {
		r.Report = report
		return true
	}
	w.markReturned(r, now)
	r.Server = Server{Report: report, LastReport: now}
	return true
}

// replaces reports whether a report of an older boot may take the place of a
// server that is gone: a VM whose clock is behind its predecessor's starts with
// a lower boot number.
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

// SilentServers returns at most n of the servers that are silent, drawn at random.
func (w *Watcher) SilentServers(n int) []Server {
	view := w.View()
	return sample(n, slices.Concat(view.Servers, view.Unavailable), w.Silent)
}

// FailingServers returns at most n of the servers that are offered work though the
// last call to them failed, drawn at random.
func (w *Watcher) FailingServers(n int) []Server {
	return sample(n, w.View().Servers, func(s Server) bool { return s.FailedCalls > 0 })
}

// sample returns at most n of the servers that are wanted, drawn at random.
func sample(n int, servers []Server, wanted func(Server) bool) []Server {
	var all []Server
	for _, s := range servers {
		if wanted(s) {
			all = append(all, s)
		}
	}
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(n, len(all))]
}
