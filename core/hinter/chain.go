package hinter

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Shape of prompts as the engines' prefix caches see them.
const (
	BlockTokens = 512 // tokens of one cache block
	TokenBytes  = 4   // bytes of one prompt token
)

// Mark names the start of a prompt up to the end of one cache block.
type Mark struct {
	Hash   uint64
	Tokens int64
}

// Chain holds the marks of one prompt, the shortest first. It holds about two
// marks for each doubling of the length, not one for each block: a prompt of a
// million tokens has 22.
type Chain []Mark

// Read returns the marks of a prompt. Two prompts that share their first n
// tokens share every mark up to n. A prompt of less than one block has none.
func Read(prompt []byte) Chain {
	const size = BlockTokens * TokenBytes
	var chain Chain
	var previous [8]byte
	var digest xxhash.Digest
	for block := 1; len(prompt) >= size; block++ {
		digest.Reset()
		digest.Write(previous[:])
		digest.Write(prompt[:size])
		hash := digest.Sum64()
		binary.LittleEndian.PutUint64(previous[:], hash)
		if marked(block) {
			chain = append(chain, Mark{Hash: hash, Tokens: int64(block) * BlockTokens})
		}
		prompt = prompt[size:]
	}
	return chain
}

// marked reports whether a block, counted from 1, is 2^n or 3 times 2^n.
func marked(block int) bool {
	odd := block
	for odd%2 == 0 {
		odd /= 2
	}
	return odd == 1 || odd == 3
}
