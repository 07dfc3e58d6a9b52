// Package translator is the port through which an entry speaks to callers and
// backend servers whose headers are not the product's own: what they mean, in
// the product's words. An adapter implements Dialect; the entry knows nothing
// else of the spelling.
package translator

import (
	"net/http"
	"time"

	"bamboohill/core/viewer"
)

// Call is what the header of a caller's request says.
type Call struct {
	Attempt string        // the caller's id of this attempt; empty if missing
	Left    time.Duration // how long the caller waits; 0 if it doesn't say
	Key     string        // of the client account; empty if missing
	Prompt  int           // tokens
	Answer  int           // most tokens
	Behind  string        // id of the last event that the caller has of this stream
}

// Sending is what the system says to a backend server beside the caller's own
// header.
type Sending struct {
	Server  viewer.ServerID // the only one that may run it
	Account string          // empty if the request has none
	Left    time.Duration   // until the answer is of no use; 0 if unknown
	Behind  string          // stream: id of the last event not to be sent again
	Helpers []Helper        // backend servers that read parts of the prompt
}

// Helper is a backend server that reads a part of a prompt.
type Helper struct {
	Address string
	Ticket  string // of the memory reserved there; empty if none
}

// Order is a call to a backend server that concerns its memory.
type Order struct {
	Method string
	Path   string
	Body   []byte
}

// Verdict is what the head of an answer says about its request.
type Verdict struct {
	NotRun  bool   // the backend server says that it did not run it
	Another bool   // another backend server has the address
	Culprit string // address of the backend server at fault, if another one
}

// Dialect spells what callers and backend servers say in headers.
type Dialect interface {
	// Decode reads the header of a caller's request.
	Decode(http.Header) Call
	// Encode returns the header of a request to a backend server. Nothing
	// that only the system may say is taken from the caller's.
	Encode(caller http.Header, s Sending) http.Header
	// Mine reports whether an answer belongs to an attempt.
	Mine(answer http.Header, attempt string) bool
	// Judge reads the head of an answer.
	Judge(status int, answer http.Header) Verdict
	// Reserve returns the order that reserves memory for a number of tokens
	// under a ticket, or renews the reservation.
	Reserve(ticket string, tokens int, hold time.Duration) (Order, error)
	// Release returns the order that ends a reservation.
	Release(ticket string) (Order, error)
	// Reply returns the header of the answer to the caller.
	Reply(answer http.Header) http.Header
}
