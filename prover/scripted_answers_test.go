package prover

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"bamboohill/core/scripter"
	"bamboohill/platform/rig"
)

// unread is less than the time for which a server keeps a connection that it does not read. No
// answer may take as long.
const unread = 2 * time.Second

// settle is the time after which an answer has arrived before the connection ends.
const settle = 10 * time.Millisecond

// script is the answer of a scripted server. AT stands for the id of the attempt.
type script struct {
	bytes  string
	ending scripter.Ending
}

// arrivals counts the requests that reached a server, by attempt. It is safe for concurrent
// use.
type arrivals struct {
	mu    sync.Mutex
	count map[string]int
}

func (a *arrivals) add(attempt string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.count[attempt]++
}

func (a *arrivals) of(attempt string) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.count[attempt]
}

// startScripted starts a scripted server and registers it in the store. Orders and probes get
// no answer.
func startScripted(t *testing.T, store *rig.Store, service string, answer script) *arrivals {
	t.Helper()
	arrived := &arrivals{count: map[string]int{}}
	s, err := scripter.Start(scripter.Config{Ending: answer.ending, Delay: settle, Answer: func(r *http.Request) string {
		attempt := r.Header.Get("Attempt-Id")
		if attempt == "" {
			return ""
		}
		arrived.add(attempt)
		return strings.ReplaceAll(answer.bytes, "AT", attempt)
	}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Close() }) // errors on closing don't affect the test
	row, err := json.Marshal(map[string]any{
		"service": service, "address": s.Address(), "zone": "north", "version": "v1", "slots": 16,
		"state": "ready", "coldRemainingMs": 0, "sequence": 1, "born": time.Now().UnixMilli(),
	})
	if err != nil {
		t.Fatal(err)
	}
	store.Put("servers", service+"-0", row)
	return arrived
}

// brokenRequests is the number of requests that are sent for each answer.
const brokenRequests = 25

// Heads of scripted answers without their framing and end.
const (
	plainStart  = "HTTP/1.1 200 OK\r\nAttempt-Id: AT\r\nResponse-Stamp: s\r\n"
	streamStart = plainStart + "Content-Type: text/event-stream\r\n"
)

// withLength returns an answer with a length and further header lines.
func withLength(body string, lines ...string) string {
	return plainStart + strings.Join(append(lines, ""), "\r\n") + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
}

// chunks returns the body in one chunk, with the trailer lines given.
func chunks(body string, trailer ...string) string {
	return fmt.Sprintf("%x\r\n%s\r\n0\r\n%s\r\n", len(body), body, strings.Join(append(trailer, ""), "\r\n"))
}

// scriptedAnswer is an answer of a backend server to a request of a caller.
type scriptedAnswer struct {
	path   string
	upload int // bytes of the request's body
	script script
	status int    // of the answer that callers get; 0 if it is broken
	body   string // of the answer that callers get
}

