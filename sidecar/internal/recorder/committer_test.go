package recorder

import (
	"testing"
	"testing/synctest"
	"time"

	"bamboohill/core/storer"

	"github.com/matryer/is"
	"golang.org/x/time/rate"
)

// TestMatchingRowIsNoEvidence commits a group that has no effect and whose answer
// is lost, while the row of one op already is as the op would leave it, for
// another reason. The committer must not conclude that the group took effect: a
// call would then be sent to the service without its row.
func TestMatchingRowIsNoEvidence(t *testing.T) {
	for name, first := range map[string]*op{
		"an earlier attempt with the same value": {key: "once/a/k", version: 1, value: []byte("void")},
		"a row that another op has deleted":      {key: "once/a/gone", version: 1, remove: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				table := newFakeTable()
				table.rows["once/a/k"] = storer.Row{Key: "once/a/k", Version: 2, Value: []byte("void")}
				table.set(loseCommit)
				c := &committer{table: table, limiter: rate.NewLimiter(rate.Inf, 1), ctx: t.Context(), stats: &Stats{}}
				insert := &op{key: "once/a/new", value: []byte("claimed"), isClaim: true, done: make(chan opResult, 1)}
				first.done = make(chan opResult, 1)
				c.commit([]*op{first, insert})
				is.Equal((<-first.done).err, nil) // the row matches, whoever wrote it
				is.True((<-insert.done).err != nil)
			})
		})
	}
}

// TestClaimConfirmsGroup loses the answer of a group that took effect: reading
// one claim back must be enough to confirm the whole group.
func TestClaimConfirmsGroup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table := newFakeTable()
		table.set(loseAnswer)
		stats := &Stats{}
		c := &committer{table: table, limiter: rate.NewLimiter(rate.Inf, 1), ctx: t.Context(), stats: stats}
		var group []*op
		for _, key := range []string{"once/a/1", "once/a/2", "once/a/3"} {
			group = append(group, &op{key: key, value: []byte(key), isClaim: true, done: make(chan opResult, 1)})
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
