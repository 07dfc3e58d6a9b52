package keeper

import (
	"os"
	"testing"

	"bamboohill/core/internal/seeder"

	"pgregory.net/rapid"
)

// TestMain fixes the seed of the property tests.
func TestMain(m *testing.M) { os.Exit(seeder.Run(m)) }

// recorder is a testing.TB that records failures instead of reporting them.
type recorder struct {
	testing.TB
	failed bool
}

func (r *recorder) Helper()               {}
func (r *recorder) Name() string          { return "recorder" }
func (r *recorder) Logf(string, ...any)   {}
func (r *recorder) Log(...any)            {}
func (r *recorder) Errorf(string, ...any) { r.failed = true }
func (r *recorder) Error(...any)          { r.failed = true }
func (r *recorder) Fatalf(string, ...any) { r.failed = true }
func (r *recorder) Fatal(...any)          { r.failed = true }
func (r *recorder) FailNow()              { r.failed = true }
func (r *recorder) Fail()                 { r.failed = true }
func (r *recorder) Failed() bool          { return r.failed }

// rejected reports whether rapid finds a counterexample to a property.
func rejected(t *testing.T, property func(*rapid.T)) bool {
	r := &recorder{TB: t}
	rapid.Check(r, property)
	return r.failed
}
