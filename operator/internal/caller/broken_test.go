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
	for whole, configs := range map[bool]map[string]scripter.Config{false: scripter.Broken(body), true: scripter.Sound(body)} {
		for name, config := range configs {
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				s, err := scripter.Start(config)
				is.NoErr(err)
				defer s.Close()
				c := caller.New(caller.Config{Entries: []string{s.Address()}, Timeout: time.Second})
				var answer struct {
					Version int `json:"version"`
				}
				err = c.Do(t.Context(), caller.Call{Method: http.MethodGet, Path: "/admin/status"}, &answer)
				is.Equal(err == nil, whole)
				is.Equal(answer.Version == 7, whole)
			})
		}
	}
}
