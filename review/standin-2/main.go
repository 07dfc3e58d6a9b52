// The cases 6 to 10 of the review: each is a day of a small site, played with the project's
// entries as processes against stand-ins of the store, the engines and the clients.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Bounds of the small site.
const contactMs = 3000

// play is one case. It returns what broke the rule, "" if it held.
type play func(record *recorder, trouble bool) string

var plays = map[string]play{}

func main() {
	if len(os.Args) != 3 || plays[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-2 CASE RECORD")
		os.Exit(2)
	}
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-ended
		processes.Range(func(_, p any) bool {
			p.(*os.Process).Kill()
			return true
		})
		os.Exit(2)
	}()
	os.Exit(run(plays[os.Args[1]], os.Args[2]))
}

func run(p play, path string) (status int) {
	record, err := newRecorder(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer record.file.Close()
	defer func() {
		if r := recover(); r != nil {
			record.add("could-not-run", r)
			fmt.Fprintln(os.Stderr, "could not run:", r)
			status = 2
		}
	}()
	broken := p(record, os.Getenv("TROUBLE") != "0")
	if broken != "" {
		record.add("broken", broken)
		fmt.Println("broken:", broken)
		return 1
	}
	record.add("held")
	fmt.Println("held")
	return 0
}
