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
// The view is a proposal's ground, never a promise's: the gate decides.
package watcher

import (
	"maps"
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
	Silence time.Duration // without a report until a server counts as silent
	Forget  time.Duration // without a report until a server is dropped
	Now     func() time.Time
}

// Server is what is known of one backend server.
type Server struct {
	*wire.Report
	Heard  time.Time // of the newest report
	Failed int       // proposals failed since then
}

// View is what is known at one moment. It is never changed after it is made.
type View struct {
	Servers []Server // in order of id
	Made    time.Time
}

// Watcher owns the view.
type Watcher struct {
	config Config
	view   atomic.Pointer[View]
	owner  *spawner.Ref[message]
	known  map[ider.Server]*Server // owner's goroutine alone
}

type message struct {
	report *wire.Report
	failed ider.Server
	tick   bool
}

// New starts a watcher that knows nobody.
func New(config Config) *Watcher {
	if config.Silence <= 0 {
		config.Silence = defaultSilence
	}
	if config.Forget <= 0 {
		config.Forget = defaultForget
	}
	if config.Now == nil {
		config.Now = time.Now
	}
	w := &Watcher{config: config, known: map[ider.Server]*Server{}}
	w.view.Store(&View{})
	w.owner = spawner.Spawn(spawner.Config[message]{Name: "watcher", Receive: w.receive})
	return w
}

// Stop ends the watcher.
func (w *Watcher) Stop() { w.owner.Stop() }

// Hear takes a report; one that is older than what is known is dropped.
func (w *Watcher) Hear(report *wire.Report) {
	if report.GetServer() != "" {
		w.owner.Tell(message{report: report})
	}
}

// Fail notes that a proposal to a server got no answer.
func (w *Watcher) Fail(server ider.Server) { w.owner.Tell(message{failed: server}) }

// Tick drops the servers that were silent for too long.
func (w *Watcher) Tick() { w.owner.Offer(message{tick: true}) }

// View returns the newest view.
func (w *Watcher) View() *View { return w.view.Load() }

// Silent reports whether a server's heartbeats have stopped.
func (w *Watcher) Silent(s Server) bool { return w.config.Now().Sub(s.Heard) > w.config.Silence }

func (w *Watcher) receive(m message) {
	now := w.config.Now()
	switch {
	case m.report != nil:
		if !w.hear(m.report, now) {
			return
		}
	case m.failed != "":
		s, found := w.known[m.failed]
		if !found {
			return
		}
		s.Failed++
	case m.tick:
		maps.DeleteFunc(w.known, func(_ ider.Server, s *Server) bool { return now.Sub(s.Heard) > w.config.Forget })
	}
	w.publish(now)
}

func (w *Watcher) hear(report *wire.Report, now time.Time) bool {
	id := ider.Server(report.GetServer())
	old, found := w.known[id]
	if found && !newer(report, old.Report) {
		return false
	}
	w.known[id] = &Server{Report: report, Heard: now}
	return true
}

func newer(a, b *wire.Report) bool {
	if a.GetBoot() != b.GetBoot() {
		return a.GetBoot() > b.GetBoot()
	}
	return a.GetSerial() > b.GetSerial()
}

func (w *Watcher) publish(now time.Time) {
	view := &View{Made: now, Servers: make([]Server, 0, len(w.known))}
	for _, s := range w.known {
		view.Servers = append(view.Servers, *s)
	}
	slices.SortFunc(view.Servers, func(a, b Server) int { return strings.Compare(a.GetServer(), b.GetServer()) })
	w.view.Store(view)
}
