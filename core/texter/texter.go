// Package texter makes the answers that the model engine stand-in gives: a
// function of the prompt alone, so that a client can check every answer
// against what it asked, whatever backend servers it came from.
//
// # Usage
//
//	seed := texter.Seed(prompt)
//	first := texter.Token(seed, 0)
package texter

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// golden spreads consecutive positions over the hash space.
const golden = 0x9e3779b97f4a7c15

// Seed returns the hash of a prompt.
func Seed(prompt []byte) uint64 { return xxhash.Sum64(prompt) }

// Token returns the text at a position, counted from 0, of the answer to the
// prompt with the given seed.
func Token(seed uint64, position int64) string {
	x := seed + uint64(position)*golden
	x ^= x >> 31
	x *= golden
	x ^= x >> 29
	return " " + strconv.FormatUint(x&0xfffff, 36)
}

// Text returns the first n tokens of an answer as one text.
func Text(seed uint64, n int64) string {
	var text []byte
	for i := range n {
		text = append(text, Token(seed, i)...)
	}
	return string(text)
}
