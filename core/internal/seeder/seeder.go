// Package seeder fixes the seed of property tests, so that every run of a
// package's tests draws the same.
//
// # Usage
//
//	func TestMain(m *testing.M) { os.Exit(seeder.Run(m)) }
//
// A package that uses it must import pgregory.net/rapid, which has the flags.
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

// values holds the flags of rapid that are set, in the order of their names.
var values = [...]struct{ name, value string }{
	{"rapid.nofailfile", "true"},
	{"rapid.seed", "7"},
}

// failed is the exit status if a flag can't be set.
const failed = 1

// Run parses the flags, sets the seed in place of any that was given, runs the
// tests and returns their exit status.
func Run(r Runner) int {
	flag.Parse()
	for _, v := range values {
		if err := flag.Set(v.name, v.value); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return failed
		}
	}
	return r.Run()
}
