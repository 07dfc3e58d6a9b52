package receiver

import "sync"

// budget limits the total bytes of the request bodies that an entry holds.
type budget struct {
	mu    sync.Mutex
	limit int64
	used  int64
}

func (b *budget) acquire(n int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.used+n > b.limit {
		return false
	}
	b.used += n
	return true
}

func (b *budget) release(n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used -= n
}

func (b *budget) inUse() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// reservation is the part of a budget that one request has reserved.
type reservation struct {
	budget *budget
	bytes  int64
}

// acquire reserves n more bytes and reports whether the budget allowed it.
func (r *reservation) acquire(n int64) bool {
	if !r.budget.acquire(n) {
		return false
	}
	r.bytes += n
	return true
}

// release returns n of the reserved bytes to the budget.
func (r *reservation) release(n int64) {
	r.budget.release(n)
	r.bytes -= n
}

// releaseAll returns all bytes that are still reserved.
func (r *reservation) releaseAll() { r.release(r.bytes) }
