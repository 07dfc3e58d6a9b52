package prover

import (
	"context"
	"os/exec"
	"path/filepath"
	"strconv"
	"testing"

	"github.com/matryer/is"
)

// TestStacksEndTheirOwn stops a stack whose list of process IDs contains one that now
// belongs to another process: IDs are reused within a minute when scripts start many
// processes. The process of the stack must end, the other one must go on.
func TestStacksEndTheirOwn(t *testing.T) {
	for _, functions := range []string{"demo/stack", "bench/lib"} {
		t.Run(filepath.Base(functions), func(t *testing.T) {
			is := is.New(t)
			t.Setenv("TMPDIR", t.TempDir())
			other := exec.CommandContext(context.Background(), "sleep", "600")
			is.NoErr(other.Start())
			ended := make(chan error, 1)
			go func() { ended <- other.Wait() }()
			script := `set -p
. "$1"
dir=$3; touch "$dir/own"
tail -f "$dir/own" & pids+=($! "$2")
own=$!
until grep -qaF own "/proc/$own/cmdline"; do sleep 0.01; done
stop_all
! kill -0 "$own" 2>/dev/null && kill -0 "$2"`
			out, err := exec.CommandContext(t.Context(), "bash", "-c", script, "bash",
				filepath.Join(root, functions), strconv.Itoa(other.Process.Pid), t.TempDir()).CombinedOutput()
			t.Logf("%s", out)
			is.NoErr(err) // own has ended, other still runs
			is.NoErr(other.Process.Kill())
			<-ended
		})
	}
}
