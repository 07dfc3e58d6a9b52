package transactor

import (
	"os"
	"path/filepath"
	"testing"

	"bamboohill/core/storer"

	"github.com/matryer/is"
)

// TestJournal reopens a table whose process died while it wrote a line of the
// journal.
func TestJournal(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "journal")
	first, err := Open(path)
	is.NoErr(err)
	is.NoErr(first.Commit(storer.Txn{Puts: []storer.Put{{Key: "a", Value: []byte("1")}, {Key: "b", Value: []byte("1")}}}))
	is.NoErr(first.Commit(storer.Txn{Checks: []storer.Check{{Key: "a", Version: 1}}, Puts: []storer.Put{{Key: "a", Value: []byte("2")}}, Deletes: []string{"b"}}))
	is.True(first.Commit(storer.Txn{Checks: []storer.Check{{Key: "a", Version: 1}}, Puts: []storer.Put{{Key: "a", Value: []byte("3")}}}) != nil)
	want := first.scanRows("", "", 10)
	f, err := os.OpenFile(path, os.O_APPEND|os.O_WRONLY, 0o600)
	is.NoErr(err)
	f.WriteString(`{"puts":[{"key":"c`)
	is.NoErr(f.Close())
	for range 2 {
		reopened, err := Open(path)
		is.NoErr(err)
		is.Equal(reopened.scanRows("", "", 10), want)
		is.NoErr(reopened.Commit(storer.Txn{Puts: []storer.Put{{Key: "a", Value: []byte("4")}}}))
		want = reopened.scanRows("", "", 10)
	}
}
