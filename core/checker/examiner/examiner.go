// Package examiner tests a program's settings: the example file, the section of
// docs/SETTINGS.md, and the messages for invalid values.
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

// Fault is a change of the example file that makes it invalid, and the expected
// message. LINE in Want stands for the file and line of the change.
type Fault struct {
	Old  string // text in the example file
	New  string // text that replaces it
	Want string
}

// Config describes the tests of settings of type S.
type Config[S any] struct {
	Example string // path of the example file
	Page    string // path of docs/SETTINGS.md
	Section string // heading of the program's section in Page
	Faults  map[string]Fault
}

// Examine runs each test as a subtest.
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
	t.Run("every key is documented", func(t *testing.T) { checkDocumented(t, config) })
	for name, f := range config.Faults {
		t.Run(name, func(t *testing.T) { checkFault[S](t, string(example), f) })
	}
}

// checkDocumented checks that the section names every key of the settings.
func checkDocumented[S any](t *testing.T, config Config[S]) {
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

// checkFault checks the message for a changed example file.
func checkFault[S any](t *testing.T, example string, f Fault) {
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
