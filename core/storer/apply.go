package storer

// Apply applies a transaction to rows in memory, with the semantics of the table
// service: either all of its writes take effect, or none does and Apply returns
// a *ConflictError. Stand-ins and tests use it. It does not lock.
func (t Txn) Apply(rows map[string]Row) error {
	conflict := &ConflictError{}
	for _, c := range t.Checks {
		if row := rows[c.Key]; row.Version != c.Version {
			row.Key = c.Key
			conflict.Rows = append(conflict.Rows, row)
		}
	}
	if len(conflict.Rows) > 0 {
		return conflict
	}
	for _, p := range t.Puts {
		rows[p.Key] = Row{Key: p.Key, Value: p.Value, Version: rows[p.Key].Version + 1}
	}
	for _, key := range t.Deletes {
		delete(rows, key)
	}
	return nil
}
