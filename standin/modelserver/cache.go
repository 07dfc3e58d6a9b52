package modelserver

import (
	"container/list"
	"encoding/binary"

	"bamboohill/core/generator"

	"github.com/cespare/xxhash/v2"
)

// cache is the prefix cache: blocks of blockTokens tokens, each named by the
// hash of the prompt up to its end, least recently used first out.
type cache struct {
	blocks map[uint64]*list.Element
	order  *list.List // of uint64, front is the most recent
	events []generator.Event
	serial uint64
}

// maxEvents is how many events are kept for readers.
const maxEvents = 4096

func newCache() *cache {
	return &cache{blocks: map[uint64]*list.Element{}, order: list.New()}
}

// PrefixHashes returns the hashes of the whole blocks of a prompt.
func PrefixHashes(prompt []byte) []uint64 {
	const size = blockTokens * TokenBytes
	var hashes []uint64
	var previous [8]byte
	for len(prompt) >= size {
		d := xxhash.New()
		d.Write(previous[:])
		d.Write(prompt[:size])
		h := d.Sum64()
		binary.LittleEndian.PutUint64(previous[:], h)
		hashes = append(hashes, h)
		prompt = prompt[size:]
	}
	return hashes
}

// hit returns how many tokens of the chain are cached.
func (c *cache) hit(chain []uint64) int64 {
	var n int64
	for _, h := range chain {
		e, found := c.blocks[h]
		if !found {
			break
		}
		c.order.MoveToFront(e)
		n += blockTokens
	}
	return n
}

func (c *cache) tokens() int64 { return int64(c.order.Len()) * blockTokens }

// add caches a chain in at most room tokens of memory.
func (c *cache) add(chain []uint64, room int64) {
	for _, h := range chain {
		if _, found := c.blocks[h]; found {
			continue
		}
		if c.tokens()+blockTokens > room {
			return
		}
		c.blocks[h] = c.order.PushFront(h)
		c.record(h, false)
	}
}

// shrink evicts blocks until the cache takes at most room tokens.
func (c *cache) shrink(room int64) {
	for c.order.Len() > 0 && c.tokens() > room {
		e := c.order.Back()
		h := c.order.Remove(e).(uint64)
		delete(c.blocks, h)
		c.record(h, true)
	}
}

func (c *cache) record(hash uint64, removed bool) {
	c.serial++
	c.events = append(c.events, generator.Event{Serial: c.serial, Hash: hash, Tokens: blockTokens, Removed: removed})
	if len(c.events) > maxEvents {
		c.events = c.events[len(c.events)-maxEvents:]
	}
}
