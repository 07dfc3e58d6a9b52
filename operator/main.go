// Command bamboohill operates a system through the administration API of its
// entries.
//
// # Usage
//
//	export BAMBOOHILL_ENTRIES=127.0.0.1:21010,127.0.0.1:21011 BAMBOOHILL_KEY=...
//	bamboohill domain out ikeja --wait
//	bamboohill in-force
//	bamboohill --help
package main

import (
	"context"
	"os"

	"bamboohill/operator/internal/runner"
)

func main() { os.Exit(runner.Main(context.Background(), os.Args, os.Stdout, os.Stderr)) }
