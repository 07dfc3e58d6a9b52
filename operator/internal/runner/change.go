package runner

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"
	"time"

	"bamboohill/operator/internal/caller"

	"github.com/urfave/cli/v3"
)

// row is a row of the configuration.
type row struct {
	Key     string          `json:"key"`
	Version uint64          `json:"version"`
	Record  json.RawMessage `json:"record"`
}

// committed is an entry's confirmation of a change.
type committed struct {
	Sequence uint64 `json:"sequence"`
	Version  uint64 `json:"version"`
	ID       string `json:"id"`
}

func newID() string {
	var b [16]byte
	rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// rowPath returns the URL path of the row with a key of the form KIND/NAME.
func rowPath(key string) string {
	kind, name, _ := strings.Cut(key, "/")
	return "/admin/rows/" + url.PathEscape(kind) + "/" + url.PathEscape(name)
}

// readRow returns a row, with version 0 if it does not exist.
func (s *session) readRow(ctx context.Context, key string) (row, error) {
	var r row
	err := s.Do(ctx, caller.Call{Method: http.MethodGet, Path: rowPath(key)}, &r)
	var refusal *caller.Error
	if errors.As(err, &refusal) && refusal.Code == "no_row" {
		return row{Key: key}, nil
	}
	return r, err
}

// changeRow writes or deletes a row and prints the result. The change is made only
// if the row is at the version given by --if-version, or without that flag at
// readVersion.
func (s *session) changeRow(ctx context.Context, method, key string, readVersion uint64, record []byte, query string) error {
	version := s.command.String("if-version")
	if version == "" {
		version = strconv.FormatUint(readVersion, 10)
	}
	return s.send(ctx, caller.Call{Method: method, Path: rowPath(key) + query, Body: record, Version: version}, key)
}

// send makes a change with the id given by --id, or else a new one, and prints the
// result.
func (s *session) send(ctx context.Context, call caller.Call, key string) error {
	call.ID = s.command.String("id")
	if call.ID == "" {
		call.ID = newID()
	}
	var c committed
	if err := s.Do(ctx, call, &c); err != nil {
		var unreachable *caller.UnreachableError
		if errors.As(err, &unreachable) && unreachable.OutcomeUnknown {
			return fmt.Errorf("%w; ask again with --id %s", err, call.ID)
		}
		return err
	}
	s.PrintLine("%s accepted as change %d, id %s", key, c.Sequence, c.ID)
	if !s.command.Bool("wait") {
		return s.PrintJSON(c)
	}
	return s.wait(ctx, c.Sequence)
}

// wait polls until a change is active in all processes or --timeout has passed, and
// prints the processes that lag behind.
func (s *session) wait(ctx context.Context, sequence uint64) error {
	deadline := time.Now().Add(s.command.Duration("timeout"))
	for {
		p, err := s.propagation(ctx, sequence)
		if err != nil {
			return err
		}
		if p.complete() || time.Now().After(deadline) {
			return s.printPropagation(p)
		}
		time.Sleep(pollInterval)
	}
}

// pollInterval is the delay between two polls of wait.
const pollInterval = 200 * time.Millisecond

func changeCommand() *cli.Command {
	return &cli.Command{
		Name: "change", Usage: "write a row from a JSON file, or from standard input with -", ArgsUsage: "KIND/NAME FILE",
		Description: `Examples:
   bamboohill change plan/crew plan.json --wait
   echo '{"account":{"name":"balloon","plan":"crew"}}' | bamboohill change account/balloon -`,
		Flags: changeFlags(),
		Action: action(2, func(ctx context.Context, s *session, args []string) error {
			record, err := readFile(args[1])
			if err != nil {
				return &UsageError{Text: err.Error()}
			}
			existing, err := s.readRow(ctx, args[0])
			if err != nil {
				return err
			}
			return s.changeRow(ctx, http.MethodPut, args[0], existing.Version, record, "")
		}),
	}
}

func readFile(name string) ([]byte, error) {
	if name == "-" {
		return io.ReadAll(os.Stdin)
	}
	return os.ReadFile(name)
}

func deleteCommand() *cli.Command {
	return &cli.Command{
		Name: "delete", Usage: "delete a row", ArgsUsage: "KIND/NAME", Flags: changeFlags(),
		Action: action(1, func(ctx context.Context, s *session, args []string) error {
			existing, err := s.readRow(ctx, args[0])
			if err != nil {
				return err
			}
			return s.changeRow(ctx, http.MethodDelete, args[0], existing.Version, nil, "")
		}),
	}
}

// serviceCommand returns the command that takes failure domains or VMs out of
// service and back into service.
func serviceCommand(kind, usage string) *cli.Command {
	setOut := func(out bool) cli.ActionFunc {
		return action(1, func(ctx context.Context, s *session, args []string) error {
			key := kind + "/" + args[0]
			existing, err := s.readRow(ctx, key)
			if err != nil {
				return err
			}
			record, err := json.Marshal(map[string]any{
				kind: map[string]any{"name": args[0], "out": out, "reason": s.command.String("reason")},
			})
			if err != nil {
				return err
			}
			query := ""
			if s.command.Bool("unknown") {
				query = "?unknown=allow"
			}
			return s.changeRow(ctx, http.MethodPut, key, existing.Version, record, query)
		})
	}
	flags := func() []cli.Flag {
		return append(changeFlags(),
			&cli.StringFlag{Name: "reason", Usage: "shown in the list"},
			&cli.BoolFlag{Name: "unknown", Usage: "also if no backend server is known there"})
	}
	return &cli.Command{
		Name: kind, Usage: usage,
		Commands: []*cli.Command{
			{
				Name: "out", Usage: "take out of service", ArgsUsage: "NAME", Flags: flags(), Action: setOut(true),
				Description: "Example:\n   bamboohill " + kind + " out NAME --reason \"power work\" --wait",
			},
			{Name: "in", Usage: "take back into service", ArgsUsage: "NAME", Flags: flags(), Action: setOut(false)},
			{Name: "list", Usage: "list those that operators changed", Action: list(kind)},
		},
	}
}

func listCommand(kind, usage string) *cli.Command {
	return &cli.Command{
		Name: kind, Usage: usage,
		Commands: []*cli.Command{
			{Name: "list", Usage: "list all", Action: list(kind)},
			{Name: "get", Usage: "print one row as JSON", ArgsUsage: "NAME", Action: action(1, func(ctx context.Context, s *session, args []string) error {
				r, err := s.readRow(ctx, kind+"/"+args[0])
				if err != nil {
					return err
				}
				if r.Version == 0 {
					return &caller.Error{Code: "no_row", Message: "there is no such row"}
				}
				return s.Print(r, []string{"KEY", "VERSION", "RECORD"}, [][]string{{r.Key, strconv.FormatUint(r.Version, 10), string(r.Record)}})
			})},
		},
	}
}

func list(kind string) cli.ActionFunc {
	return action(0, func(ctx context.Context, s *session, _ []string) error {
		var rows []row
		if err := s.Do(ctx, caller.Call{Method: http.MethodGet, Path: "/admin/rows/" + kind}, &rows); err != nil {
			return err
		}
		var table [][]string
		for _, r := range rows {
			_, name, _ := strings.Cut(r.Key, "/")
			table = append(table, []string{name, strconv.FormatUint(r.Version, 10), recordContent(r.Record)})
		}
		return s.Print(rows, []string{"NAME", "VERSION", "RECORD"}, table)
	})
}

// recordContent returns the JSON text of a record without the enclosing object that
// names its kind.
func recordContent(record json.RawMessage) string {
	var kinds map[string]json.RawMessage
	if json.Unmarshal(record, &kinds) == nil {
		for _, text := range kinds {
			return string(text)
		}
	}
	return string(record)
}
