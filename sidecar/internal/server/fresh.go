package server

import (
	"net/http"
	"time"

	"bamboohill/core/verifier"
	"bamboohill/sidecar/internal/settings"
)

// maxHeadBytes bounds the head of an answer of the backend server, which may have no end.
const maxHeadBytes = 64 << 10

// transport sends requests that must not get the answer to another one on connections of
// their own. Answers of the backend server don't name their request, so that one which it
// writes once more on a kept connection would be taken for the next.
type transport struct {
	kept, fresh *verifier.Transport
	isFresh     func(*http.Request) bool
}

// newTransport returns the transport to a backend server of a kind. A prompt, of which an
// answer may say that it has not run, and a call that may run once at most get connections of
// their own.
func newTransport(kind string, idle time.Duration) transport {
	return transport{
		kept:  verifier.NewTransport(&http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: idle, MaxResponseHeaderBytes: maxHeadBytes}),
		fresh: verifier.NewTransport(&http.Transport{DisableKeepAlives: true, MaxResponseHeaderBytes: maxHeadBytes}),
		isFresh: func(q *http.Request) bool {
			if kind == settings.KindModel {
				return q.URL.Path == generatePath
			}
			return q.Method != http.MethodGet && q.Method != http.MethodHead && q.Method != http.MethodOptions
		},
	}
}

// RoundTrip implements http.RoundTripper.
func (t transport) RoundTrip(q *http.Request) (*http.Response, error) {
	if t.isFresh(q) {
		return t.fresh.RoundTrip(q)
	}
	return t.kept.RoundTrip(q)
}
