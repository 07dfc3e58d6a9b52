package transactor

import (
	"bytes"
	"encoding/json"
	"errors"
	"io/fs"
	"os"

	"bamboohill/core/storer"
)

// Open returns a table with the rows of the journal at path and appends new
// transactions to it. It truncates an incomplete last line, which a process
// leaves when it dies during a write: that transaction was never acknowledged.
// With an empty path the table keeps its rows in memory only. Open returns an
// error if the journal can't be opened or replayed.
func Open(path string) (*Table, error) {
	t := New()
	if path == "" {
		return t, nil
	}
	text, err := os.ReadFile(path)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return nil, err
	}
	complete := text[:bytes.LastIndexByte(text, '\n')+1]
	if err := t.replay(complete); err != nil {
		return nil, err
	}
	t.journal, err = os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	return t, t.journal.Truncate(int64(len(complete)))
}

func (t *Table) replay(text []byte) error {
	for line := range bytes.Lines(text) {
		var txn storer.Txn
		if err := json.Unmarshal(line, &txn); err != nil {
			return err
		}
		if err := txn.Apply(t.rows); err != nil {
			return err
		}
	}
	return nil
}

// appendJournal writes a transaction that took effect to the journal. It panics
// if the write fails.
func (t *Table) appendJournal(txn storer.Txn) {
	if t.journal == nil {
		return
	}
	line, err := json.Marshal(txn)
	if err == nil {
		_, err = t.journal.Write(append(line, '\n'))
	}
	if err != nil {
		panic(err)
	}
}
