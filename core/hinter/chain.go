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

// PrefixHash names the start of a prompt up to the end of one cache block.
type PrefixHash struct {
	Hash   uint64
	Tokens int64
}

// Chain holds the marks of one prompt, the shortest first. It holds about two
// marks for each doubling of the length, not one for each block: a prompt of a
// million tokens has 22.
type Chain []PrefixHash

// NewChain returns the marks of a prompt of so many tokens whose block i, counted from
// 1, ends under the hash name(i).
func NewChain(tokens int64, name func(block int64) uint64) Chain {
	var chain Chain
	for block := int64(1); block*BlockTokens <= tokens; block = next(block) {
		chain = append(chain, PrefixHash{Hash: name(block), Tokens: block * BlockTokens})
	}
	return chain
}

// next returns the marked block after one that is marked.
func next(block int64) int64 {
	if block&(block-1) == 0 && block > 1 {
		return block / 2 * 3
	}
	if block == 1 {
		return 2
	}
	return block / 3 * 4
}

// HashPrompt returns the marks of a prompt. Two prompts that share their first n
// tokens share every mark up to n. A prompt of less than one block has none.
func HashPrompt(prompt []byte) Chain {
	const size = BlockTokens * TokenBytes
	var chain Chain
	var previous [8]byte
	var digest xxhash.Digest
	due := int64(1)
	for block := int64(1); len(prompt) >= size; block++ {
		digest.Reset()
		digest.Write(previous[:])
		digest.Write(prompt[:size])
		hash := digest.Sum64()
		binary.LittleEndian.PutUint64(previous[:], hash)
		if block == due {
			chain = append(chain, PrefixHash{Hash: hash, Tokens: block * BlockTokens})
			due = next(block)
		}
		prompt = prompt[size:]
	}
	return chain
}
