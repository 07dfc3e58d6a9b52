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

// change is the recorded input of one operator's commit.
type change struct {
	id      string
	version uint64 // that the operator saw
}

// outcome is the recorded result of one operator's commit.
type outcome struct {
	kind    string // accepted, conflict, refused or unknown
	version uint64 // of the row afterwards, or of the conflicting row
}

// register is the modelled state of one row: its version and the ids of the
// accepted changes, oldest first.
type register struct {
	version uint64
	ids     string
}

// rowModel defines which outcomes are correct for a row. A change whose outcome
// is unknown may have been committed; a refused change must not have been.
var rowModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{register{}} },
	Step: func(state, in, out any) []any {
		r, c, w := state.(register), in.(change), out.(outcome)
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

func outcomeOf(err error, version uint64) outcome {
	var conflict *VersionConflictError
	var down *storer.UnavailableError
	switch {
	case err == nil:
		return outcome{"accepted", version}
	case errors.As(err, &conflict):
		return outcome{"conflict", conflict.Version}
	case errors.As(err, &down):
		return outcome{kind: "refused"}
	}
	return outcome{kind: "unknown"}
}

// commitFunc is Commit or a faulty variant of it.
type commitFunc func(context.Context, storer.Table, Proposal) (uint64, error)

func commitCorrectly(ctx context.Context, table storer.Table, p Proposal) (uint64, error) {
	c, err := Commit(ctx, table, p)
	return c.GetVersion(), err
}

// commitIgnoringLostAnswer reports a commit whose answer was lost as not made.
func commitIgnoringLostAnswer(ctx context.Context, table storer.Table, p Proposal) (uint64, error) {
	var seen observedRows
	if err := seen.read(ctx, table, p); err != nil {
		return 0, &storer.UnavailableError{}
	}
	c, err := attempt(ctx, table, p, seen)
	var conflict *VersionConflictError
	if err != nil && !errors.As(err, &conflict) {
		return 0, &storer.UnavailableError{}
	}
	return c.GetVersion(), err
}

// history records the commits of five operators that change one row through a
// table with faults.
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
				w := outcomeOf(err, v)
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

// fault switches a random fault of the table on or off.
func (t *fakeTable) fault(random *rand.Rand) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch random.IntN(8) {
	case 0:
		t.lostAnswers = 1
	case 1:
		t.lostRequests = 1
	case 2:
		t.down = true
	default:
		t.down = false
	}
}

// violations returns the number of seeds whose history is not linearizable.
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
	if bad := violations(t, 40, commitCorrectly); bad > 0 {
		t.Errorf("%d of 40 histories are not linearizable", bad)
	}
}

// TestLinearizabilityCheckDetectsIgnoredLostAnswer shows that the check detects
// a commit that takes a lost answer for a change that was not made.
func TestLinearizabilityCheckDetectsIgnoredLostAnswer(t *testing.T) {
	if violations(t, 10, commitIgnoringLostAnswer) == 0 {
		t.Error("no violation was found, although a lost answer was taken for a change that was not made")
	}
}
