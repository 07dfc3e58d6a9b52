package tracer

import "bamboohill/core/checker"

// Settings is the settings table trace, which selects where spans are exported.
type Settings struct {
	Exporter string `toml:"exporter"` // none, stdout or otlp; empty means none
	Endpoint string `toml:"endpoint"` // IP:PORT of the collector, for otlp
}

// Validate adds the problems of the settings table trace.
func (s Settings) Validate(bad *checker.Problems) {
	bad.Require(ValidExporter(s.Exporter), "trace.exporter", "must be none, stdout or otlp")
	bad.Require(s.Exporter != OTLP || checker.IsAddress(s.Endpoint), "trace.endpoint", "must be IP:PORT for otlp")
}
