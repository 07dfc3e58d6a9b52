package prover

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"bamboohill/platform/rig"
)

// Bounds of the users' rules on stops.
const (
	lossSlack     = 200 * time.Millisecond // from the last byte of a request that crosses a close
	lateSend      = 3 * time.Second        // after SIGTERM: requests sent later may not be cut
	cutFrom       = stopGrace * 5 / 6      // after SIGTERM: earlier requests may be cut from then on
	refusalTime   = 500 * time.Millisecond // until a stopping entry has refused a request
	stoppingCause = "the entry stops"
	// longestReturn is the time until an entry that begins to stop has started again, and the
	// spread over which callers return then.
	longestReturn = stopGrace + 500*time.Millisecond + 600*time.Millisecond
)

// checkProcesses checks that all processes that were told to stop have ended well in time.
func (s *stopSoak) checkProcesses(t *testing.T) {
	t.Helper()
	var times []string
	for _, p := range s.all {
		p.mu.Lock()
		switch took := p.ended.Sub(p.term); {
		case p.ended.IsZero():
		case p.term.IsZero():
			t.Errorf("entry %d ended without a signal: %v", p.entry, p.err)
		case p.early && took <= stopGrace:
		case p.err != nil || took > stopGrace:
			t.Errorf("entry %d ended %v after SIGTERM: %v", p.entry, took, p.err)
		default:
			times = append(times, fmt.Sprintf("%.2f", took.Seconds()))
		}
		p.mu.Unlock()
	}
	t.Logf("seed %d: %d processes ended after (s) %s", s.seed, len(times), strings.Join(times, " "))
}

// checkLogs checks that no process has panicked, not even in the handler of a request.
func (s *stopSoak) checkLogs(t *testing.T) {
	t.Helper()
	for i, e := range s.entries {
		for line := range strings.Lines(e.log.String()) {
			if strings.Contains(line, "panic") || strings.Contains(line, "fatal error") {
				t.Errorf("entry %d: %s", i, line)
			}
		}
	}
}

// checkCalls checks what callers saw against what servers ran, and logs how many requests
// had which end.
func (s *stopSoak) checkCalls(t *testing.T, all []*stopCall) {
	t.Helper()
	runs := map[string][]rig.Run{}
	for _, server := range s.engines {
		for _, r := range server.Runs() {
			runs[r.Attempt] = append(runs[r.Attempt], r)
		}
	}
	counts, longest, early, longestCrossing := map[string]int{}, 0.0, 0, time.Duration(0)
	for _, a := range all {
		ran := runs[a.id]
		end := a.endAndEntry()
		if a.crossed() && !a.afterStop() {
			t.Logf("%s before SIGTERM\n%s", end, s.trace(a, ran))
		}
		counts[end]++
		longestCrossing = max(longestCrossing, a.crossing())
		if a.status == http.StatusServiceUnavailable && a.err == nil {
			wait, _ := strconv.ParseFloat(a.header.Get("Retry-After"), 64) // checked below
			longest = max(longest, wait)
			if strings.Contains(a.text, stoppingCause) && !s.accepts(a.answered.Add(time.Duration(wait*float64(time.Second)))) {
				early++
			}
		}
		for _, violation := range []string{a.lost(ran), a.untrue(ran), a.mixed(), a.repeated(ran)} {
			if violation != "" {
				t.Errorf("%s\n%s", violation, s.trace(a, ran))
			}
		}
	}
	for _, end := range slices.Sorted(maps.Keys(counts)) {
		t.Logf("seed %d: %d %s", s.seed, counts[end], end)
	}
	reserved := 0
	for _, server := range s.engines {
		reserved += server.ReservedTokens()
	}
	t.Logf("seed %d: requests that crossed a close ended up to %v after they were sent", s.seed, longestCrossing)
	t.Logf("seed %d: longest Retry-After %.2f s, %d told to return while all entries stop, %d tokens are still reserved", s.seed, longest, early, reserved)
	if counts["answered"] == 0 || counts["answered by a stopping entry"] == 0 {
		t.Error("no request was answered, or none by a stopping entry")
	}
}

