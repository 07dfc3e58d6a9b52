package logger

import (
	"io"
	"sync"
	"sync/atomic"
)

// defaultLines is how many lines wait for a slow reader before more are
// dropped: some seconds of a busy entry.
const defaultLines = 4096

// Bounded passes lines on without ever holding their writer up: lines wait in
// a queue and are dropped, and counted, when it is full. It is safe for
// concurrent use.
type Bounded struct {
	out     io.Writer
	lines   chan []byte
	done    chan struct{}
	dropped atomic.Int64
	once    sync.Once
}

// NewBounded starts a writer to out that queues a number of lines, or 4096 if
// that is zero.
func NewBounded(out io.Writer, lines int) *Bounded {
	if lines <= 0 {
		lines = defaultLines
	}
	b := &Bounded{out: out, lines: make(chan []byte, lines), done: make(chan struct{})}
	go b.run()
	return b
}

// Write implements io.Writer. It takes whole lines and never fails.
func (b *Bounded) Write(p []byte) (int, error) {
	select {
	case b.lines <- append([]byte(nil), p...):
	default:
		b.dropped.Add(1)
	}
	return len(p), nil
}

// Dropped returns the number of lines that were dropped, because the queue was
// full or could not be written.
func (b *Bounded) Dropped() int64 { return b.dropped.Load() }

// run writes what waits, several lines at a time.
func (b *Bounded) run() {
	defer close(b.done)
	for line := range b.lines {
		text, count := line, int64(1)
		for more := true; more; {
			select {
			case next, open := <-b.lines:
				if !open {
					more = false
					break
				}
				text = append(text, next...)
				count++
			default:
				more = false
			}
		}
		if _, err := b.out.Write(text); err != nil {
			b.dropped.Add(count) // there is nowhere to say so but the counter
		}
	}
}

// Close writes what waits and ends the writer. Nothing may be written after it.
func (b *Bounded) Close() {
	b.once.Do(func() { close(b.lines) })
	<-b.done
}
