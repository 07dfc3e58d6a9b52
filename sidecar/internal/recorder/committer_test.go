package recorder

import (
	"testing"
	"testing/synctest"
	"time"

	"bamboohill/core/storer"

	"github.com/matryer/is"
	"golang.org/x/time/rate"
)

// TestEvidence loses a group in which one row already stands as its op would
// leave it, for another reason. This must not pass for the group's success: a
// call would be handed over without its row.
func TestEvidence(t *testing.T) {
	for name, first := range map[string]*op{
		"an earlier try of the same value": {key: "once/a/k", version: 1, value: []byte("void")},
		"a row that another has deleted":   {key: "once/a/gone", version: 1, remove: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				table := newFakeTable()
				table.rows["once/a/k"] = storer.Row{Key: "once/a/k", Version: 2, Value: []byte("void")}
				table.set(drop)
				c := &committer{table: table, pace: rate.NewLimiter(rate.Inf, 1), stop: t.Context(), stats: &Stats{}}
				insert := &op{key: "once/a/new", value: []byte("claimed"), claims: true, done: make(chan opResult, 1)}
				first.done = make(chan opResult, 1)
				c.commit([]*op{first, insert})
				is.Equal((<-first.done).err, nil) // it stands, whoever wrote it
				is.True((<-insert.done).err != nil)
			})
		})
	}
}

// TestEvidenceOfClaim loses the answer of a group that took effect: one claim
// tells for all.
func TestEvidenceOfClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table := newFakeTable()
		table.set(lose)
		stats := &Stats{}
		c := &committer{table: table, pace: rate.NewLimiter(rate.Inf, 1), stop: t.Context(), stats: stats}
		var group []*op
		for _, key := range []string{"once/a/1", "once/a/2", "once/a/3"} {
			group = append(group, &op{key: key, value: []byte(key), claims: true, done: make(chan opResult, 1)})
		}
		start := time.Now()
		c.commit(group)
		for _, o := range group {
			is.Equal((<-o.done).err, nil)
		}
		is.Equal(stats.Reads.Load(), int64(1))
		is.True(time.Since(start) < time.Second)
	})
}