// accepts reports whether an entry accepted any request at a time.
func (s *stopSoak) accepts(at time.Time) bool {
	for _, p := range s.all {
		if !p.ready.IsZero() && !at.Before(p.ready) && (p.term.IsZero() || at.Before(p.term.Add(lateSend))) && (p.ended.IsZero() || at.Before(p.ended)) {
			return true
		}
	}
	return false
}

// afterStop reports whether the request was sent after the SIGTERM of its entry.
func (a *stopCall) afterStop() bool {
	return !a.process.term.IsZero() && a.first.After(a.process.term)
}

// late reports whether the request was sent so late after the SIGTERM of its entry that it may
// not be cut.
func (a *stopCall) late() bool {
	return !a.process.term.IsZero() && a.sent.After(a.process.term.Add(lateSend))
}

// limitReached reports whether the time limit of the request had passed when it ended.
func (a *stopCall) limitReached() bool { return a.ended.Sub(a.first) >= a.limit }

// endAndEntry returns the kind of end of the request, and whether its entry was stopping.
func (a *stopCall) endAndEntry() string {
	switch {
	case a.late():
		return a.end() + " by a stopping entry, sent late"
	case a.afterStop():
		return a.end() + " by a stopping entry"
	}
	return a.end()
}

// crossed reports whether the connection was closed as the request arrived.
func (a *stopCall) crossed() bool { return strings.HasPrefix(a.end(), "crossed") }

// crossing returns the time from the last byte of a request to the close that it crossed, 0 if
// it did not cross one.
func (a *stopCall) crossing() time.Duration {
	if !a.crossed() {
		return 0
	}
	return a.ended.Sub(a.readable)
}

// end returns the kind of end of the request.
func (a *stopCall) end() string {
	switch {
	case a.err == nil && a.status == http.StatusOK:
		return "answered"
	case a.err == nil && a.status == http.StatusServiceUnavailable && strings.Contains(a.text, stoppingCause):
		return "refused because of stopping"
	case a.err == nil:
		cause, _, _ := strings.Cut(a.text, "\n")
		return fmt.Sprintf("failed with %d %q", a.status, cause)
	case a.sent.IsZero():
		return "not sent"
	case a.limitReached():
		return "cut at its time limit"
	case a.status == 0 && a.ended.Sub(a.readable) <= lossSlack:
		if a.keptOpen {
			return "crossed a close"
		}
		return "crossed a close on a new connection"
	}
	return "cut"
}

// lost returns a violation if the request was read and its connection closed without a
// complete answer, though that is not allowed.
func (a *stopCall) lost(ran []rig.Run) string {
	switch {
	case errors.Is(a.err, errUnanswered):
		return "no answer long after its time limit"
	case a.err == nil || a.sent.IsZero() || a.limitReached():
		return ""
	}
	if len(ran) == 0 && a.ended.Sub(a.readable) <= lossSlack {
		return "" // crossed the close
	}
	term := a.process.term
	if !term.IsZero() && !a.late() && a.ended.After(term.Add(cutFrom)) && a.running(ran) {
		return ""
	}
	return "LOST"
}

// running reports whether a server worked on the request when it ended.
func (a *stopCall) running(ran []rig.Run) bool {
	for _, r := range ran {
		if r.Ended.IsZero() || r.Ended.After(a.ended) || !r.Whole && r.Ended.After(a.ended.Add(-lossSlack)) {
			return true
		}
	}
	return false
}

