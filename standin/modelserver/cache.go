package modelserver

import (
	"container/list"
	"encoding/binary"

	"bamboohill/core/generator"

	"github.com/cespare/xxhash/v2"
)

// cache is the prefix cache. It holds blocks of blockTokens tokens, each
// identified by the hash of the prompt up to the block's end, and evicts the
// least recently used block first.
type cache struct {
	blocks map[uint64]*list.Element
	order  *list.List // of uint64 hashes, most recently used first
	events []generator.Event
	serial uint64
}

// maxEvents is the number of most recent events kept for readers.
const maxEvents = 4096

func newCache() *cache {
	return &cache{blocks: map[uint64]*list.Element{}, order: list.New()}
}

// PrefixHashes returns the hashes of the complete blocks of a prompt, in order.
// The hash of each block covers the prompt from its start.
func PrefixHashes(prompt []byte) []uint64 {
	const size = blockTokens * TokenBytes
	var hashes []uint64
	var previous [8]byte
	for len(prompt) >= size {
		d := xxhash.New()
		d.Write(previous[:])
		d.Write(prompt[:size])
		hash := d.Sum64()
		binary.LittleEndian.PutUint64(previous[:], hash)
		hashes = append(hashes, hash)
		prompt = prompt[size:]
	}
	return hashes
}

// hit returns the length in tokens of the longest cached prefix, and marks its
// blocks as most recently used.
func (c *cache) hit(hashes []uint64) int64 {
	var n int64
	for _, hash := range hashes {
		e, found := c.blocks[hash]
		if !found {
			break
		}
		c.order.MoveToFront(e)
		n += blockTokens
	}
	return n
}

func (c *cache) tokens() int64 { return int64(c.order.Len()) * blockTokens }

// add caches the blocks of a prompt until the cache takes limit tokens of
// memory.
func (c *cache) add(hashes []uint64, limit int64) {
	for _, hash := range hashes {
		if _, found := c.blocks[hash]; found {
			continue
		}
		if c.tokens()+blockTokens > limit {
			return
		}
		c.blocks[hash] = c.order.PushFront(hash)
		c.record(hash, false)
	}
}

// shrink evicts blocks until the cache takes at most limit tokens.
func (c *cache) shrink(limit int64) {
	for c.order.Len() > 0 && c.tokens() > limit {
		e := c.order.Back()
		hash := c.order.Remove(e).(uint64)
		delete(c.blocks, hash)
		c.record(hash, true)
	}
}

func (c *cache) record(hash uint64, removed bool) {
	c.serial++
	c.events = append(c.events, generator.Event{Serial: c.serial, Hash: hash, Tokens: blockTokens, Removed: removed})
	if len(c.events) > maxEvents {
		c.events = c.events[len(c.events)-maxEvents:]
	}
}
