package forwarder_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"bamboohill/core/viewer"
	"bamboohill/platform/rig"
)

// breaks are the ways in which a stream breaks off after its third event.
var breaks = map[string]reply{
	"within an event":             {bytes: chunked(span(1, 3) + rig.Event(4, streamText)[:30])},
	"between events":              {bytes: chunked(span(1, 3))},
	"by a reset":                  {bytes: unframed(span(1, 3)), reset: true},
	"within an event, unframed":   {bytes: unframed(span(1, 3) + rig.Event(4, streamText)[:30])},
	"in silence":                  {bytes: chunked(span(1, 3)), hang: true},
	"into a head":                 {bytes: unframed(span(1, 3) + plainAnswer(500, "text/plain", "engine failed"))},
	"within an event into a head": {bytes: unframed(span(1, 3) + rig.Event(4, streamText)[:30] + plainAnswer(500, "text/plain", "engine failed"))},
	"into text":                   {bytes: complete(span(1, 3) + "upstream error: engine failed\n\n")},
	"into json":                   {bytes: complete(span(1, 3) + `{"error":"engine failed"}` + "\n\n")},
}

// continuations are the answers of the engine that is to resume the stream. Those with a
// body are relayed, the others must not be seen by callers.
var continuations = map[string]struct {
	reply reply
	rest  string // events that the caller gets of it
	whole bool   // the stream is complete then
}{
	"the rest":                   {reply: reply{bytes: complete(span(4, 8))}, rest: span(4, 8), whole: true},
	"the rest, unframed":         {reply: reply{bytes: unframed(span(4, 8))}, rest: span(4, 8), whole: true},
	"the rest after comments":    {reply: reply{bytes: complete(": alive\n\n" + span(4, 8))}, rest: ": alive\n\n" + span(4, 8), whole: true},
	"a part":                     {reply: reply{bytes: chunked(span(4, 6))}, rest: span(4, 6)},
	"400":                        {reply: reply{bytes: plainAnswer(400, "text/plain", "bad request\n\n")}},
	"404":                        {reply: reply{bytes: plainAnswer(404, "text/plain", "not found\n\n")}},
	"409":                        {reply: reply{bytes: plainAnswer(409, "text/event-stream", span(4, 8))}},
	"413":                        {reply: reply{bytes: plainAnswer(413, "", "")}},
	"422":                        {reply: reply{bytes: plainAnswer(422, "text/event-stream", "data: error\n\n")}},
	"429":                        {reply: reply{bytes: plainAnswer(429, "text/plain", "busy\n\n", "Not-Executed: 1")}},
	"429 that ran":               {reply: reply{bytes: plainAnswer(429, "text/event-stream", span(4, 8))}},
	"500":                        {reply: reply{bytes: plainAnswer(500, "text/plain", "failed\n\n")}},
	"500 like events":            {reply: reply{bytes: plainAnswer(500, "text/event-stream", span(4, 8))}},
	"500 like a head":            {reply: reply{bytes: plainAnswer(500, "text/event-stream", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody")}},
	"500 unframed":               {reply: reply{bytes: "HTTP/1.1 500 x\r\nAttempt-Id: AT\r\nContent-Type: text/event-stream\r\n\r\n" + span(4, 8)}},
	"500 with an encoding":       {reply: reply{bytes: plainAnswer(500, "text/event-stream", span(4, 8), "Content-Encoding: gzip")}},
	"500 without end":            {reply: reply{bytes: "HTTP/1.1 500 x\r\nAttempt-Id: AT\r\nContent-Type: text/event-stream\r\n\r\n", flood: span(4, 8)}},
	"503 with not executed":      {reply: reply{bytes: plainAnswer(503, "text/event-stream", span(4, 8), "Not-Executed: 1", "Retry-After: 2")}},
	"503 without end":            {reply: reply{bytes: "HTTP/1.1 503 x\r\nAttempt-Id: AT\r\nNot-Executed: 1\r\nContent-Type: text/event-stream\r\n\r\n", flood: span(4, 8)}},
	"503 that ran":               {reply: reply{bytes: plainAnswer(503, "text/event-stream", span(4, 8), "Retry-After: 2")}},
	"421":                        {reply: reply{bytes: plainAnswer(421, "text/event-stream", span(4, 8))}},
	"302":                        {reply: reply{bytes: plainAnswer(302, "text/event-stream", span(4, 8), "Location: /x")}},
	"204":                        {reply: reply{bytes: "HTTP/1.1 204 No Content\r\nAttempt-Id: AT\r\nResponse-Stamp: s\r\n\r\n"}},
	"206":                        {reply: reply{bytes: plainAnswer(206, "text/event-stream", span(4, 8))}},
	"json":                       {reply: reply{bytes: plainAnswer(200, "application/json", `{"error":"x"}`+"\n\n")}},
	"empty json":                 {reply: reply{bytes: plainAnswer(200, "application/json", "")}},
	"no content type":            {reply: reply{bytes: plainAnswer(200, "", "failed\n\n")}},
	"with an encoding":           {reply: reply{bytes: plainAnswer(200, "text/event-stream", span(4, 8), "Content-Encoding: gzip")}},
	"from the start":             {reply: reply{bytes: complete(span(1, 8))}},
	"the last event again":       {reply: reply{bytes: complete(span(3, 8))}},
	"an event twice":             {reply: reply{bytes: complete(span(4, 5) + span(5, 8))}, rest: span(4, 5)},
	"without an event":           {reply: reply{bytes: complete(span(5, 8))}},
	"without an event later":     {reply: reply{bytes: complete(span(4, 5) + span(7, 8))}, rest: span(4, 5)},
	"events without ids":         {reply: reply{bytes: complete("data: a\n\ndata: b\n\n")}},
	"text":                       {reply: reply{bytes: complete("engine failed\n\n")}},
	"an error event":             {reply: reply{bytes: complete("event: error\ndata: failed\n\n")}},
	"the rest of an event":       {reply: reply{bytes: complete(rig.Event(4, streamText)[30:] + span(5, 8))}},
	"a head":                     {reply: reply{bytes: unframed(plainAnswer(500, "text/plain", "failed\n\n"))}},
	"ends within its first":      {reply: reply{bytes: complete(rig.Event(4, streamText)[:20])}},
	"breaks before its first":    {reply: reply{bytes: chunked("")}},
	"closes before its first":    {reply: reply{bytes: unframed("")}},
	"resets before its first":    {reply: reply{bytes: unframed(""), reset: true}},
	"closes":                     {reply: reply{}},
	"bytes that are no answer":   {reply: reply{bytes: span(4, 8)}},
	"status 000":                 {reply: reply{bytes: strings.Replace(complete(span(4, 8)), "200", "000", 1)}},
	"status 000 before a head":   {reply: reply{bytes: "HTTP/1.1 000 x\r\n\r\n" + complete(span(4, 8))}},
	"status 101 before a head":   {reply: reply{bytes: "HTTP/1.1 101 x\r\n\r\n" + complete(span(4, 8))}},
	"status 103 before a head":   {reply: reply{bytes: "HTTP/1.1 103 x\r\n\r\n" + complete(span(4, 8))}, rest: span(4, 8), whole: true},
	"a blank in a name":          {reply: reply{bytes: strings.Replace(complete(span(4, 8)), "Response-Stamp", "Response Stamp", 1)}},
	"a blank beside its framing": {reply: reply{bytes: streamHead + "Transfer-Encoding : chunked\r\n\r\n" + chunk(span(4, 8)) + chunk("")}},
	"chunks of HTTP/1.0":         {reply: reply{bytes: strings.Replace(complete(span(4, 8)), "1.1", "1.0", 1)}},
	"HTTP/1.0":                   {reply: reply{bytes: strings.Replace(unframed(span(4, 8)), "1.1", "1.0", 1)}, rest: span(4, 8), whole: true},
	"a blank in its trailer":     {reply: reply{bytes: chunked(span(4, 8)) + "0\r\nOther Note: a\r\n\r\n"}, rest: span(4, 8)},
	"a sound trailer":            {reply: reply{bytes: chunked(span(4, 8)) + "0\r\nNote: a\r\n\r\n"}, rest: span(4, 8), whole: true},
	"another attempt's":          {reply: reply{bytes: strings.ReplaceAll(complete(span(4, 8)), "AT", "other")}},
	"another attempt's unframed": {reply: reply{bytes: strings.ReplaceAll(unframed(span(4, 8)), "AT", "other")}},
}

// afterSilence are the continuations that are tested after a silence.
var afterSilence = map[string]bool{"the rest": true, "a part": true, "404": true, "500": true, "503 with not executed": true, "from the start": true}

// fails is an error answer that comes before the stream begins.
var fails = reply{bytes: plainAnswer(500, "text/plain", "first failure\n\n")}

// TestErrorInsideStream guards against anything but the further events of a stream after
// it has broken off: an error's text or head, events of another run, or an end that looks
// complete.
func TestErrorInsideStream(t *testing.T) {
	for broken, first := range breaks {
		for next, test := range continuations {
			if broken == "in silence" && !afterSilence[next] {
				continue // each takes the silence timeout
			}
			for name, replies := range map[string][]reply{
				"at first":       {first, test.reply},
				"after an error": {fails, first, test.reply},
			} {
				t.Run(broken+"/"+next+"/"+name, func(t *testing.T) {
					t.Parallel()
					b, s := newScriptedBench(t, 4, len(replies), replies...)
					b.configure(3, func(r *viewer.Route) {
						r.MaxAttempts = len(replies)
						r.TargetGap = 50 * time.Millisecond
					})
					got := b.callRaw("HTTP/1.1", "/chat/x", false)
					if got.status != http.StatusOK || got.body != span(1, 3)+test.rest || got.complete != test.whole {
						t.Errorf("complete %v after %d requests, want %v; got %q", got.complete, s.arrivals(), test.whole, got.raw)
					}
				})
			}
		}
	}
}
