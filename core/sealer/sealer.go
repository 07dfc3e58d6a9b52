package sealer

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
)

// Direction says which side made a datagram, so that none is taken back by the
// side that sent it.
type Direction byte

// Values of Direction.
const (
	Beat Direction = 1 // of a sidecar
	Ack  Direction = 2 // of an entry
	Push Direction = 3 // of an entry
	Took Direction = 4 // of a sidecar that took a push
)

// Sizes in bytes.
const (
	KeyBytes     = 16
	sessionBytes = 8
	codeBytes    = 16
	// Overhead is what Seal adds to a body.
	Overhead = sessionBytes + codeBytes
	// Largest is the longest datagram that is sent, so that it stays one packet.
	Largest = 1200
)

// ForgedError says that a datagram was not made with the session's key, or not
// in the direction that was asked for.
type ForgedError struct {
	Session uint64
}

// Error implements error.
func (e *ForgedError) Error() string {
	return fmt.Sprintf("sealer: datagram of session %x has a wrong code", e.Session)
}

// NewKey returns a random key.
func NewKey() []byte {
	key := make([]byte, KeyBytes)
	rand.Read(key)
	return key
}

// NewSession returns a random session number.
func NewSession() uint64 {
	var b [sessionBytes]byte
	rand.Read(b[:])
	return binary.LittleEndian.Uint64(b[:])
}

// Seal returns the datagram of a body.
func Seal(key []byte, way Direction, session uint64, body []byte) []byte {
	datagram := make([]byte, 0, len(body)+Overhead)
	datagram = binary.LittleEndian.AppendUint64(datagram, session)
	datagram = append(datagram, body...)
	return append(datagram, code(key, way, datagram)...)
}

// Session returns the session that a datagram names; false if it is too short
// to be one.
func Session(datagram []byte) (uint64, bool) {
	if len(datagram) < Overhead {
		return 0, false
	}
	return binary.LittleEndian.Uint64(datagram), true
}

// Open returns the body of a datagram, or a *ForgedError.
func Open(key []byte, way Direction, datagram []byte) ([]byte, error) {
	session, found := Session(datagram)
	if !found {
		return nil, &ForgedError{}
	}
	end := len(datagram) - codeBytes
	if !hmac.Equal(code(key, way, datagram[:end]), datagram[end:]) {
		return nil, &ForgedError{Session: session}
	}
	return datagram[sessionBytes:end], nil
}

func code(key []byte, way Direction, text []byte) []byte {
	h := hmac.New(sha256.New, key)
	h.Write([]byte{byte(way)})
	h.Write(text)
	return h.Sum(nil)[:codeBytes]
}
