package recorder

import (
	"context"
)

// sweepPageRows is how many rows one call of Sweep reads.
const sweepPageRows = 200

// Sweep reads the next page of rows and deletes those that are older than
// Config.Retention, under a check of the version that it read, so that a row
// written since then stays. It costs one read and, if there is anything to
// delete, part of a transaction. It returns how many rows it deleted and whether
// more pages follow; after the last one, the next call starts from the first.
func (r *Recorder) Sweep(ctx context.Context) (deleted int, more bool, err error) {
	r.mu.Lock()
	after := r.sweepCursor
	r.mu.Unlock()
	r.stats.countRead()
	rows, err := r.config.Table.Scan(ctx, prefix, after, sweepPageRows)
	if err != nil {
		return 0, false, err
	}
	next := ""
	if len(rows) == sweepPageRows {
		next = rows[len(rows)-1].Key
	}
	r.mu.Lock()
	r.sweepCursor = next
	r.mu.Unlock()
	var submitted []*op
	for _, row := range rows {
		stored, err := decode(row)
		if err != nil || !stored.expired(r.config.Now(), r.config.Retention) {
			continue
		}
		o := &op{key: row.Key, version: row.Version, remove: true, done: make(chan opResult, 1)}
		if r.writer.submit(o) {
			submitted = append(submitted, o)
		}
	}
	return r.awaitDeletes(submitted), next != "", nil
}

// awaitDeletes waits for deletions and returns how many took effect.
func (r *Recorder) awaitDeletes(submitted []*op) int {
	n := 0
	for _, o := range submitted {
		select {
		case got := <-o.done:
			if got.err == nil && got.conflict == nil {
				n++
			}
		case <-r.writer.ctx.Done():
			return n
		}
	}
	return n
}
