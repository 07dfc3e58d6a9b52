package commander

import (
	"context"
	"io"
	"os"
	"path/filepath"
	"testing"

	"bamboohill/core/checker"

	"github.com/matryer/is"
	"github.com/phuslu/log"
)

type sample struct {
	Poll int `toml:"poll"`
}

// Check implements checker.Validator.
func (s *sample) Check() []checker.Problem {
	if s.Poll < 1 {
		return []checker.Problem{{Key: "poll", Allowed: "must be above 0"}}
	}
	return nil
}

func TestExitStatus(t *testing.T) {
	write := func(text string) string {
		path := filepath.Join(t.TempDir(), "f.toml")
		is.New(t).NoErr(os.WriteFile(path, []byte(text), 0o600))
		return path
	}
	cases := map[string]struct {
		arguments []string
		want      int
	}{
		"right":          {[]string{"check", write("poll = 1")}, 0},
		"bad value":      {[]string{"check", write("poll = 0")}, 2},
		"unknown key":    {[]string{"check", write("poll = 1\nspeed = 1")}, 2},
		"bad type":       {[]string{"check", write("poll = true")}, 2},
		"run bad value":  {[]string{"run", write("poll = 0")}, 2},
		"run that fails": {[]string{"run", write("poll = 7")}, 1},
		"no file named":  {[]string{"check"}, 2},
		"absent file":    {[]string{"check", filepath.Join(t.TempDir(), "none")}, 1},
	}
	for name, k := range cases {
		t.Run(name, func(t *testing.T) {
			c := command(Config[sample]{
				Name:  "sample",
				Level: func(*sample) string { return "error" },
				Run:   func(context.Context, *sample, *log.Logger) error { return io.ErrUnexpectedEOF },
			})
			err := c.Run(t.Context(), append([]string{"sample"}, k.arguments...))
			got := 0
			if err != nil {
				got = status(err)
			}
			is.New(t).Equal(got, k.want)
		})
	}
}
