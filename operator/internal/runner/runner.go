// Package runner implements the commands of the program bamboohill.
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

	"bamboohill/core/verifier"
	"bamboohill/operator/internal/caller"
	"bamboohill/operator/internal/printer"

	"github.com/urfave/cli/v3"
)

// Exit statuses.
const (
	ExitOK            = 0
	ExitFailed        = 1
	ExitUsage         = 2 // invalid command line or row
	ExitNotPropagated = 3 // change made, but not active in all processes in time
	ExitConflict      = 4 // another change was made first
	ExitDenied        = 5 // invalid operator key, or role not sufficient
	ExitStore         = 6 // nothing was changed: store unavailable, or no entry reached
	ExitUnknown       = 7 // the change may have been made
)

// UsageError reports an invalid command line.
type UsageError struct {
	Text string
}

// Error implements error.
func (e *UsageError) Error() string { return e.Text }

// NotPropagatedError reports that a change is not yet active in all processes.
type NotPropagatedError struct {
	Sequence uint64
}

// Error implements error.
func (e *NotPropagatedError) Error() string {
	return fmt.Sprintf("change %d is not in force everywhere yet", e.Sequence)
}

// Main runs the program and returns its exit status.
func Main(ctx context.Context, args []string, out, errOut io.Writer) int {
	root := command(out, errOut)
	wrapUsageErrors(root)
	err := root.Run(ctx, args)
	if err != nil {
		printError(errOut, err)
	}
	return exitStatus(err)
}

// wrapUsageErrors turns the usage errors of a command and its subcommands into
// *UsageError.
func wrapUsageErrors(c *cli.Command) {
	c.OnUsageError = func(_ context.Context, _ *cli.Command, err error, _ bool) error {
		return &UsageError{Text: err.Error()}
	}
	for _, subcommand := range c.Commands {
		wrapUsageErrors(subcommand)
	}
}

func exitStatus(err error) int {
	var usage *UsageError
	var format *printer.FormatError
	var notPropagated *NotPropagatedError
	var unreachable *caller.UnreachableError
	var refusal *caller.Error
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &usage), errors.As(err, &format):
		return ExitUsage
	case errors.As(err, &notPropagated):
		return ExitNotPropagated
	case errors.As(err, &unreachable):
		if unreachable.OutcomeUnknown {
			return ExitUnknown
		}
		return ExitStore
	case errors.As(err, &refusal):
		return exitStatuses[refusal.Code]
	}
	return ExitFailed
}

// exitStatuses maps the code of an entry's error to the exit status.
var exitStatuses = map[string]int{
	"bad_row": ExitUsage, "no_kind": ExitUsage, "bad_sequence": ExitUsage, "conflict": ExitConflict, "bad_key": ExitDenied,
	"bad_role": ExitDenied, "store_down": ExitStore, "not_ready": ExitStore, "unknown": ExitUnknown, "no_row": ExitFailed,
	"no_call": ExitFailed, "bad_answer": ExitFailed,
}

// printError prints an error, and for a conflict the present row.
func printError(w io.Writer, err error) {
	fmt.Fprintf(w, "bamboohill: %v\n", err)
	var refusal *caller.Error
	if errors.As(err, &refusal) && refusal.Code == "conflict" {
		fmt.Fprintf(w, "the row is at version %d by %s: %s\n", refusal.Version, refusal.Author, refusal.Row)
		fmt.Fprintf(w, "look at it, then give the command again\n")
	}
}

func command(out, errOut io.Writer) *cli.Command {
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
   bamboohill returns entry-*.log

Exit status: 0 done, 1 failed, 2 wrong command line or refused row, 3 not in
force everywhere in time, 4 another change went before, 5 key or role, 6
nothing was changed (store down or no entry reached), 7 unknown: ask again
with the same --id.`,
		Writer: out, ErrWriter: errOut,
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
			serviceCommand("domain", "failure domains"), serviceCommand("vm", "VMs of backend servers"),
			changeCommand(), deleteCommand(), keyCommand(), pardonCommand(), inForceCommand(), statusCommand(), returnsCommand(),
		},
	}
}

// session holds what a command needs to run.
type session struct {
	*caller.Caller
	*printer.Printer
	command *cli.Command
}

// action returns the action of a command that takes the given number of arguments,
// as its ArgsUsage names them. It checks the arguments and flags and calls run with
// a session.
func action(args int, run func(context.Context, *session, []string) error) cli.ActionFunc {
	return func(ctx context.Context, c *cli.Command) error {
		if c.Args().Len() != args {
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
		return run(ctx, s, c.Args().Slice())
	}
}

// client returns an HTTP client that trusts the certificates in a file, or those
// of the machine if the name is empty.
func client(file string) (*http.Client, error) {
	if file == "" {
		return &http.Client{Transport: verifier.DefaultTransport}, nil
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, &UsageError{Text: err.Error()}
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return nil, &UsageError{Text: file + " holds no certificate in PEM form"}
	}
	return &http.Client{Transport: verifier.NewTransport(&http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}})}, nil
}

// operatorKey reads the key from its file or the environment. There is no flag for
// it, since other users of the machine can see command lines.
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

// changeFlags returns the flags of every command that makes a change.
func changeFlags() []cli.Flag {
	return []cli.Flag{
		&cli.BoolFlag{Name: "wait", Usage: "until the change is in force everywhere"},
		&cli.DurationFlag{Name: "timeout", Usage: "of --wait", Value: 15 * time.Second},
		&cli.StringFlag{Name: "id", Usage: "of the change; the same id is made once"},
		&cli.StringFlag{Name: "if-version", Usage: "the row `VERSION` that you saw, 0 for none; default is the newest"},
	}
}
