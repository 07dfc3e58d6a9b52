// Package synthesizer generates the answers of the stand-in model engine. An
// answer is a function of the prompt alone, so that a client can verify it
// regardless of the backend servers that produced it.
//
// # Usage
//
//	seed := synthesizer.Seed(prompt)
//	first := synthesizer.Token(seed, 0)
package synthesizer

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// goldenRatio is 2^64 divided by the golden ratio. Multiples of it spread
// consecutive positions evenly over the hash space.
const goldenRatio = 0x9e3779b97f4a7c15

// Seed returns the hash of a prompt.
func Seed(prompt []byte) uint64 { return xxhash.Sum64(prompt) }

// Token returns the text at a position, counted from 0, of the answer to the
// prompt with the given seed.
func Token(seed uint64, position int64) string {
	x := seed + uint64(position)*goldenRatio
	x ^= x >> 31
	x *= goldenRatio
	x ^= x >> 29
	return " " + strconv.FormatUint(x&0xfffff, 36)
}

// Text returns the concatenated first n tokens of the answer to the prompt with
// the given seed.
func Text(seed uint64, n int64) string {
	var text []byte
	for i := range n {
		text = append(text, Token(seed, i)...)
	}
	return string(text)
}