// scriptedAnswers are broken answers, and sound ones that resemble them.
var scriptedAnswers = map[string]scriptedAnswer{
	"reset in an upload of 300 KiB":        {path: "/book/", upload: 300 << 10, script: script{bytes: plainStart + "\r\npart", ending: scripter.Reset}},
	"reset in an upload of 3 MiB":          {path: "/book/", upload: 3 << 20, script: script{bytes: plainStart + "\r\npart", ending: scripter.Reset}},
	"reset in an upload to a stream":       {path: "/chat/", upload: 3 << 20, script: script{bytes: streamStart + "\r\n" + rig.Event(1, "part"), ending: scripter.Reset}},
	"closed in an upload of 3 MiB":         {path: "/book/", upload: 3 << 20, script: script{bytes: plainStart + "\r\npart", ending: scripter.CloseUnread}},
	"failure reset in an upload":           {path: "/book/", upload: 3 << 20, script: script{bytes: strings.Replace(plainStart, "200 OK", "400 x", 1) + "\r\npart", ending: scripter.Reset}},
	"whole upload, then end":               {path: "/book/", upload: 300 << 10, script: script{bytes: plainStart + "\r\nwhole"}, status: http.StatusOK, body: "whole"},
	"whole upload to a stream, then end":   {path: "/chat/", upload: 300 << 10, script: script{bytes: streamStart + "\r\n" + rig.Event(1, "whole")}, status: http.StatusOK, body: rig.Event(1, "whole")},
	"end of its own direction":             {path: "/book/", upload: 3 << 20, script: script{bytes: plainStart + "\r\nwhole", ending: scripter.HalfClose}, status: http.StatusOK, body: "whole"},
	"end of its own direction, unread":     {path: "/book/", upload: 3 << 20, script: script{bytes: plainStart + "\r\nwhole", ending: scripter.HalfCloseUnread}, status: http.StatusOK, body: "whole"},
	"length in an upload that is not read": {path: "/book/", upload: 3 << 20, script: script{bytes: withLength("whole"), ending: scripter.KeepUnread}, status: http.StatusOK, body: "whole"},
	"length in an upload that is reset":    {path: "/book/", upload: 3 << 20, script: script{bytes: withLength("whole"), ending: scripter.Reset}, status: http.StatusOK, body: "whole"},
	"413 in an upload that is not read":    {path: "/book/", upload: 3 << 20, script: script{bytes: strings.Replace(withLength("no"), "200 OK", "413 x", 1), ending: scripter.KeepUnread}, status: http.StatusRequestEntityTooLarge, body: "no"},
	"short request, then end":              {path: "/book/", script: script{bytes: plainStart + "\r\nwhole"}, status: http.StatusOK, body: "whole"},
	"short request, then reset":            {path: "/book/", script: script{bytes: plainStart + "\r\npart", ending: scripter.Reset}},

	"status 000":                     {path: "/book/", script: script{bytes: strings.Replace(withLength("hi"), "200", "000", 1)}},
	"status 000 to a stream":         {path: "/chat/", script: script{bytes: strings.Replace(streamStart, "200", "000", 1) + "\r\n" + rig.Event(1, "hi")}},
	"status 000 before another head": {path: "/book/", script: script{bytes: "HTTP/1.1 000 x\r\n\r\n" + withLength("hi")}},
	"status 099 before another head": {path: "/book/", script: script{bytes: "HTTP/1.1 099 x\r\n\r\n" + withLength("hi")}},
	"status 101 before another head": {path: "/book/", script: script{bytes: "HTTP/1.1 101 x\r\n\r\n" + withLength("hi")}},
	"status 000 before a stream":     {path: "/chat/", script: script{bytes: "HTTP/1.1 000 x\r\n\r\n" + streamStart + "\r\n" + rig.Event(1, "hi")}},
	"status 600":                     {path: "/book/", script: script{bytes: strings.Replace(withLength("hi"), "200", "600", 1)}},
	"status 999":                     {path: "/book/", script: script{bytes: strings.Replace(withLength("hi"), "200", "999", 1)}},
	"version 2.0":                    {path: "/book/", script: script{bytes: strings.Replace(withLength("hi"), "1.1", "2.0", 1)}},
	"control byte in the reason":     {path: "/book/", script: script{bytes: strings.Replace(withLength("hi"), "OK", "O\x01K", 1)}},
	"status 100":                     {path: "/book/", script: script{bytes: "HTTP/1.1 100 Continue\r\n\r\n" + withLength("hi")}, status: http.StatusOK, body: "hi"},
	"status 103":                     {path: "/book/", script: script{bytes: "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + withLength("hi")}, status: http.StatusOK, body: "hi"},
	"version 1.0":                    {path: "/book/", script: script{bytes: strings.Replace(withLength("hi"), "1.1", "1.0", 1)}, status: http.StatusOK, body: "hi"},

	"blank beside the colon of the length":   {path: "/book/", script: script{bytes: plainStart + "Content-Length : 2\r\n\r\nhi and more"}},
	"blank in the name of the encoding":      {path: "/book/", script: script{bytes: plainStart + "Transfer Encoding: chunked\r\n\r\n" + chunks("hi")}},
	"blank beside the encoding of a stream":  {path: "/chat/", script: script{bytes: streamStart + "Transfer-Encoding : chunked\r\n\r\n" + chunks(rig.Event(1, "hi"))}},
	"blank in another name":                  {path: "/book/", script: script{bytes: withLength("hi", "Other Note: a")}},
	"blank in another name of a stream":      {path: "/chat/", script: script{bytes: streamStart + "Other Note: a\r\n\r\n" + rig.Event(1, "hi")}},
	"blank in a name of an interim answer":   {path: "/book/", script: script{bytes: "HTTP/1.1 103 Early Hints\r\nOther Note: a\r\n\r\n" + withLength("hi")}},
	"blank in the first name":                {path: "/book/", script: script{bytes: strings.Replace(withLength("hi"), "\r\n", "\r\nOther Note: a\r\n", 1)}},
	"blank before the first name":            {path: "/book/", script: script{bytes: strings.Replace(withLength("hi"), "\r\n", "\r\n Note: a\r\n", 1)}},
	"blank in a name of a trailer":           {path: "/book/", script: script{bytes: plainStart + "Transfer-Encoding: chunked\r\n\r\n" + chunks("hi", "Other Note: a")}},
	"blank in a name of a stream's trailer":  {path: "/chat/", script: script{bytes: streamStart + "Transfer-Encoding: chunked\r\n\r\n" + chunks(rig.Event(1, "hi"), "Other Note: a")}},
	"blank in a name of a failure":           {path: "/book/", script: script{bytes: strings.Replace(withLength("no", "Other Note: a"), "200", "500", 1)}},
	"control byte in a name":                 {path: "/book/", script: script{bytes: withLength("hi", "Other\x01Note: a")}},
	"control byte in a name of an interim":   {path: "/book/", script: script{bytes: "HTTP/1.1 103 x\r\nOther\x01Note: a\r\n\r\n" + withLength("hi")}},
	"names of all kinds of signs":            {path: "/book/", script: script{bytes: withLength("hi", "!#$%&'*+-.^_`|~9aZ: a")}, status: http.StatusOK, body: "hi"},
	"sound trailer":                          {path: "/book/", script: script{bytes: plainStart + "Transfer-Encoding: chunked\r\n\r\n" + chunks("hi", "Note: a")}, status: http.StatusOK, body: "hi"},
	"HTTP/1.0 with an encoding":              {path: "/book/", script: script{bytes: strings.Replace(plainStart, "1.1", "1.0", 1) + "Transfer-Encoding: chunked\r\n\r\n" + chunks("hi")}},
	"HTTP/1.0 with an encoding and a length": {path: "/book/", script: script{bytes: strings.Replace(plainStart, "1.1", "1.0", 1) + "Transfer-Encoding: chunked\r\nContent-Length: 12\r\n\r\n" + chunks("hi")}},
	"HTTP/1.0 stream with an encoding":       {path: "/chat/", script: script{bytes: strings.Replace(streamStart, "1.1", "1.0", 1) + "Transfer-Encoding: chunked\r\n\r\n" + chunks(rig.Event(1, "hi"))}},
	"HTTP/1.0 until the end":                 {path: "/book/", script: script{bytes: strings.Replace(plainStart, "1.1", "1.0", 1) + "\r\nhi"}, status: http.StatusOK, body: "hi"},
	"encoding":                               {path: "/book/", script: script{bytes: plainStart + "transfer-encoding: Chunked\r\n\r\n" + chunks("hi")}, status: http.StatusOK, body: "hi"},
}

// TestScriptedAnswers sends requests through an entry process to servers whose answers are
// broken or sound. No broken answer may look complete to a caller, and a request that reached
// a server may neither be refused as not run nor, if it may run once only, be sent again. No
// caller waits for a write that its server does not read.
func TestScriptedAnswers(t *testing.T) {
	for name, test := range scriptedAnswers {
		t.Run(name, func(t *testing.T) {
			d := &deployment{t: t, store: rig.NewStore()}
			d.store.Put("op", "config", desired(1, keptKey))
			service := map[string]string{"/book/": "plain", "/chat/": "pool"}[test.path]
			s := startScripted(t, d.store, service, test.script)
			e := d.newEntry(0, 1)
			e.start()
			t.Cleanup(e.kill)
			e.until("ready", e.isReady)
			arrived, delivered := 0, 0
			for range brokenRequests {
				a, d := test.check(t, e, s)
				arrived, delivered = arrived+a, delivered+d
			}
			t.Logf("%d of %d requests reached the server, %d answers delivered", arrived, brokenRequests, delivered)
			if arrived == 0 || test.status == 0 && delivered > 0 || test.status != 0 && delivered < brokenRequests {
				t.Error("want whole answers delivered, and no others")
			}
		})
	}
}

// check sends one request. It returns how often the request reached the server, at most once
// counted, and whether an answer was delivered, as 0 or 1.
func (a scriptedAnswer) check(t *testing.T, e *directEntry, s *arrivals) (arrived, delivered int) {
	t.Helper()
	attempt, sent := nextAttempt(), time.Now()
	status, body, err := e.askAs(attempt, a.path+"x", keptKey, strings.Repeat("u", a.upload))
	arrivals := s.of(attempt)
	if took := time.Since(sent); took >= unread {
		t.Errorf("%s took %v", attempt, took)
	}
	if arrivals > 1 && a.path == "/book/" {
		t.Errorf("%s reached the server %d times", attempt, arrivals)
	}
	if arrivals > 0 && (status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable) {
		t.Errorf("%s reached the server and was answered %d", attempt, status)
	}
	if err != nil || isOwn(status) {
		return min(1, arrivals), 0
	}
	if a.status != 0 && (status != a.status || body != a.body) {
		t.Errorf("%s was answered %d with %q", attempt, status, body)
	}
	return min(1, arrivals), 1
}

// isOwn reports whether an entry gives a status to requests that its servers have not
// answered.
func isOwn(status int) bool {
	return status == http.StatusBadGateway || status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout
}
