package logger

import (
	"io"
	"iter"
	"sync"
	"sync/atomic"
)

// defaultLines is the default capacity of the queue in lines. It holds what a busy
// entry logs in a few seconds.
const defaultLines = 4096

// AsyncWriter is a writer that never blocks. Lines wait in a queue for the
// underlying writer; if the queue is full, they are dropped and counted. It is
// safe for concurrent use.
type AsyncWriter struct {
	out     io.Writer
	lines   chan []byte
	closing chan struct{} // closed by Close
	done    chan struct{} // closed once all lines are written
	dropped atomic.Int64
	once    sync.Once
}

// NewAsyncWriter starts an AsyncWriter to out with a queue of the given number of
// lines, or 4096 if that is not positive.
func NewAsyncWriter(out io.Writer, lines int) *AsyncWriter {
	if lines <= 0 {
		lines = defaultLines
	}
	w := &AsyncWriter{out: out, lines: make(chan []byte, lines), closing: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

// Write implements io.Writer. The text must be a complete line. It never returns
// an error. After Close it drops the line: the goroutines of a process may end after its log.
func (w *AsyncWriter) Write(p []byte) (int, error) {
	select {
	case <-w.closing:
		w.dropped.Add(1)
		return len(p), nil
	default:
	}
	select {
	case w.lines <- append([]byte(nil), p...):
	default:
		w.dropped.Add(1)
	}
	return len(p), nil
}

// Dropped returns the number of lines that were dropped because the queue was
// full or the underlying writer failed.
func (w *AsyncWriter) Dropped() int64 { return w.dropped.Load() }

// maxCombinedBytes limits the lines that are combined into one call. POSIX
// guarantees that a pipe does not split or interleave a write of this size.
const maxCombinedBytes = 4096

// run writes the queued lines, combining those that are waiting.
func (w *AsyncWriter) run() {
	defer close(w.done)
	var text []byte
	count := int64(0)
	flush := func() {
		if count == 0 {
			return
		}
		if _, err := w.out.Write(text); err != nil {
			w.dropped.Add(count) // the failure cannot be logged, so it is only counted
		}
		text, count = text[:0], 0
	}
	for line := range w.queued() {
		if len(text)+len(line) > maxCombinedBytes {
			flush()
		}
		text = append(text, line...)
		count++
		if len(w.lines) == 0 {
			flush()
		}
	}
	flush()
}

// queued returns the lines that are written until Close, and those that are queued then.
func (w *AsyncWriter) queued() iter.Seq[[]byte] {
	return func(yield func([]byte) bool) {
		for {
			select {
			case line := <-w.lines:
				if !yield(line) {
					return
				}
				continue
			case <-w.closing:
			}
			for {
				select {
				case line := <-w.lines:
					if !yield(line) {
						return
					}
				default:
					return
				}
			}
		}
	}
}

// Close writes the queued lines and stops the writer.
func (w *AsyncWriter) Close() {
	w.once.Do(func() { close(w.closing) })
	<-w.done
}
