// Package identifier mints the random identifiers of requests and attempts.
//
// # Usage
//
//	request := identifier.New[identifier.Request]()
package identifier

import (
	"crypto/rand"
	"encoding/hex"
)

// size is the length of an identifier in bytes.
const size = 16

// Request names one request of a caller, over all its attempts.
type Request string

// Attempt names one try of a request at one backend server.
type Attempt string

// Server names a backend server.
type Server string

// VM names the VM that a backend server runs on.
type VM string

// Domain names a failure domain.
type Domain string

// Account names a client account.
type Account string

// New returns a fresh identifier of 128 random bits in hexadecimal.
func New[T ~string]() T {
	var b [size]byte
	rand.Read(b[:])
	return T(hex.EncodeToString(b[:]))
}
