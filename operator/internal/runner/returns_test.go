package runner

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestReturnsCommand(t *testing.T) {
	file := filepath.Join(t.TempDir(), "entry.log")
	text := "time=1 event=ended id=a outcome=refused status=503 route=drafts cause=\"all are full\"\n"
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	for name, test := range map[string]struct {
		args   string
		want   int
		output string
	}{
		"table":   {"returns " + file, ExitOK, "drafts  503     1"},
		"json":    {"--output json returns " + file, ExitOK, `"refused":1`},
		"causes":  {"returns --causes " + file, ExitOK, "all are full"},
		"no file": {"returns", ExitUsage, "FILE..."},
		"missing": {"returns " + file + ".1", ExitUsage, "no such file"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var out bytes.Buffer
			got := Main(t.Context(), append([]string{"bamboohill"}, strings.Fields(test.args)...), &out, &out)
			is.Equal(got, test.want)
			is.True(strings.Contains(out.String(), test.output)) // output
		})
	}
}
