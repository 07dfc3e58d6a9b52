package settings

import (
	"testing"

	"bamboohill/core/checker/examiner"
)

func TestSettings(t *testing.T) {
	examiner.Examine(t, examiner.Config[Settings]{
		Example: "../../docs/examples/standin.toml",
		Page:    "../../docs/SETTINGS.md",
		Section: "standin",
		Faults: map[string]examiner.Fault{
			"unknown key": {Old: `lag = 1000`, New: `lags = 1000`, Want: `LINE: unknown key "list.lags"`},
			"bad type":    {Old: `memory = 400000`, New: `memory = "4"`, Want: `LINE: engine.memory: incompatible types: TOML value has type string; destination has type integer`},
			"bad address": {Old: `address = "127.0.0.1:21100"`, New: `address = "engine"`, Want: `LINE: engine[0].address: must be IP:PORT`},
		},
	})
}
