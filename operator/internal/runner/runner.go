// Package runner holds the commands of the program bamboohill.
//
// # Usage
//
//	os.Exit(runner.Main(context.Background(), os.Args, os.Stdout, os.Stderr))
package runner

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"bamboohill/operator/internal/caller"
	"bamboohill/operator/internal/printer"

	"github.com/urfave/cli/v3"
)

// Exit statuses.
const (
	ExitOK       = 0
	ExitFailed   = 1
	ExitUsage    = 2 // a wrong command line or a refused row
	ExitBehind   = 3 // made, but not in force everywhere in time
	ExitConflict = 4 // another change went before
	ExitDenied   = 5 // operator key or role
	ExitStore    = 6 // nothing was changed: store down, or no entry reached
	ExitUnknown  = 7 // the change may have been made
)

// UsageError is a wrong command line.
type UsageError struct {
	Text string
}

// Error implements error.
func (e *UsageError) Error() string { return e.Text }

// BehindError says that a change is not in force everywhere yet.
type BehindError struct {
	Sequence uint64
}

// Error implements error.
func (e *BehindError) Error() string {
	return fmt.Sprintf("change %d is not in force everywhere yet", e.Sequence)
}

// Main runs the program and returns its exit status.
func Main(ctx context.Context, words []string, out, problems io.Writer) int {
	root := command(out, problems)
	blame(root)
	err := root.Run(ctx, words)
	if err != nil {
		explain(problems, err)
	}
	return status(err)
}

// blame makes the wrong use of a command, or of one below it, a *UsageError.
func blame(c *cli.Command) {
	c.OnUsageError = func(_ context.Context, _ *cli.Command, err error, _ bool) error {
		return &UsageError{Text: err.Error()}
	}
	for _, below := range c.Commands {
		blame(below)
	}
}

func status(err error) int {
	var usage *UsageError
	var form *printer.FormError
	var behind *BehindError
	var reach *caller.ReachError
	var refusal *caller.Error
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &usage), errors.As(err, &form):
		return ExitUsage
	case errors.As(err, &behind):
		return ExitBehind
	case errors.As(err, &reach):
		if reach.Doubt {
			return ExitUnknown
		}
		return ExitStore
	case errors.As(err, &refusal):
		return codes[refusal.Code]
	}
	return ExitFailed
}

// codes gives the exit status of an entry's refusal.
var codes = map[string]int{
	"bad_row": ExitUsage, "no_kind": ExitUsage, "bad_sequence": ExitUsage, "conflict": ExitConflict, "bad_key": ExitDenied,
	"bad_role": ExitDenied, "store_down": ExitStore, "not_ready": ExitStore, "unknown": ExitUnknown, "no_row": ExitFailed,
	"no_call": ExitFailed, "bad_answer": ExitFailed,
}

// explain prints an error, and for a conflict what won.
func explain(w io.Writer, err error) {
	fmt.Fprintf(w, "bamboohill: %v\n", err)
	var refusal *caller.Error
	if errors.As(err, &refusal) && refusal.Code == "conflict" {
		fmt.Fprintf(w, "the row is at version %d by %s: %s\n", refusal.Version, refusal.Author, refusal.Row)
		fmt.Fprintf(w, "look at it, then give the command again\n")
	}
}

