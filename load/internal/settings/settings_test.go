package settings

import (
	"testing"

	"bamboohill/core/checker/examiner"
)

func TestSettings(t *testing.T) {
	examiner.Examine(t, examiner.Config[Settings]{
		Example: "../../../docs/examples/load.toml",
		Page:    "../../../docs/SETTINGS.md",
		Section: "load",
		Faults: map[string]examiner.Fault{
			"unknown key": {Old: `rate = 20.0`, New: `rates = 20.0`, Want: `LINE: unknown key "rates"`},
			"bad value":   {Old: `rate = 20.0`, New: `rate = -1.0`, Want: `LINE: rate: must be above 0 requests a second`},
			"bad share":   {Old: `long = 0.02`, New: `long = 2.0`, Want: `LINE: long: must be a share from 0 to 1`},
			"no key":      {Old: `key = "demo-caller"`, New: `key = ""`, Want: `LINE: account[0].key: must be a caller's key`},
		},
	})
}
