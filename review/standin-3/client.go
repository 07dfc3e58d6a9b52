package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

var attempts atomic.Int64

// result is what a client got.
type result struct {
	attempt string
	kind    string
	sent    time.Time
	took    time.Duration
	status  int // 0 if the channel ended without an answer
	body    string
	whole   bool
	stamp   string
	err     error
}

// request is what a client asks.
type request struct {
	method, path, key, body, kind string
	limit                         time.Duration
	header                        map[string]string
}

const host = "site.example"

// client is one client with kept channels.
type client struct{ http *http.Client }

func newClient() *client {
	d := net.Dialer{Timeout: time.Second}
	return &client{&http.Client{Transport: &http.Transport{DialContext: d.DialContext, DisableCompression: true, MaxIdleConnsPerHost: 1, IdleConnTimeout: 3 * time.Second}}}
}

// ask sends a request to an entry.
func (c *client) ask(e *entry, q request) result {
	id := fmt.Sprintf("%08x%08x", attempts.Add(1), *seed)
	r, err := http.NewRequest(q.method, "http://"+e.callers+q.path, strings.NewReader(q.body))
	if err != nil {
		cannotRun(err.Error())
	}
	r.GetBody = nil // the transport must not send it again by itself
	r.Host = host
	r.Header.Set("Attempt-Id", id)
	r.Header.Set("Deadline-Ms", fmt.Sprint(q.limit.Milliseconds()))
	if q.key != "" {
		r.Header.Set("Authorization", "Token "+q.key)
	}
	for k, v := range q.header {
		r.Header.Set(k, v)
	}
	x := result{attempt: id, kind: q.kind, sent: time.Now()}
	timer := time.AfterFunc(q.limit+2*time.Second, func() {})
	defer timer.Stop()
	h := *c.http
	h.Timeout = q.limit + 2*time.Second
	answer, err := h.Do(r)
	x.took = time.Since(x.sent)
	if err != nil {
		x.err = err
		return x
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	x.took = time.Since(x.sent)
	x.status, x.body, x.whole, x.err, x.stamp = answer.StatusCode, string(text), err == nil, err, answer.Header.Get("Response-Stamp")
	return x
}
