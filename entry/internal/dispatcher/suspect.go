package dispatcher

import (
	"context"
	"slices"
	"sync"
	"time"

	"bamboohill/core/quarantiner"
	"bamboohill/core/router"
	"bamboohill/core/watcher"
	"bamboohill/wire"
)

// Tries of a request to get an empty backend server, or one that runs a copy of
// it, and the shortest and longest wait between them.
const (
	maxServerTries = 40
	serverWait     = 100 * time.Millisecond
	maxServerWait  = time.Second
)

// maxSentAccusations bounds the set of published accusations. When it is full it
// is cleared, so that an accusation may be published once more.
const maxSentAccusations = 4096

// sentAccusations is the set of accusations that this entry has published.
type sentAccusations struct {
	mu   sync.Mutex
	seen map[crash]bool
}

// crash identifies the crash that an accusation reports.
type crash struct {
	fingerprint string
	server      string
	boot        uint64
}

// add adds an accusation and reports whether it was not in the set.
func (s *sentAccusations) add(a *wire.Accusation) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := crash{fingerprint: a.GetFingerprint(), server: a.GetServer(), boot: a.GetBoot()}
	if s.seen[k] {
		return false
	}
	if s.seen == nil || len(s.seen) >= maxSentAccusations {
		s.seen = map[crash]bool{}
	}
	s.seen[k] = true
	return true
}

// allowedServers returns the servers that a request may use: all of them, the
// servers that run copies of it, or the one server where an isolated request may
// run. It returns a *quarantiner.BlockedError for a blocked request.
func (d *Dispatcher) allowedServers(q *Request, servers []watcher.Server) ([]watcher.Server, error) {
	v := d.config.Suspects.Decide(q.fingerprint)
	q.isolated = v.Mode == quarantiner.Isolated
	q.joinsCopies = false
	switch v.Mode {
	case quarantiner.Blocked:
		return nil, &quarantiner.BlockedError{Fingerprint: q.fingerprint, RetryAfter: time.Until(v.Until)}
	case quarantiner.Isolated:
		q.Job.Excluded = nil
		return isolationServer(q, servers), nil
	default:
		return q.copyServers(servers), nil
	}
}

// copyServers returns the servers that run copies of the request, if the last
// refusal named some: no further server may run it before one of the copies has
// finished. The restriction holds for one placement. Without copies it returns
// all servers.
func (q *Request) copyServers(servers []watcher.Server) []watcher.Server {
	q.joinsCopies = len(q.copies) > 0
	if !q.joinsCopies {
		return servers
	}
	var running []watcher.Server
	for _, s := range servers {
		if slices.Contains(q.copies, s.GetServer()) {
			running = append(running, s)
		}
	}
	q.copies = nil
	q.Job.Excluded = nil
	return running
}

// isolationServer returns the server where an isolated request may run, none if no
// open server offers what it asks for.
func isolationServer(q *Request, servers []watcher.Server) []watcher.Server {
	var names []string
	byName := map[string]watcher.Server{}
	for _, s := range servers {
		if s.GetState() == wire.State_STATE_OPEN && router.Offers(&q.Job, s.Report) {
			names = append(names, s.GetServer())
			byName[s.GetServer()] = s
		}
	}
	name, found := quarantiner.ServerFor(q.fingerprint, names)
	if !found {
		return nil
	}
	return []watcher.Server{byName[name]}
}

// mustWait reports whether a refusal means that an isolated request has to wait
// for its backend server to be empty, that this entry has just learnt that the
// request is suspected, or that other servers run copies of it.
func mustWait(reason wire.Reason) bool {
	switch reason {
	case wire.Reason_REASON_ALONE, wire.Reason_REASON_SUSPECT, wire.Reason_REASON_COPIES:
		return true
	default:
		return false
	}
}

// waitForServer waits before the next try of an isolated request or of one that
// has copies, and reports whether there is one. Such tries run nothing, so they
// have their own limit in place of the retry budget. The first try follows at once
// if the refusal named the accusations or the servers with copies.
func (d *Dispatcher) waitForServer(ctx context.Context, c *requestState) bool {
	if c.serverTries == 0 {
		return false
	}
	c.serverTries--
	if c.serverTries == maxServerTries-1 && namesServers(c.result.Reason) {
		return ctx.Err() == nil
	}
	return wait(ctx, min(max(serverWait, c.result.RetryAfter), maxServerWait))
}

// namesServers reports whether a refusal told this entry where the request may
// run.
func namesServers(reason wire.Reason) bool {
	return reason == wire.Reason_REASON_SUSPECT || reason == wire.Reason_REASON_COPIES
}
