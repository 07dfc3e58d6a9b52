package viewer_test

import (
	"testing"

	"bamboohill/core/viewer"

	"github.com/matryer/is"
)

func TestMaxIdle(t *testing.T) {
	tests := map[string]struct{ connections, entries, want int }{
		"unknown":                       {0, 4, 0},
		"few entries":                   {48, 4, 6},
		"many entries":                  {77, 31, 1},
		"more entries than connections": {77, 340, 1},
		"no known entries":              {48, 0, 24},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := viewer.Service{Connections: test.connections}
			is.New(t).Equal(s.MaxIdle(test.entries), test.want)
		})
	}
}
