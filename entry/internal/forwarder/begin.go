package forwarder

import (
	"errors"
	"fmt"
	"net/http"
	"strings"

	"bamboohill/core/connector"
	"bamboohill/entry/internal/spooler"
)

// errNoEvents reports a stream without an event whose end can't be distinguished from a
// crash of its backend server.
var errNoEvents = errors.New("answer closed before its first event")

// notContinuedError reports an answer that can't continue the one that has begun.
type notContinuedError struct {
	status    int
	mediaType string
}

// Error implements error.
func (e *notContinuedError) Error() string {
	return fmt.Sprintf("answered %d %s with %q inside a stream", e.status, http.StatusText(e.status), e.mediaType)
}

// begin sends the status and header of the answer to the caller. All answers begin here. An
// answer that has begun is cut instead, as nothing but further events may follow it.
func (x *exchange) begin(status int, header http.Header) {
	if x.relay.started.Swap(true) {
		x.cut("a second answer")
	}
	x.relay.status, x.relay.mediaType = status, mediaType(header)
	h := x.w.Header()
	for name, values := range header {
		h[name] = values
	}
	x.close()
	x.w.WriteHeader(status)
}

// checkContinuation checks the head of an answer before any of it is relayed. Once the
// answer to the caller has begun, only a stream of the same kind may go on with it. The
// error is a *notContinuedError.
func (r *relay) checkContinuation(answer *connector.Answer) error {
	if !r.started.Load() || answer.Status == r.status && mediaType(answer.Header) == r.mediaType {
		return nil
	}
	return &notContinuedError{status: answer.Status, mediaType: mediaType(answer.Header)}
}

// checkEnd checks whether a stream is complete whose last answer has ended after the given
// number of events.
func (r *relay) checkEnd(answer *connector.Answer, events int) error {
	switch {
	case r.splitter.PendingBytes() > 0 || r.splitter.Owed():
		return errTruncated
	case events == 0 && !answer.Framed:
		return errNoEvents
	}
	return nil
}

// mediaType returns the content type in lower case without its parameters.
func mediaType(h http.Header) string {
	name, _, _ := strings.Cut(h.Get("Content-Type"), ";")
	return strings.ToLower(strings.TrimSpace(name))
}

// cut ends a request without a complete answer. It closes the connection, so that the caller
// sees that.
func (x *exchange) cut(cause string) {
	x.end("cut", 0, cause)
	x.abort()
}

// leave ends a request whose caller has left. A caller may have closed only its sending
// side: an answer must not look complete to it, and none must not become an empty success.
func (x *exchange) leave(cause string) {
	x.end("caller-left", 0, cause)
	x.abort()
}

// abort closes the connection without the end of the answer. It does not return. Where the
// end of the connection ends the answer, as with HTTP/1.0, or where nobody reads it, the
// connection is reset.
func (x *exchange) abort() {
	if !x.r.ProtoAtLeast(1, 1) || x.r.Context().Err() != nil {
		spooler.From(x.r.Context()).Reset()
	}
	panic(http.ErrAbortHandler)
}
