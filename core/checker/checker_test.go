package checker

import (
	"errors"
	"testing"

	"github.com/matryer/is"
)

type sample struct {
	Address string              `toml:"address"`
	Poll    int                 `toml:"poll"`
	Table   struct{ At string } `toml:"table"`
	Engines []struct {
		Address string `toml:"address"`
		Models  []string
	} `toml:"engine"`
	problems []Problem
}

func (s *sample) Check() []Problem { return s.problems }

func TestFileAndLine(t *testing.T) {
	const two = "# sample\naddress = \"a\"\n\n[[engine]]\naddress = \"b\"\n\n[[engine]]\nmodels = []\naddress = \"c\" # last\n"
	cases := map[string]struct {
		text     string
		problems []Problem
		want     string
	}{
		"right":                     {"poll = 1\n", nil, ""},
		"unknown key":               {"poll = 1\nspeed = 2\n", nil, `f.toml:2: unknown key "speed"`},
		"unknown key in a table":    {"speed = 1\n[table]\nat = \"a\"\nspeed = 2\n", nil, "f.toml:1: unknown key \"speed\"\nf.toml:4: unknown key \"table.speed\""},
		"unknown table":             {"poll = 1\n[tabel]\nat = \"a\"\n", nil, "f.toml:2: unknown key \"tabel\"\nf.toml:3: unknown key \"tabel.at\""},
		"unknown in second element": {"[[engine]]\naddress = \"a\"\n[[engine]]\nspeed = 1\n", nil, `f.toml:4: unknown key "engine.speed"`},
		"unknown in both elements":  {"[[engine]]\nspeed = 1\n[[engine]]\nspeed = 1\n", nil, "f.toml:2: unknown key \"engine.speed\"\nf.toml:4: unknown key \"engine.speed\""},
		"bad type":                  {"address = \"a\"\npoll = \"often\"\n", nil, `f.toml:2: poll: incompatible types: TOML value has type string; destination has type integer`},
		"bad type in an element":    {"address = \"a\"\n[[engine]]\naddress = \"b\"\n[[engine]]\naddress = 5\n", nil, `f.toml:5: engine.address: incompatible types: TOML value has type int64; destination has type string`},
		"broken":                    {"poll = 1\naddress = \n", nil, `f.toml:2: expected value but found '\n' instead`},
		"bad value":                 {two, []Problem{{"address", "must be IP:PORT"}}, "f.toml:2: address: must be IP:PORT"},
		"bad value, first element":  {two, []Problem{{"engine[0].address", "must be IP:PORT"}}, "f.toml:5: engine[0].address: must be IP:PORT"},
		"bad value, second element": {two, []Problem{{"engine[1].address", "must be IP:PORT"}}, "f.toml:9: engine[1].address: must be IP:PORT"},
		"missing in an element":     {two, []Problem{{"engine[1].work", "must be set"}}, "f.toml:7: engine[1].work: must be set"},
		"missing in a table":        {"poll = 1\n[table]\n", []Problem{{"table.at", "must be set"}}, "f.toml:2: table.at: must be set"},
		"missing table":             {"poll = 1\n", []Problem{{"table.at", "must be set"}}, "f.toml:1: table.at: must be set"},
		"inline table":              {"poll = 1\ntable = { at = \"x\" }\n", []Problem{{"table.at", "must be IP:PORT"}}, "f.toml:2: table.at: must be IP:PORT"},
		"dotted key":                {"poll = 1\ntable.at = \"x\"\n", []Problem{{"table.at", "must be IP:PORT"}}, "f.toml:2: table.at: must be IP:PORT"},
		"all at once":               {"a = 1\nb = 2\n", []Problem{{"poll", "must be above 0"}}, "f.toml:1: unknown key \"a\"\nf.toml:2: unknown key \"b\"\nf.toml:1: poll: must be above 0"},
	}
	for name, k := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			err := Parse("f.toml", k.text, &sample{problems: k.problems})
			if k.want == "" {
				is.NoErr(err)
				return
			}
			var bad *Error
			is.True(errors.As(err, &bad))
			is.Equal(bad.Error(), k.want)
		})
	}
}
