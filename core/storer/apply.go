package storer

// Apply applies a transaction to rows held in memory, as the table service does
// to its own: whole, or not at all with a *ConflictError. Stand-ins and tests
// use it; it does not lock.
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
