package transactor

import (
	"os"
	"path/filepath"
	"testing"

	"bamboohill/core/storer"

	"github.com/matryer/is"
)

// TestJournal starts a table again after its process ended in the middle of a
// line.
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
		again, err := Open(path)
		is.NoErr(err)
		is.Equal(again.scanRows("", "", 10), want)
		is.NoErr(again.Commit(storer.Txn{Puts: []storer.Put{{Key: "a", Value: []byte("4")}}}))
		want = again.scanRows("", "", 10)
	}
}
