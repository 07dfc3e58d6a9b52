package tracer

import "bamboohill/core/checker"

// Settings says in a program's settings where spans go.
type Settings struct {
	Exporter string `toml:"exporter"` // none, stdout or otlp; none if empty
	Endpoint string `toml:"endpoint"` // for otlp
}

// Require notes the faults of the table trace.
func (s Settings) Require(bad *checker.Problems) {
	bad.Require(Known(s.Exporter), "trace.exporter", "must be none, stdout or otlp")
	bad.Require(s.Exporter != OTLP || checker.IsAddress(s.Endpoint), "trace.endpoint", "must be IP:PORT for otlp")
}
