package caller_test

import (
	"net/http"
	"testing"
	"time"

	"bamboohill/core/scripter"
	"bamboohill/operator/internal/caller"

	"github.com/matryer/is"
)

// TestBrokenAnswers checks that no broken answer of an entry is taken for one.
func TestBrokenAnswers(t *testing.T) {
	const body = `{"version":7}`
	for name, test := range scripter.Cases(body) {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s, err := scripter.Start(test.Config)
			is.NoErr(err)
			defer s.Close()
			c := caller.New(caller.Config{Entries: []string{s.Address()}, Timeout: time.Second})
			var answer struct {
				Version int `json:"version"`
			}
			err = c.Do(t.Context(), caller.Call{Method: http.MethodGet, Path: "/admin/status"}, &answer)
			is.Equal(err == nil, test.Whole)
			is.Equal(answer.Version == 7, test.Whole)
		})
	}
}
