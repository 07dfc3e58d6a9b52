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
