package logger_test

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"

	"bamboohill/core/logger"

	"github.com/matryer/is"
)

// blockedWriter is a writer that blocks until free is closed.
type blockedWriter struct {
	entered chan struct{}
	free    chan struct{}
	text    bytes.Buffer
}

// Write implements io.Writer.
func (s *blockedWriter) Write(p []byte) (int, error) {
	select {
	case s.entered <- struct{}{}:
	default:
	}
	<-s.free
	return s.text.Write(p)
}

// TestAsyncWriter writes more lines than the queue holds while the underlying
// writer is blocked. Write must not block, and each line must be either passed on
// in full and in order or counted as dropped.
func TestAsyncWriter(t *testing.T) {
	is := is.New(t)
	out := &blockedWriter{entered: make(chan struct{}, 1), free: make(chan struct{})}
	w := logger.NewAsyncWriter(out, 10)
	_, err := w.Write([]byte("line 0\n"))
	is.NoErr(err)
	<-out.entered
	for i := 1; i < 100; i++ {
		_, err := fmt.Fprintf(w, "line %d\n", i)
		is.NoErr(err)
	}
	is.Equal(w.Dropped(), int64(89))
	close(out.free)
	w.Close()
	lines := strings.Split(strings.TrimSpace(out.text.String()), "\n")
	is.Equal(len(lines), 11)
	is.Equal(lines[0], "line 0")
	is.Equal(lines[10], "line 10")
}

// failingWriter is a writer whose Write always fails.
type failingWriter struct{}

// Write implements io.Writer.
func (failingWriter) Write([]byte) (int, error) { return 0, errors.New("broken pipe") }

func TestAsyncWriterFails(t *testing.T) {
	is := is.New(t)
	w := logger.NewAsyncWriter(failingWriter{}, 10)
	_, err := w.Write([]byte("line\n"))
	is.NoErr(err)
	w.Close()
	is.Equal(w.Dropped(), int64(1))
}

// sizeWriter records the size of the longest write.
type sizeWriter struct {
	blockedWriter
	longest int
}

// Write implements io.Writer.
func (s *sizeWriter) Write(p []byte) (int, error) {
	s.longest = max(s.longest, len(p))
	return s.blockedWriter.Write(p)
}

// TestAsyncWriterSplitsBursts guards against bursts that are written in one call,
// which a collector of logs may truncate.
func TestAsyncWriterSplitsBursts(t *testing.T) {
	is := is.New(t)
	out := &sizeWriter{blockedWriter: blockedWriter{entered: make(chan struct{}, 1), free: make(chan struct{})}}
	w := logger.NewAsyncWriter(out, 1000)
	line := strings.Repeat("x", 199) + "\n"
	for range 500 {
		_, err := w.Write([]byte(line))
		is.NoErr(err)
	}
	close(out.free)
	w.Close()
	is.Equal(out.text.String(), strings.Repeat(line, 500))
	is.True(out.longest <= 4096)
}

// TestAsyncWriterAfterClose guards against panics of goroutines that log while the process
// ends, which cut the answers that they write.
func TestAsyncWriterAfterClose(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	w := logger.NewAsyncWriter(&out, 0)
	const writers, lines = 8, 2000
	var wait sync.WaitGroup
	panics := make(chan any, writers)
	for range writers {
		wait.Go(func() {
			defer func() {
				if p := recover(); p != nil {
					panics <- p
				}
			}()
			for range lines {
				if _, err := io.WriteString(w, "line\n"); err != nil {
					t.Error(err)
				}
			}
		})
	}
	w.Close()
	wait.Wait()
	w.Close()
	is.Equal(len(panics), 0)
	written := strings.Count(out.String(), "line\n")
	t.Logf("%d written, %d dropped", written, w.Dropped())
	is.True(written+int(w.Dropped()) <= writers*lines)
	is.True(w.Dropped() > 0)
}
