package transactor

import (
	"bytes"
	"encoding/json"
	"errors"
	"io/fs"
	"os"

	"bamboohill/core/storer"
)

// Open returns a table that keeps its rows in the journal at path, and goes on
// behind the journal's last whole line. A line that was cut by the end of the
// process was never answered for. An empty path keeps no journal.
func Open(path string) (*Table, error) {
	t := New()
	if path == "" {
		return t, nil
	}
	text, err := os.ReadFile(path)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return nil, err
	}
	whole := text[:bytes.LastIndexByte(text, '\n')+1]
	if err := t.replay(whole); err != nil {
		return nil, err
	}
	t.journal, err = os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	return t, t.journal.Truncate(int64(len(whole)))
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

// appendJournal appends a transaction that took effect.
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
