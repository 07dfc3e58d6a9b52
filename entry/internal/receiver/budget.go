package receiver

import "sync"

// budget bounds the bytes of bodies that an entry holds at once.
type budget struct {
	mu   sync.Mutex
	most int64
	used int64
}

func (b *budget) take(n int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.used+n > b.most {
		return false
	}
	b.used += n
	return true
}

func (b *budget) give(n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used -= n
}

func (b *budget) held() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// hold is what one request takes of a budget.
type hold struct {
	budget *budget
	n      int64
}

// take takes n more bytes, or nothing and reports false.
func (h *hold) take(n int64) bool {
	if !h.budget.take(n) {
		return false
	}
	h.n += n
	return true
}

// give returns n of the bytes taken.
func (h *hold) give(n int64) {
	h.budget.give(n)
	h.n -= n
}

// free returns all that is still held.
func (h *hold) free() { h.give(h.n) }
