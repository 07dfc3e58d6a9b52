// Package identifier defines the types of identifiers and generates the random
// identifiers of requests and attempts.
//
// # Usage
//
//	request := identifier.New[identifier.Request]()
package identifier

import (
	"crypto/rand"
	"encoding/hex"
)

// size is the length of a random identifier in bytes.
const size = 16

// Request identifies a caller's request across all its attempts.
type Request string

// Attempt identifies an attempt to run a request on a backend server.
type Attempt string

// Server identifies a backend server.
type Server string

// VM identifies the VM that a backend server runs on.
type VM string

// Domain identifies a failure domain.
type Domain string

// Account identifies a client account.
type Account string

// New returns a new identifier of 128 random bits in hexadecimal.
func New[T ~string]() T {
	var b [size]byte
	rand.Read(b[:])
	return T(hex.EncodeToString(b[:]))
}
