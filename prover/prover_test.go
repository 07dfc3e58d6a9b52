package prover

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync/atomic"
	"testing"

	"bamboohill/prover/internal/launcher"

	"github.com/rogpeppe/go-internal/testscript"
)

// programs is the folder of the built programs.
var programs string

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

// buildAndRun builds the programs, runs the tests, removes the programs and returns the
// exit status of the tests.
func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "prover")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	programs = dir
	for _, name := range []string{"entry", "sidecar", "standin", "load", "operator"} {
		command := exec.CommandContext(context.Background(), "go", "build", "-o", filepath.Join(dir, name), "bamboohill/"+name)
		command.Stderr = os.Stderr
		if err := command.Run(); err != nil {
			fmt.Fprintln(os.Stderr, name, err)
			return 1
		}
	}
	if err := os.Rename(filepath.Join(dir, "operator"), filepath.Join(dir, "bamboohill")); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return m.Run()
}

// scenarioCount counts the scenarios; each gets a loopback address by its number.
var scenarioCount atomic.Int32

// scriptKey is the key of the Script among the values of a testscript.
type scriptKey struct{}

// TestScenarios runs the scenarios in testdata.
func TestScenarios(t *testing.T) {
	commands := map[string]func(*testscript.TestScript, bool, []string){}
	for _, name := range []string{
		"stack", "signal", "start", "exited", "fault", "put", "admin", "ask", "book", "join", "runs", "counts", "check-counts", "until", "issue", "grep-log", "crashes", "open", "running", "memory", "cut", "unavailable", "jobs", "sequence", "partition", "balancer-ready", "balancer-refused", "connection-close", "load", "write-rows", "list-vm", "within-capacity",
	} {
		commands[name] = func(ts *testscript.TestScript, negated bool, args []string) {
			out, err := ts.Value(scriptKey{}).(*Script).Run(name, args)
			ts.Logf("%s", out)
			fmt.Fprint(ts.Stdout(), out)
			if err != nil && !negated {
				ts.Fatalf("%v", err)
			}
			if err == nil && negated {
				ts.Fatalf("%s succeeded, want a failure", name)
			}
		}
	}
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(env *testscript.Env) error {
			pid := os.Getpid()
			address := fmt.Sprintf("127.%d.%d.%d", 64+pid%128, 1+pid/128%250, scenarioCount.Add(1))
			s := NewScript(launcher.New(launcher.Config{Programs: programs, Work: env.WorkDir, Address: address}))
			env.Values[scriptKey{}] = s
			env.Setenv("ENTRY0", s.Stack.EntryAddress(0))
			env.Setenv("ENTRY1", s.Stack.EntryAddress(1))
			for n := 2; n < 4; n++ {
				env.Setenv(fmt.Sprintf("ENTRY%d", n), s.Stack.EntryAddress(n))
			}
			env.Setenv("INNER0", s.Stack.InternalAddress(0))
			env.Setenv("INNER1", s.Stack.InternalAddress(1))
			env.Setenv("OPERATOR_KEY", launcher.OperatorKey)
			env.Setenv("PATH", programs+string(os.PathListSeparator)+os.Getenv("PATH"))
			env.Defer(s.Stack.Close)
			return nil
		},
		Cmds: commands,
	})
}
