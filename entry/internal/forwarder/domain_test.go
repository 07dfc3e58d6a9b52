package forwarder

import (
	"bytes"
	"strings"
	"testing"

	"bamboohill/core/predictor"
	"bamboohill/core/viewer"

	"github.com/matryer/is"
)

// TestMeterDomain checks that sends are counted by the failure domain of the server, and
// parts of prompts by whether they leave it, if the domains are known.
func TestMeterDomain(t *testing.T) {
	near, far, unknown := &viewer.Server{Domain: "a"}, &viewer.Server{Domain: "b"}, &viewer.Server{}
	engine := &viewer.Service{Engine: &predictor.Engine{}}
	tests := map[string]struct {
		own     viewer.Domain
		service *viewer.Service
		p       placement
		want    []string
	}{
		"own":            {"a", &viewer.Service{}, placement{server: near}, []string{"calls_own_domain 1"}},
		"other":          {"a", &viewer.Service{}, placement{server: far}, []string{"calls_other_domain 1"}},
		"prompt":         {"a", engine, placement{server: far, helpers: []*viewer.Server{near, far, far}}, []string{"prompts_other_domain 1", "parts_other_domain 1", "parts_own_domain 2"}},
		"own unknown":    {"", engine, placement{server: far}, nil},
		"server unknown": {"a", engine, placement{server: unknown}, nil},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := New(Config{Domain: test.own, Meter: NewMeter()})
			x := &exchange{forwarder: f, service: test.service}
			x.meterDomain(test.p)
			var b bytes.Buffer
			f.Meter.Write(&b)
			is.Equal(strings.Count(b.String(), "\n"), len(test.want))
			for _, line := range test.want {
				is.True(strings.Contains(b.String(), line+"\n"))
			}
		})
	}
}
