package settings

import (
	"testing"

	"bamboohill/core/checker/examiner"
)

func TestSettings(t *testing.T) {
	examiner.Examine(t, examiner.Config[Settings]{
		Example: "../../../docs/examples/sidecar.toml",
		Page:    "../../../docs/SETTINGS.md",
		Section: "sidecar",
		Faults: map[string]examiner.Fault{
			"unknown key":     {Old: `beat = 500`, New: `beats = 500`, Want: `LINE: unknown key "beats"`},
			"bad type":        {Old: `beat = 500`, New: `beat = true`, Want: `LINE: beat: incompatible types: TOML value has type bool; destination has type integer`},
			"bad value":       {Old: `beat = 500`, New: `beat = 1`, Want: `LINE: beat: must be at least 10 milliseconds`},
			"missing address": {Old: `backend = "127.0.0.1:9000"`, New: `backend = ""`, Want: `LINE: backend: must be IP:PORT`},
			"warm below cold": {Old: `warm = 64`, New: `warm = 1`, Want: `LINE: gate.warm: must be at least gate.cold`},
			"bad kind":        {Old: `kind = "model"`, New: `kind = "engine"`, Want: `LINE: kind: must be model or service`},
		},
	})
}