func command(out, problems io.Writer) *cli.Command {
	return &cli.Command{
		Name:  "bamboohill",
		Usage: "operate a bamboohill system through its entries",
		Description: `Examples:
   bamboohill domain out ikeja --reason "power work" --wait
   bamboohill vm in vm-engine3
   bamboohill change plan/crew plan.json
   bamboohill key create balloon
   bamboohill in-force
   bamboohill status --output json

Exit status: 0 done, 1 failed, 2 wrong command line or refused row, 3 not in
force everywhere in time, 4 another change went before, 5 key or role, 6
nothing was changed (store down or no entry reached), 7 unknown: ask again
with the same --id.`,
		Writer: out, ErrWriter: problems,
		EnableShellCompletion: true,
		ExitErrHandler:        func(context.Context, *cli.Command, error) {},
		Flags: []cli.Flag{
			&cli.StringSliceFlag{
				Name: "entry", Usage: "an entry's `IP:PORT` or URL; tried in turn", Sources: cli.EnvVars("BAMBOOHILL_ENTRIES"),
			},
			&cli.StringFlag{Name: "key-file", Usage: "`FILE` with the operator key, else BAMBOOHILL_KEY", Sources: cli.EnvVars("BAMBOOHILL_KEY_FILE")},
			&cli.StringFlag{Name: "ca-file", Usage: "`FILE` with the certificates that entries behind https are checked against", Sources: cli.EnvVars("BAMBOOHILL_CA_FILE")},
			&cli.StringFlag{Name: "output", Aliases: []string{"o"}, Usage: "table or json", Value: printer.Table},
		},
		Commands: []*cli.Command{
			listCommand("account", "client accounts, the first list"), listCommand("plan", "plans and what each may use, the second list"),
			placeCommand("domain", "failure domains"), placeCommand("vm", "VMs of backend servers"),
			changeCommand(), deleteCommand(), keyCommand(), pardonCommand(), inForceCommand(), statusCommand(),
		},
	}
}

// session is what one command works with.
type session struct {
	*caller.Caller
	*printer.Printer
	command *cli.Command
}

// with wraps a command's work with its caller and printer. A command takes as
// many words as its ArgsUsage names.
func with(words int, do func(context.Context, *session, []string) error) cli.ActionFunc {
	return func(ctx context.Context, c *cli.Command) error {
		if c.Args().Len() != words {
			return &UsageError{Text: fmt.Sprintf("%s wants %s", c.FullName(), strings.TrimSpace(c.ArgsUsage+" and nothing else"))}
		}
		p, err := printer.New(c.Root().Writer, c.String("output"))
		if err != nil {
			return err
		}
		key, err := operatorKey(c)
		if err != nil {
			return err
		}
		entries := c.StringSlice("entry")
		if len(entries) == 0 {
			return &UsageError{Text: "name an entry with --entry or BAMBOOHILL_ENTRIES"}
		}
		client, err := client(c.String("ca-file"))
		if err != nil {
			return err
		}
		s := &session{Caller: caller.New(caller.Config{Entries: entries, Key: key, Client: client}), Printer: p, command: c}
		return do(ctx, s, c.Args().Slice())
	}
}

// client returns an HTTP client that trusts the certificates in a file, or the
// machine's own if none is named.
func client(file string) (*http.Client, error) {
	if file == "" {
		return &http.Client{}, nil
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, &UsageError{Text: err.Error()}
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return nil, &UsageError{Text: file + " holds no certificate in PEM form"}
	}
	return &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}}}, nil
}

// operatorKey reads the key from its file or the environment, never from the
// command line, which other users of the machine can see.
func operatorKey(c *cli.Command) (string, error) {
	if file := c.String("key-file"); file != "" {
		text, err := os.ReadFile(file)
		if err != nil {
			return "", &UsageError{Text: err.Error()}
		}
		return strings.TrimSpace(string(text)), nil
	}
	if key := os.Getenv("BAMBOOHILL_KEY"); key != "" {
		return key, nil
	}
	return "", &UsageError{Text: "set BAMBOOHILL_KEY or --key-file to the operator key"}
}

// changeFlags are the flags of every command that changes something.
func changeFlags() []cli.Flag {
	return []cli.Flag{
		&cli.BoolFlag{Name: "wait", Usage: "until the change is in force everywhere"},
		&cli.DurationFlag{Name: "timeout", Usage: "of --wait", Value: 15 * time.Second},
		&cli.StringFlag{Name: "id", Usage: "of the change; the same id is made once"},
		&cli.StringFlag{Name: "if-version", Usage: "the row `VERSION` that you saw, 0 for none; default is the newest"},
	}
}
