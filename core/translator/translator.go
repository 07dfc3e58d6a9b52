// Package translator defines the interface through which an entry exchanges
// headers with callers and backend servers that do not use the product's own
// headers. An adapter implements Dialect; the entry depends on nothing else
// about the header names and values.
package translator

import (
	"net/http"
	"time"

	"bamboohill/core/viewer"
)

// Call is the content of the header of a caller's request.
type Call struct {
	Attempt   string        // the caller's id of this attempt; empty if missing
	Remaining time.Duration // how long the caller waits; 0 if unspecified
	Key       string        // of the client account; empty if missing
	Prompt    int           // length in tokens
	Answer    int           // maximum length in tokens
	LastEvent string        // id of the last event of this stream that the caller has received
	Parts     []string      // ids of the parts of the prompt that other requests may share, in order: all but the last
}

// RequestMetadata is what the system adds to the caller's header when it
// forwards a request to a backend server.
type RequestMetadata struct {
	Server    viewer.ServerID // the only backend server that may run the request
	Account   string          // empty if the request has none
	Remaining time.Duration   // until the answer is of no use; 0 if unknown
	LastEvent string          // for a stream: id of the last event that must not be sent again
	Helpers   []Helper        // backend servers that prefill parts of the prompt
	Priority  *int            // 0 is the most urgent; nil if the backend server treats all requests alike
}

// Helper is a backend server that prefills a part of a prompt.
type Helper struct {
	Address string
	Ticket  string // id of the memory reservation there; empty if none
}

// MemoryRequest is a request to a backend server to reserve or release memory.
type MemoryRequest struct {
	Method string
	Path   string
	Body   []byte
}

// Classification is what the head of an answer says about its request.
type Classification struct {
	NotRun       bool   // the backend server states that it did not run the request
	OtherServer  bool   // the address now belongs to another backend server
	FaultyServer string // address of the backend server that caused the failure, if it is not the one that answered
	Said         Statement
}

// Dialect converts between the product's terms and the headers of callers and
// backend servers.
type Dialect interface {
	// Decode parses the header of a caller's request.
	Decode(http.Header) Call
	// Encode returns the header of a request to a backend server. Fields that
	// only the system may set are not copied from the caller's header.
	Encode(caller http.Header, m RequestMetadata) http.Header
	// Matches reports whether an answer belongs to an attempt. One that names several attempts
	// belongs to none of them; one to a MemoryRequest belongs to the attempt "".
	Matches(answer http.Header, attempt string) bool
	// Classify interprets the head of an answer.
	Classify(status int, answer http.Header) Classification
	// Reserve returns the request that reserves memory for a number of tokens
	// under a ticket for the given time, or renews the reservation.
	Reserve(ticket string, tokens int, hold time.Duration) (MemoryRequest, error)
	// Release returns the request that ends a reservation.
	Release(ticket string) (MemoryRequest, error)
	// Reply returns the header of the answer to the caller.
	Reply(answer http.Header) http.Header
}
