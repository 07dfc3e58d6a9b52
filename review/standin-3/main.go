// Command standin3 is the stand-in of the platform, its engines and its clients for the cases
// review/11 to review/15. It starts the project's entries as processes.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"syscall"
	"time"
)

var (
	program   string // the project's program
	began     = time.Now()
	temporary string
	trouble   bool
	seed      = flag.Uint64("seed", 1, "seed")
	recordTo  = flag.String("record", "", "file of the record")
)

// cases are the commands. Each returns what broke the rule, or nothing.
var cases = map[string]func() []string{}

func main() {
	flag.BoolVar(&trouble, "trouble", true, "whether the disruption is played")
	flag.StringVar(&program, "entry", "target/entry", "the project's program")
	flag.Parse()
	run, found := cases[flag.Arg(0)]
	if !found {
		cannotRun("no such case")
	}
	if flag.Arg(0) == "engine" {
		run()
		return
	}
	go endOnSignal()
	broken := run()
	cleanUp()
	for _, b := range broken {
		journal.note("RULE BROKEN: %s", b)
	}
	if len(broken) == 0 {
		journal.note("the rule held")
	}
	journal.write(*recordTo)
	if len(broken) > 0 {
		fmt.Println("broken:", broken[0])
		os.Exit(1)
	}
	fmt.Println("held")
}

// children are the processes of engines.
var children []*child

var running []*entry

// The thread that starts processes must live as long as they do (Pdeathsig).
func init() { runtime.LockOSThread() }

// endOnSignal ends all processes if this one is told to end.
func endOnSignal() {
	told := make(chan os.Signal, 1)
	signal.Notify(told, syscall.SIGTERM, os.Interrupt)
	<-told
	cannotRun("told to end")
}

func cleanUp() {
	for _, e := range running {
		if e.command != nil && !e.hasEnded() {
			e.kill()
		}
	}
	for _, k := range children {
		if k.command != nil && k.command.Process != nil {
			k.command.Process.Kill()
			k.command.Wait()
		}
	}
	if temporary != "" {
		os.RemoveAll(temporary)
	}
}

func cannotRun(cause string) {
	fmt.Fprintln(os.Stderr, "can't run:", cause)
	cleanUp()
	os.Exit(2)
}
