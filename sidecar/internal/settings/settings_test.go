package settings

import (
	"errors"
	"os"
	"strconv"
	"strings"
	"testing"

	"bamboohill/core/checker"

	"github.com/matryer/is"
)

const (
	example = "../../../docs/examples/sidecar.toml"
	page    = "../../../docs/SETTINGS.md"
)

func TestExampleIsRight(t *testing.T) {
	is.New(t).NoErr(checker.Load(example, &Settings{}))
}

func TestEveryKeyIsDocumented(t *testing.T) {
	is := is.New(t)
	text, err := os.ReadFile(page)
	is.NoErr(err)
	_, section, found := strings.Cut(string(text), "## sidecar\n")
	is.True(found)
	section, _, _ = strings.Cut(section, "\n## ")
	for _, key := range checker.Keys(Settings{}) {
		if !strings.Contains(section, "`"+key+"`") {
			t.Errorf("docs/SETTINGS.md lacks %s", key)
		}
	}
}

func TestBadSettings(t *testing.T) {
	text, err := os.ReadFile(example)
	is.New(t).NoErr(err)
	cases := map[string]struct{ old, replace, want string }{
		"unknown key":     {`beat = 500`, `beats = 500`, `LINE: unknown key "beats"`},
		"bad type":        {`beat = 500`, `beat = true`, `LINE: beat: incompatible types: TOML value has type bool; destination has type integer`},
		"bad value":       {`beat = 500`, `beat = 1`, `LINE: beat: must be at least 10 milliseconds`},
		"missing address": {`backend = "127.0.0.1:9000"`, `backend = ""`, `LINE: backend: must be IP:PORT`},
		"warm below cold": {`warm = 64`, `warm = 1`, `LINE: gate.warm: must be at least gate.cold`},
		"bad kind":        {`kind = "model"`, `kind = "engine"`, `LINE: kind: must be model or service`},
	}
	for name, k := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.True(strings.Contains(string(text), k.old))
			changed := strings.Replace(string(text), k.old, k.replace, 1)
			line := 1 + strings.Count(changed[:strings.Index(changed, k.replace)], "\n")
			err := checker.Parse("f.toml", changed, &Settings{})
			var bad *checker.Error
			is.True(errors.As(err, &bad))
			is.Equal(bad.Error(), strings.Replace(k.want, "LINE", "f.toml:"+strconv.Itoa(line), 1))
		})
	}
}
