package logger_test

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"testing"

	"bamboohill/core/logger"

	"github.com/matryer/is"
)

// stuck is a reader that takes nothing until it is let go.
type stuck struct {
	entered chan struct{}
	free    chan struct{}
	text    bytes.Buffer
}

// Write implements io.Writer.
func (s *stuck) Write(p []byte) (int, error) {
	select {
	case s.entered <- struct{}{}:
	default:
	}
	<-s.free
	return s.text.Write(p)
}

// TestBounded writes more than is read: the writer is never held up, and each
// line is either passed on whole and in order or counted.
func TestBounded(t *testing.T) {
	is := is.New(t)
	out := &stuck{entered: make(chan struct{}, 1), free: make(chan struct{})}
	b := logger.NewBounded(out, 10)
	_, err := b.Write([]byte("line 0\n"))
	is.NoErr(err)
	<-out.entered
	for i := 1; i < 100; i++ {
		_, err := fmt.Fprintf(b, "line %d\n", i)
		is.NoErr(err)
	}
	is.Equal(b.Dropped(), int64(89))
	close(out.free)
	b.Close()
	lines := strings.Split(strings.TrimSpace(out.text.String()), "\n")
	is.Equal(len(lines), 11)
	is.Equal(lines[0], "line 0")
	is.Equal(lines[10], "line 10")
}

// broken is a reader that is gone.
type broken struct{}

// Write implements io.Writer.
func (broken) Write([]byte) (int, error) { return 0, errors.New("broken pipe") }

func TestBoundedBroken(t *testing.T) {
	is := is.New(t)
	b := logger.NewBounded(broken{}, 10)
	_, err := b.Write([]byte("line\n"))
	is.NoErr(err)
	b.Close()
	is.Equal(b.Dropped(), int64(1))
}
