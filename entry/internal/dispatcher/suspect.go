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

// Tries of a suspect to get its backend server alone.
const (
	soloTries = 40
	soloPause = 100 * time.Millisecond
	soloMost  = time.Second
)

// maxTold bounds the accusations that an entry remembers to have passed on;
// beyond it they are forgotten, and at worst passed on once more.
const maxTold = 4096

// told remembers which accusations this entry has passed on.
type told struct {
	mu   sync.Mutex
	seen map[crash]bool
}

// crash names what an accusation is about.
type crash struct {
	fingerprint string
	server      string
	boot        uint64
}

// first reports whether an accusation is passed on for the first time.
func (t *told) first(a *wire.Accusation) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	k := crash{fingerprint: a.GetFingerprint(), server: a.GetServer(), boot: a.GetBoot()}
	if t.seen[k] {
		return false
	}
	if t.seen == nil || len(t.seen) >= maxTold {
		t.seen = map[crash]bool{}
	}
	t.seen[k] = true
	return true
}

// judge returns the servers that a request may use: all of them, the one place
// where a suspect runs alone, or a *quarantiner.BlockedError.
func (d *Dispatcher) judge(q *Request, servers []watcher.Server) ([]watcher.Server, error) {
	v := d.config.Suspects.Decide(q.fingerprint)
	q.alone = v.Mode == quarantiner.Isolated
	q.joining = false
	switch v.Mode {
	case quarantiner.Blocked:
		return nil, &quarantiner.BlockedError{Fingerprint: q.fingerprint, RetryAfter: time.Until(v.Until)}
	case quarantiner.Isolated:
		q.Job.Excluded = nil
		return soloPlace(q, servers), nil
	default:
		return q.beside(servers), nil
	}
}

// beside returns the servers that run copies of the request, if the last
// refusal named some: more may not run it before one of the copies has
// finished. It holds for one placement; the next asks anew.
func (q *Request) beside(servers []watcher.Server) []watcher.Server {
	q.joining = len(q.copies) > 0
	if !q.joining {
		return servers
	}
	var near []watcher.Server
	for _, s := range servers {
		if slices.Contains(q.copies, s.GetServer()) {
			near = append(near, s)
		}
	}
	q.copies = nil
	q.Job.Excluded = nil
	return near
}

// soloPlace returns the server at which a suspect runs alone, none if no open
// one offers what it asks for.
func soloPlace(q *Request, servers []watcher.Server) []watcher.Server {
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

// alone reports whether a refusal means that a suspect has to wait for its
// backend server to be empty, that the entry has just learnt of it, or that
// copies of the request run elsewhere.
func alone(reason wire.Reason) bool {
	switch reason {
	case wire.Reason_REASON_ALONE, wire.Reason_REASON_SUSPECT, wire.Reason_REASON_COPIES:
		return true
	default:
		return false
	}
}

// waitAlone waits for the next try of a suspect or of a copy. Such tries run
// nothing, so they have a count of their own in place of the retry budget. An
// entry that has just learnt of the suspect, or where the copies run, goes on
// at once.
func (d *Dispatcher) waitAlone(ctx context.Context, c *course) bool {
	if c.solo == 0 {
		return false
	}
	c.solo--
	if c.solo == soloTries-1 && learnt(c.result.Reason) {
		return ctx.Err() == nil
	}
	return wait(ctx, min(max(soloPause, c.result.RetryAfter), soloMost))
}

// learnt reports whether a refusal has told the entry where to go next.
func learnt(reason wire.Reason) bool {
	return reason == wire.Reason_REASON_SUSPECT || reason == wire.Reason_REASON_COPIES
}
