package hinter

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Layout of prompts in the prefix caches of engines.
const (
	BlockTokens = 512 // tokens in a cache block
	TokenBytes  = 4   // bytes in a prompt token
)

// PrefixHash is the hash of a prefix of a prompt that ends with a cache block.
// Tokens is the length of the prefix.
type PrefixHash struct {
	Hash   uint64
	Tokens int64
}

// Chain holds the prefix hashes of a prompt, the shortest prefix first. It holds
// about two hashes for each doubling of the length instead of one for each block:
// a prompt of a million tokens has 22.
type Chain []PrefixHash

// NewChain returns the chain of a prompt of the given number of tokens. hash returns
// the hash of the prefix that ends with a block; blocks are counted from 1.
func NewChain(tokens int64, hash func(block int64) uint64) Chain {
	var chain Chain
	for block := int64(1); block*BlockTokens <= tokens; block = nextHashed(block) {
		chain = append(chain, PrefixHash{Hash: hash(block), Tokens: block * BlockTokens})
	}
	return chain
}

// nextHashed returns the next block after the given one whose prefix hash is in a
// chain. The blocks are 1, 2, 3, 4, 6, 8, 12 and so on.
func nextHashed(block int64) int64 {
	if block&(block-1) == 0 && block > 1 {
		return block / 2 * 3
	}
	if block == 1 {
		return 2
	}
	return block / 3 * 4
}

// HashPrompt returns the chain of a prompt. Two prompts that share their first n
// tokens share the hashes of all prefixes up to n tokens. The chain of a prompt of
// less than one block is empty.
func HashPrompt(prompt []byte) Chain {
	const size = BlockTokens * TokenBytes
	var chain Chain
	var previous [8]byte
	var digest xxhash.Digest
	nextBlock := int64(1)
	for block := int64(1); len(prompt) >= size; block++ {
		digest.Reset()
		digest.Write(previous[:])
		digest.Write(prompt[:size])
		hash := digest.Sum64()
		binary.LittleEndian.PutUint64(previous[:], hash)
		if block == nextBlock {
			chain = append(chain, PrefixHash{Hash: hash, Tokens: block * BlockTokens})
			nextBlock = nextHashed(block)
		}
		prompt = prompt[size:]
	}
	return chain
}
