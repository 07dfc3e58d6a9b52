// Package examiner tests a program's settings: its example file, its section of
// docs/SETTINGS.md, and the faults that its check must name.
//
// # Usage
//
//	examiner.Examine(t, examiner.Config[Settings]{
//		Example: "../../../docs/examples/entry.toml",
//		Page:    "../../../docs/SETTINGS.md",
//		Section: "entry",
//		Faults:  map[string]examiner.Fault{"bad value": {Old: "poll = 1000", New: "poll = 1", Want: "LINE: poll: must be at least 10 milliseconds"}},
//	})
package examiner

import (
	"errors"
	"os"
	"strconv"
	"strings"
	"testing"

	"bamboohill/core/checker"
)

// Fault is one change of the example that must be named with its line, which
// stands as LINE in Want.
type Fault struct {
	Old  string
	New  string
	Want string
}

// Config describes the settings of type S.
type Config[S any] struct {
	Example string // file
	Page    string // file of docs/SETTINGS.md
	Section string // heading there
	Faults  map[string]Fault
}

// Examine runs every test as a subtest.
func Examine[S any](t *testing.T, config Config[S]) {
	t.Helper()
	example, err := os.ReadFile(config.Example)
	if err != nil {
		t.Fatal(err)
	}
	t.Run("example is right", func(t *testing.T) {
		if err := checker.Load(config.Example, new(S)); err != nil {
			t.Error(err)
		}
	})
	t.Run("every key is documented", func(t *testing.T) { documented(t, config) })
	for name, f := range config.Faults {
		t.Run(name, func(t *testing.T) { named[S](t, string(example), f) })
	}
}

func documented[S any](t *testing.T, config Config[S]) {
	t.Helper()
	text, err := os.ReadFile(config.Page)
	if err != nil {
		t.Fatal(err)
	}
	_, section, found := strings.Cut(string(text), "## "+config.Section+"\n")
	if !found {
		t.Fatalf("%s has no section %s", config.Page, config.Section)
	}
	section, _, _ = strings.Cut(section, "\n## ")
	var s S
	for _, key := range checker.Keys(s) {
		if !strings.Contains(section, "`"+key+"`") {
			t.Errorf("%s lacks %s", config.Page, key)
		}
	}
}

func named[S any](t *testing.T, example string, f Fault) {
	t.Helper()
	if !strings.Contains(example, f.Old) {
		t.Fatalf("example lacks %s", f.Old)
	}
	changed := strings.Replace(example, f.Old, f.New, 1)
	line := 1 + strings.Count(changed[:strings.Index(changed, f.New)], "\n")
	err := checker.Parse("f.toml", changed, new(S))
	var bad *checker.Error
	if !errors.As(err, &bad) {
		t.Fatalf("got %v, want a *checker.Error", err)
	}
	if want := strings.Replace(f.Want, "LINE", "f.toml:"+strconv.Itoa(line), 1); bad.Error() != want {
		t.Errorf("got %q, want %q", bad.Error(), want)
	}
}
