package sealer

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
)

// Direction identifies the sender and purpose of a datagram, so that a datagram
// reflected to its sender is rejected.
type Direction byte

// Values of Direction.
const (
	Beat    Direction = 1 // heartbeat from a sidecar
	Ack     Direction = 2 // acknowledgement of a heartbeat from an entry
	Push    Direction = 3 // configuration push from an entry
	PushAck Direction = 4 // acknowledgement of a push from a sidecar
)

// Sizes in bytes.
const (
	KeyBytes     = 16
	sessionBytes = 8
	macBytes     = 16
	// Overhead is the number of bytes that Seal adds to a body.
	Overhead = sessionBytes + macBytes
	// MaxDatagram is the maximum size of a datagram, chosen to fit into one packet.
	MaxDatagram = 1200
)

// ForgedError is returned for a datagram that was not sealed with the session's
// key or not for the expected direction.
type ForgedError struct {
	Session uint64
}

// Error implements error.
func (e *ForgedError) Error() string {
	return fmt.Sprintf("sealer: datagram of session %x has an invalid authentication code", e.Session)
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

// Seal returns the datagram with a body.
func Seal(key []byte, direction Direction, session uint64, body []byte) []byte {
	datagram := make([]byte, 0, len(body)+Overhead)
	datagram = binary.LittleEndian.AppendUint64(datagram, session)
	datagram = append(datagram, body...)
	return append(datagram, mac(key, direction, datagram)...)
}

// Session returns the session number in a datagram, or false if the datagram is
// shorter than Overhead.
func Session(datagram []byte) (uint64, bool) {
	if len(datagram) < Overhead {
		return 0, false
	}
	return binary.LittleEndian.Uint64(datagram), true
}

// Open verifies a datagram and returns its body. The error is a *ForgedError.
func Open(key []byte, direction Direction, datagram []byte) ([]byte, error) {
	session, found := Session(datagram)
	if !found {
		return nil, &ForgedError{}
	}
	end := len(datagram) - macBytes
	if !hmac.Equal(mac(key, direction, datagram[:end]), datagram[end:]) {
		return nil, &ForgedError{Session: session}
	}
	return datagram[sessionBytes:end], nil
}

// mac returns the authentication code of a text for a direction.
func mac(key []byte, direction Direction, text []byte) []byte {
	h := hmac.New(sha256.New, key)
	h.Write([]byte{byte(direction)})
	h.Write(text)
	return h.Sum(nil)[:macBytes]
}
