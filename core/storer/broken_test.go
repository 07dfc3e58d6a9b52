package storer_test

import (
	"errors"
	"testing"
	"time"

	"bamboohill/core/scripter"
	"bamboohill/core/storer"

	"github.com/matryer/is"
)

// writtenBytes is the size of a write that the kernel's buffers of a connection don't hold.
const writtenBytes = 16 << 20

// TestBrokenAnswers checks that a write whose answer is broken has an unknown outcome.
func TestBrokenAnswers(t *testing.T) {
	for name, test := range scripter.Cases("{}") {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s, err := scripter.Start(test.Config)
			is.NoErr(err)
			defer s.Close()
			place := storer.Config{Address: s.Address(), Timeout: 2 * time.Second}
			table, objects := storer.NewTable(place), storer.NewObjects(place)
			data := make([]byte, writtenBytes)
			_, err = objects.Get(t.Context(), "name")
			is.Equal(err == nil, test.Whole)
			for range 5 {
				committed := table.Commit(t.Context(), storer.Txn{Puts: []storer.Put{{Key: "key", Value: data}}})
				for what, err := range map[string]error{"commit": committed, "put": objects.Put(t.Context(), "name", data)} {
					var unknown *storer.UnknownOutcomeError
					if (err == nil) != test.Whole || err != nil && !errors.As(err, &unknown) {
						t.Errorf("%s: error %v, want whole %v", what, err, test.Whole)
					}
				}
			}
		})
	}
}
