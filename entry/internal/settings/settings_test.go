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
	example = "../../../docs/examples/entry.toml"
	page    = "../../../docs/SETTINGS.md"
)

func TestExampleIsRight(t *testing.T) {
	is.New(t).NoErr(checker.Load(example, &Settings{}))
}

func TestEveryKeyIsDocumented(t *testing.T) {
	is := is.New(t)
	text, err := os.ReadFile(page)
	is.NoErr(err)
	_, section, found := strings.Cut(string(text), "## entry\n")
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
		"unknown key":     {`poll = 1000`, `pol = 1000`, `LINE: unknown key "pol"`},
		"bad type":        {`poll = 1000`, `poll = "often"`, `LINE: poll: incompatible types: TOML value has type string; destination has type integer`},
		"bad value":       {`poll = 1000`, `poll = 5`, `LINE: poll: must be at least 10 milliseconds`},
		"missing address": {`table = "10.0.0.2:7001"`, `table = ""`, `LINE: platform.table: must be IP:PORT`},
		"host name":       {`address = "10.0.1.5:8080"`, `address = "entry:8080"`, `LINE: address: must be IP:PORT`},
		"bad hash":        {`hash = "d2`, `hash = "x2`, `LINE: operator[0].hash: must be a SHA-256 of 64 hexadecimal digits`},
		"bad role":        {`role = "write"`, `role = "all"`, `LINE: operator[0].role: must be read or write`},
		"bad exporter":    {`exporter = "none"`, `exporter = "file"`, `LINE: trace.exporter: must be none, stdout or otlp`},
		"small memory":    {`memory = 536870912`, `memory = 1000`, `LINE: bounds.memory: must be at least twice bounds.body`},
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
