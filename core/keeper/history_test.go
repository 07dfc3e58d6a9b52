package keeper

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"bamboohill/core/storer"

	"github.com/anishathalye/porcupine"
)

// change is one operator's try as it is recorded.
type change struct {
	id      string
	version uint64 // that the operator saw
}

// word is what the operator was told.
type word struct {
	kind    string // accepted, conflict, refused or unknown
	version uint64 // of the row after, or of the one that won
}

// register is one row as operators may see it: its version and the ids that
// were accepted, oldest first.
type register struct {
	version uint64
	ids     string
}

// rowModel says which words are true of a row. A change that is in doubt may
// have been made, one that was refused may not.
var rowModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{register{}} },
	Step: func(state, in, out any) []any {
		r, c, w := state.(register), in.(change), out.(word)
		made := register{version: r.version + 1, ids: r.ids + "," + c.id}
		fits := r.version == c.version
		switch {
		case w.kind == "accepted" && fits && w.version == made.version:
			return []any{made}
		case w.kind == "conflict" && !fits && w.version == r.version:
			return []any{r}
		case w.kind == "refused":
			return []any{r}
		case w.kind == "unknown" && fits:
			return []any{r, made}
		case w.kind == "unknown":
			return []any{r}
		}
		return nil
	},
	Equal: func(a, b any) bool { return a == b },
}

func told(err error, version uint64) word {
	var race *VersionConflictError
	var down *storer.UnavailableError
	switch {
	case err == nil:
		return word{"accepted", version}
	case errors.As(err, &race):
		return word{"conflict", race.Version}
	case errors.As(err, &down):
		return word{kind: "refused"}
	}
	return word{kind: "unknown"}
}

// commitFunc is Commit or a wrong variant of it.
type commitFunc func(context.Context, storer.Table, Proposal) (uint64, error)

func right(ctx context.Context, table storer.Table, p Proposal) (uint64, error) {
	c, err := Commit(ctx, table, p)
	return c.GetVersion(), err
}

// forgetful takes a lost answer for a change that was not made, and tells the
// operator so.
func forgetful(ctx context.Context, table storer.Table, p Proposal) (uint64, error) {
	var seen rows
	if err := seen.read(ctx, table, p); err != nil {
		return 0, &storer.UnavailableError{}
	}
	c, err := try(ctx, table, p, seen)
	var race *VersionConflictError
	if err != nil && !errors.As(err, &race) {
		return 0, &storer.UnavailableError{}
	}
	return c.GetVersion(), err
}

// history lets some operators change one row through a table with faults.
func history(seed uint64, commit commitFunc) []porcupine.Operation {
	f := newTable()
	f.delay = time.Millisecond
	var mu sync.Mutex
	var all []porcupine.Operation
	start := time.Now()
	var operators sync.WaitGroup
	for o := range 5 {
		operators.Go(func() {
			random := rand.New(rand.NewPCG(seed, uint64(o)))
			version := uint64(0)
			for n := range 12 {
				time.Sleep(time.Duration(random.IntN(8)) * time.Millisecond)
				f.fault(random)
				c := change{fmt.Sprintf("%d.%d", o, n), version}
				called := time.Since(start)
				ctx, cancel := context.WithTimeout(context.Background(), 30*time.Millisecond)
				v, err := commit(ctx, f, Proposal{ID: c.id, Key: "domain/ikeja", Version: c.version, Record: domainOut("ikeja", n%2 == 0)})
				cancel()
				w := told(err, v)
				if w.kind == "accepted" || w.kind == "conflict" {
					version = w.version
				}
				returned := time.Since(start)
				if w.kind == "unknown" {
					returned = time.Hour // it may still take effect
				}
				mu.Lock()
				all = append(all, porcupine.Operation{ClientId: o, Input: c, Call: called.Nanoseconds(), Output: w, Return: returned.Nanoseconds()})
				mu.Unlock()
			}
		})
	}
	operators.Wait()
	return all
}

// fault turns a fault of the table on or off.
func (t *fakeTable) fault(random *rand.Rand) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch random.IntN(8) {
	case 0:
		t.lose = 1
	case 1:
		t.drop = 1
	case 2:
		t.down = true
	default:
		t.down = false
	}
}

// violations counts the seeds whose history no order of the changes explains.
func violations(t *testing.T, seeds uint64, commit commitFunc) int {
	bad := 0
	for seed := range seeds {
		synctest.Test(t, func(t *testing.T) {
			result, _ := porcupine.CheckOperationsVerbose(rowModel.ToModel(), history(seed, commit), 0)
			if result != porcupine.Ok {
				bad++
			}
		})
	}
	return bad
}

func TestCommitsAreLinearizable(t *testing.T) {
	if bad := violations(t, 40, right); bad > 0 {
		t.Errorf("%d of 40 histories have no order", bad)
	}
}

// TestForgetfulCommitIsFound shows that the check above can fail.
func TestForgetfulCommitIsFound(t *testing.T) {
	if violations(t, 10, forgetful) == 0 {
		t.Error("taking a lost answer for a change that was not made was never found")
	}
}
