package settings

import (
	"testing"

	"bamboohill/core/checker/examiner"
)

func TestSettings(t *testing.T) {
	examiner.Examine(t, examiner.Config[Settings]{
		Example: "../../../docs/examples/entry.toml",
		Page:    "../../../docs/SETTINGS.md",
		Section: "entry",
		Faults: map[string]examiner.Fault{
			"unknown key":     {Old: `poll = 1000`, New: `pol = 1000`, Want: `LINE: unknown key "pol"`},
			"bad type":        {Old: `poll = 1000`, New: `poll = "often"`, Want: `LINE: poll: incompatible types: TOML value has type string; destination has type integer`},
			"bad value":       {Old: `poll = 1000`, New: `poll = 5`, Want: `LINE: poll: must be at least 10 milliseconds`},
			"missing address": {Old: `table = "10.0.0.2:7001"`, New: `table = ""`, Want: `LINE: platform.table: must be IP:PORT`},
			"host name":       {Old: `address = "10.0.1.5:8080"`, New: `address = "entry:8080"`, Want: `LINE: address: must be IP:PORT`},
			"bad hash":        {Old: `hash = "d2`, New: `hash = "x2`, Want: `LINE: operator[0].hash: must be a SHA-256 of 64 hexadecimal digits`},
			"bad role":        {Old: `role = "write"`, New: `role = "all"`, Want: `LINE: operator[0].role: must be read or write`},
			"bad exporter":    {Old: `exporter = "none"`, New: `exporter = "file"`, Want: `LINE: trace.exporter: must be none, stdout or otlp`},
			"small memory":    {Old: `memory = 536870912`, New: `memory = 1000`, Want: `LINE: bounds.memory: must be at least twice bounds.body`},
		},
	})
}
