// Package seeder fixes the seed of property tests, so that every run of a
// package's tests generates the same cases.
//
// # Usage
//
//	func TestMain(m *testing.M) { os.Exit(seeder.Run(m)) }
//
// A package that uses it must import pgregory.net/rapid, which defines the flags.
package seeder

import (
	"flag"
	"fmt"
	"os"
)

// Runner runs the tests of a package; *testing.M is one.
type Runner interface {
	Run() int
}

// flags holds the flags of rapid that Run sets and their values, sorted by name.
var flags = [...]struct{ name, value string }{
	{"rapid.nofailfile", "true"},
	{"rapid.seed", "7"},
}

// exitFailed is the exit status if a flag can't be set.
const exitFailed = 1

// Run parses the command line, sets the flags of rapid, also those given on the
// command line, runs the tests and returns their exit status. If a flag can't be
// set, Run returns 1 without running the tests.
func Run(r Runner) int {
	flag.Parse()
	for _, f := range flags {
		if err := flag.Set(f.name, f.value); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return exitFailed
		}
	}
	return r.Run()
}
