package logger_test

import (
	"bytes"
	"regexp"
	"testing"

	"bamboohill/core/logger"

	"github.com/matryer/is"
)

func TestLine(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	l, err := logger.New(logger.Config{Program: "entry", Sink: &out})
	is.NoErr(err)
	l.Info().Str("event", "request").Str("cause", `a "b" c=d`).Int("attempts", 2).Msg("")
	want := regexp.MustCompile(`^time=\S+ level=info program=entry event=request cause="a \\"b\\" c=d" attempts=2\n$`)
	is.True(want.MatchString(out.String())) // one line of key=value pairs
}

func TestLevels(t *testing.T) {
	is := is.New(t)
	_, err := logger.New(logger.Config{Level: "loud"})
	is.True(err != nil)
}
