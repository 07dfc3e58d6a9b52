package recorder

import (
	"context"
)

// sweepPage is how many rows one sweep reads.
const sweepPage = 200

// Sweep reads the next page of rows and deletes those that are older than
// Retention, under a check of the version that it read: a row that was written
// since stays. It costs one read and, if there is anything to delete, a share
// of a transaction. It returns how many rows it deleted and whether there are
// more pages before it starts again from the first.
func (r *Recorder) Sweep(ctx context.Context) (deleted int, more bool, err error) {
	r.mu.Lock()
	after := r.cursor
	r.mu.Unlock()
	r.stats.read()
	rows, err := r.config.Table.Scan(ctx, prefix, after, sweepPage)
	if err != nil {
		return 0, false, err
	}
	next := ""
	if len(rows) == sweepPage {
		next = rows[len(rows)-1].Key
	}
	r.mu.Lock()
	r.cursor = next
	r.mu.Unlock()
	var sent []*op
	for _, row := range rows {
		stands, err := decode(row)
		if err != nil || !stands.expired(r.config.Now(), r.config.Retention) {
			continue
		}
		o := &op{key: row.Key, version: row.Version, remove: true, done: make(chan opResult, 1)}
		if r.writes.submit(o) {
			sent = append(sent, o)
		}
	}
	return r.deleted(sent), next != "", nil
}

func (r *Recorder) deleted(sent []*op) int {
	n := 0
	for _, o := range sent {
		select {
		case got := <-o.done:
			if got.err == nil && got.conflict == nil {
				n++
			}
		case <-r.writes.stop.Done():
			return n
		}
	}
	return n
}
