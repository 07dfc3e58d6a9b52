// Package router places a request on a backend server. It is pure: what is
// known goes in, a choice comes out.
//
// # Usage
//
//	choice, err := router.Pick(job, view.Servers)
package router

import (
	"slices"
	"time"

	"bamboohill/core/ider"
	"bamboohill/core/watcher"
	"bamboohill/wire"
)

// Job is what placement needs to know of a request.
type Job struct {
	Kind     wire.Kind
	Service  string
	Model    string
	Version  string
	Adapter  string
	Prompt   int64 // tokens
	Answer   int64 // tokens
	Excluded []ider.Server
}

// NoneError says that no backend server can take a job now.
type NoneError struct {
	Known bool          // some server offers the model or service
	Retry time.Duration // when to come back
}

// Error implements error.
func (e *NoneError) Error() string { return "router: no backend server" }

// retryNone is when to come back if no server can take a job.
const retryNone = time.Second

// Pick returns the server that is least loaded among those that can take the
// job, or a *NoneError.
func Pick(job Job, servers []watcher.Server) (watcher.Server, error) {
	none := &NoneError{Retry: retryNone}
	var best watcher.Server
	for _, s := range servers {
		if !offers(job, s.Report) {
			continue
		}
		none.Known = true
		if s.GetState() != wire.State_STATE_OPEN || slices.Contains(job.Excluded, ider.Server(s.GetServer())) {
			continue
		}
		if job.Kind == wire.Kind_KIND_MODEL && s.GetMemory() < job.Prompt+job.Answer {
			continue
		}
		if best.Report == nil || load(s) < load(best) {
			best = s
		}
	}
	if best.Report == nil {
		return best, none
	}
	return best, nil
}

func load(s watcher.Server) float64 {
	return float64(s.GetRunning()+int32(s.Failed)) / float64(max(1, s.GetLimit()))
}

func offers(job Job, report *wire.Report) bool {
	if job.Kind != report.GetKind() {
		return false
	}
	if job.Kind == wire.Kind_KIND_SERVICE {
		return job.Service == report.GetService()
	}
	return slices.ContainsFunc(report.GetOffers(), func(o *wire.Offer) bool {
		return o.GetModel() == job.Model && (job.Version == "" || o.GetVersion() == job.Version) &&
			(job.Adapter == "" || slices.Contains(o.GetAdapters(), job.Adapter))
	})
}
