package detector

import (
	"slices"
	"sync"
	"time"

	"bamboohill/core/viewer"
)

// Limits on the broken sends that are held.
const (
	retention     = 10 * time.Second // a registration expires within three heartbeats of about 1.2 s, and is read a second later
	refusalWindow = 2 * time.Second  // a crashed server is down for some seconds; one that refuses later may have been shut down
	maxBroken     = 4096             // broken sends; beyond it the oldest is dropped
)

// Break is a send to a backend server that ended without a complete answer.
type Break struct {
	Attempt     string // id of the request
	Fingerprint string
	Server      viewer.ServerID
	StartMillis int64 // start time of the server, in Unix milliseconds
	At          time.Time
}

// Evidence is the reason of a verdict.
type Evidence string

// Values of Evidence. All but the last two confirm a crash.
const (
	Refused     Evidence = "refused a connection"
	Expired     Evidence = "registration expired"
	Restarted   Evidence = "restarted"
	Unconfirmed Evidence = "no crash within the retention"
	Overflow    Evidence = "too many broken sends"
)

// Verdict is the result of examining a break.
type Verdict struct {
	Break
	Evidence Evidence
	Age      time.Duration // since the break
}

// Crashed reports whether the backend server has crashed.
func (v Verdict) Crashed() bool { return v.Evidence != Unconfirmed && v.Evidence != Overflow }

// pending is a break without a verdict.
type pending struct {
	Break
	refused bool // the server refused a connection within refusalWindow
}

// Detector holds the broken sends of one entry. It is safe for concurrent use.
type Detector struct {
	mu      sync.Mutex
	pending []pending // oldest first
	dropped []Break   // because of maxBroken, not yet reported
}

// New returns a Detector without broken sends.
func New() *Detector { return &Detector{} }

// RecordBreak records that a send broke off.
func (d *Detector) RecordBreak(b Break) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.pending) >= maxBroken {
		d.dropped = append(d.dropped, d.pending[0].Break)
		d.pending = slices.Delete(d.pending, 0, 1)
	}
	d.pending = append(d.pending, pending{Break: b})
}

// RecordRefused records that a backend server refused a connection.
func (d *Detector) RecordRefused(server viewer.ServerID, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for i, b := range d.pending {
		if b.Server == server && now.Sub(b.At) <= refusalWindow {
			d.pending[i].refused = true
		}
	}
}

// Examine returns a verdict on each break that has one, and forgets these breaks.
func (d *Detector) Examine(servers map[viewer.ServerID]*viewer.Server, now time.Time) []Verdict {
	d.mu.Lock()
	defer d.mu.Unlock()
	var verdicts []Verdict
	for _, b := range d.dropped {
		verdicts = append(verdicts, Verdict{Break: b, Evidence: Overflow, Age: now.Sub(b.At)})
	}
	d.dropped = nil
	d.pending = slices.DeleteFunc(d.pending, func(b pending) bool {
		evidence := b.examine(servers, now)
		if evidence != "" {
			verdicts = append(verdicts, Verdict{Break: b.Break, Evidence: evidence, Age: now.Sub(b.At)})
		}
		return evidence != ""
	})
	return verdicts
}

// examine returns the evidence for a verdict on a break, or "" while there is
// none.
func (b pending) examine(servers map[viewer.ServerID]*viewer.Server, now time.Time) Evidence {
	listed, found := servers[b.Server]
	switch {
	case b.refused:
		return Refused
	case !found:
		return Expired
	case listed.StartMillis != b.StartMillis:
		return Restarted
	case now.Sub(b.At) > retention:
		return Unconfirmed
	}
	return ""
}
