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
	example = "../../../docs/examples/load.toml"
	page    = "../../../docs/SETTINGS.md"
)

func TestExampleIsRight(t *testing.T) {
	is.New(t).NoErr(checker.Load(example, &Settings{}))
}

func TestEveryKeyIsDocumented(t *testing.T) {
	is := is.New(t)
	text, err := os.ReadFile(page)
	is.NoErr(err)
	_, section, found := strings.Cut(string(text), "## load\n")
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
		"unknown key": {`rate = 20.0`, `rates = 20.0`, `LINE: unknown key "rates"`},
		"bad value":   {`rate = 20.0`, `rate = -1.0`, `LINE: rate: must be above 0 requests a second`},
		"bad share":   {`long = 0.02`, `long = 2.0`, `LINE: long: must be a share from 0 to 1`},
		"no key":      {`key = "demo-caller"`, `key = ""`, `LINE: account[0].key: must be a caller's key`},
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
