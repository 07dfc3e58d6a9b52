package verifier

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
)

// Transport is an http.RoundTripper that returns no answer that is broken. Its errors are those
// of http.Transport, and *HeadError. Reads of a body return a *BrokenError or a *HeadError if
// the answer turns out to be broken.
//
// Heads are not checked on connections with TLS, whose servers are authenticated.
type Transport struct {
	base *http.Transport
}

// DefaultTransport is http.DefaultTransport with a pool of connections of its own.
var DefaultTransport = NewTransport(http.DefaultTransport.(*http.Transport).Clone())

// NewTransport returns a Transport over base, which the caller must not use any more.
func NewTransport(base *http.Transport) *Transport {
	dial := base.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(c), nil
	}
	return &Transport{base: base}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(q *http.Request) (*http.Response, error) {
	var used *Conn
	traced := q.WithContext(httptrace.WithClientTrace(q.Context(), &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if c, ok := info.Conn.(*Conn); ok {
				used = c
				_ = c.ExpectHead(nil) // no byte of it has been read
			}
		},
	}))
	answer, err := t.base.RoundTrip(traced)
	if err != nil {
		if used != nil && used.Broken() != nil {
			err = used.Broken()
		}
		return nil, err
	}
	answer.Request, answer.Body = q, NewBody(answer)
	return answer, nil
}

// CloseIdleConnections closes the connections that no request uses.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }
