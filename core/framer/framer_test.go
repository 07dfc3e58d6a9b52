package framer_test

import (
	"bytes"
	"errors"
	"io"
	"testing"

	"bamboohill/core/framer"
	"bamboohill/wire"

	"github.com/matryer/is"
)

func TestReader(t *testing.T) {
	type answer func(w *framer.Writer)
	whole := func(w *framer.Writer) {
		w.Tokens([]string{"a", "b"})
		w.Tokens([]string{"c"})
		w.End(&wire.End{})
	}
	tests := map[string]struct {
		attempt string
		from    int64
		write   answer
		broken  bool
	}{
		"whole":     {attempt: "t", write: whole},
		"crossed":   {attempt: "other", write: whole, broken: true},
		"skipped":   {attempt: "t", from: 1, write: whole, broken: true},
		"truncated": {attempt: "t", write: func(w *framer.Writer) { w.Tokens([]string{"a"}) }, broken: true},
		"refused":   {attempt: "t", write: func(w *framer.Writer) { w.Refuse(&wire.Refused{}) }},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var sink bytes.Buffer
			test.write(framer.NewWriter(framer.WriterConfig{Request: "q", Attempt: test.attempt, Position: test.from, Sink: &sink}))
			r := framer.NewReader(framer.ReaderConfig{Request: "q", Attempt: "t", Source: &sink})
			var err error
			for err == nil {
				_, err = r.Next()
			}
			var broken *framer.BrokenError
			is.Equal(errors.As(err, &broken), test.broken)
			is.Equal(errors.Is(err, io.EOF), !test.broken)
		})
	}
}
