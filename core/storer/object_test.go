package storer_test

import (
	"errors"
	"testing"

	"bamboohill/core/scripter"
	"bamboohill/core/storer"

	"github.com/matryer/is"
)

// TestCutAnswer checks that a call whose answer ends before its length has an unknown outcome.
func TestCutAnswer(t *testing.T) {
	is := is.New(t)
	s, err := scripter.Start(scripter.Config{Answer: scripter.Fixed("HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\npart")})
	is.NoErr(err)
	defer s.Close()
	objects := storer.NewObjects(storer.Config{Address: s.Address()})
	_, got := objects.Get(t.Context(), "name")
	for what, err := range map[string]error{"get": got, "put": objects.Put(t.Context(), "name", nil)} {
		var unknown *storer.UnknownOutcomeError
		if !errors.As(err, &unknown) {
			t.Errorf("%s: error %v", what, err)
		}
	}
}