// untrue returns a violation if the request was refused and the refusal is not true, comes
// late or does not say when to come back.
func (a *stopCall) untrue(ran []rig.Run) string {
	if a.err != nil {
		return ""
	}
	switch a.status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
	default:
		return ""
	}
	wait, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
	switch {
	case len(ran) > 0:
		return "refused and run"
	case err != nil || wait < 0:
		return fmt.Sprintf("refused with Retry-After %q", a.header.Get("Retry-After"))
	case strings.Contains(a.text, stoppingCause) && a.refusedLate():
		return "refused late"
	case strings.Contains(a.text, stoppingCause) && wait > longestReturn.Seconds():
		return "told to return later than an entry may take to stop and start"
	case strings.Contains(a.text, stoppingCause) && a.process.term.IsZero():
		return "refused by an entry that does not stop"
	}
	return ""
}

// refusedLate reports whether a stopping entry refused the request later than refusalTime after
// it was sent. One that waited for room as the entry began to refuse has until refusalTime
// after lateSend.
func (a *stopCall) refusedLate() bool {
	from := a.readable
	if begin := a.process.term.Add(lateSend); from.Before(begin) {
		from = begin
	}
	return a.answered.Sub(from) > refusalTime
}

// mixed returns a violation if the answer is another than that of a server: a stream that is
// not whole looks complete, its events are not in order, or a proper request is denied.
func (a *stopCall) mixed() string {
	want := rig.Answer(a.method, a.path, a.body)
	if a.stream {
		var all strings.Builder
		for n := 1; n <= a.events; n++ {
			all.WriteString(rig.Padding(padding(a.body)) + rig.Event(n, a.body))
		}
		want = all.String()
	}
	switch {
	case a.status >= 300 && a.status < 500 && a.status != http.StatusTooManyRequests && a.status != http.StatusRequestTimeout && a.status != http.StatusMisdirectedRequest:
		return "a proper request is denied"
	case a.status != http.StatusOK:
		return ""
	case a.err == nil && !a.framed:
		return "the end of the answer can't be told"
	case a.err == nil && a.text != want:
		return "an answer that is not whole looks complete"
	case !strings.HasPrefix(want, a.text):
		return "the answer is another one"
	}
	return ""
}

// repeated returns a violation if the request ran more often than its route allows.
func (a *stopCall) repeated(ran []rig.Run) string {
	if len(ran) > a.runs {
		return fmt.Sprintf("ran %d times", len(ran))
	}
	return ""
}

// trace describes a request: times in seconds after the SIGTERM of its entry, or after the
// begin of the soak if there was none, and the lines of its entry's log.
func (s *stopSoak) trace(a *stopCall, ran []rig.Run) string {
	var b strings.Builder
	from, name := a.process.term, "SIGTERM"
	if from.IsZero() {
		from, name = s.began, "the begin"
	}
	after := func(at time.Time) string {
		if at.IsZero() {
			return "-"
		}
		return fmt.Sprintf("%.3f", at.Sub(from).Seconds())
	}
	fmt.Fprintf(&b, "%s %s at entry %d (its SIGTERM at %.3f s), %d events, limit %v, upload pause %v, read pause %v, connection kept %t\n", a.id, a.path, a.process.entry,
		a.process.term.Sub(s.began).Seconds(), a.events, a.limit, a.uploadPause, a.readPause, a.keptOpen)
	fmt.Fprintf(&b, "after %s: first byte %s, sent %s, ended %s, process ended %s; status %d, %d bytes, %v, %s\n", name,
		after(a.first), after(a.sent), after(a.ended), after(a.process.ended), a.status, len(a.text), a.err, cmp.Or(a.header.Get("Retry-After"), "no Retry-After"))
	for _, r := range ran {
		fmt.Fprintf(&b, "run from %s to %s, whole %t, after event %d\n", after(r.At), after(r.Ended), r.Whole, r.LastEvent)
	}
	for line := range strings.Lines(s.entries[a.process.entry].log.String()) {
		if strings.Contains(line, a.id+" ") {
			b.WriteString(line)
		}
	}
	return b.String()
}
