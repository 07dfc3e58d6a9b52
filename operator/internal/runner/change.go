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

// row is one row of the configuration.
type row struct {
	Key     string          `json:"key"`
	Version uint64          `json:"version"`
	Record  json.RawMessage `json:"record"`
}

// committed is an entry's word that a change was made.
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

// rowPath returns the path of a row with the key KIND/NAME.
func rowPath(key string) string {
	kind, name, _ := strings.Cut(key, "/")
	return "/admin/rows/" + url.PathEscape(kind) + "/" + url.PathEscape(name)
}

// current returns a row as it is, with version 0 if it is absent.
func (s *session) current(ctx context.Context, key string) (row, error) {
	var r row
	err := s.Do(ctx, caller.Call{Method: http.MethodGet, Path: rowPath(key)}, &r)
	var refusal *caller.Error
	if errors.As(err, &refusal) && refusal.Code == "no_row" {
		return row{Key: key}, nil
	}
	return r, err
}

// edit writes or deletes a row on top of the version that the operator names,
// or else of the one that the command saw, and reports it.
func (s *session) edit(ctx context.Context, method, key string, seen uint64, record []byte, query string) error {
	version := s.command.String("if-version")
	if version == "" {
		version = strconv.FormatUint(seen, 10)
	}
	return s.send(ctx, caller.Call{Method: method, Path: rowPath(key) + query, Body: record, Version: version}, key)
}

// send makes a change under its id and reports it.
func (s *session) send(ctx context.Context, call caller.Call, key string) error {
	call.ID = s.command.String("id")
	if call.ID == "" {
		call.ID = newID()
	}
	var c committed
	if err := s.Do(ctx, call, &c); err != nil {
		var reach *caller.ReachError
		if errors.As(err, &reach) && reach.Doubt {
			return fmt.Errorf("%w; ask again with --id %s", err, call.ID)
		}
		return err
	}
	s.Say("%s accepted as change %d, id %s", key, c.Sequence, c.ID)
	if !s.command.Bool("wait") {
		return s.PrintJSON(c)
	}
	return s.wait(ctx, c.Sequence)
}

// wait asks where a change is in force until it is so everywhere.
func (s *session) wait(ctx context.Context, sequence uint64) error {
	limit := time.Now().Add(s.command.Duration("timeout"))
	for {
		f, err := s.inForce(ctx, sequence)
		if err != nil {
			return err
		}
		if f.all() || time.Now().After(limit) {
			return s.printInForce(f)
		}
		time.Sleep(waitPause)
	}
}

// waitPause lies between two questions of a wait.
const waitPause = 200 * time.Millisecond

func changeCommand() *cli.Command {
	return &cli.Command{
		Name: "change", Usage: "write a row from a JSON file, or from standard input with -", ArgsUsage: "KIND/NAME FILE",
		Description: `Examples:
   bamboohill change plan/crew plan.json --wait
   echo '{"account":{"name":"balloon","plan":"crew"}}' | bamboohill change account/balloon -`,
		Flags: changeFlags(),
		Action: with(2, func(ctx context.Context, s *session, words []string) error {
			record, err := readFile(words[1])
			if err != nil {
				return &UsageError{Text: err.Error()}
			}
			now, err := s.current(ctx, words[0])
			if err != nil {
				return err
			}
			return s.edit(ctx, http.MethodPut, words[0], now.Version, record, "")
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
		Action: with(1, func(ctx context.Context, s *session, words []string) error {
			now, err := s.current(ctx, words[0])
			if err != nil {
				return err
			}
			return s.edit(ctx, http.MethodDelete, words[0], now.Version, nil, "")
		}),
	}
}

// placeCommand takes failure domains or VMs out of service and in again.
func placeCommand(kind, usage string) *cli.Command {
	move := func(out bool) cli.ActionFunc {
		return with(1, func(ctx context.Context, s *session, words []string) error {
			key := kind + "/" + words[0]
			now, err := s.current(ctx, key)
			if err != nil {
				return err
			}
			record, err := json.Marshal(map[string]any{
				kind: map[string]any{"name": words[0], "out": out, "reason": s.command.String("reason")},
			})
			if err != nil {
				return err
			}
			query := ""
			if s.command.Bool("unknown") {
				query = "?unknown=allow"
			}
			return s.edit(ctx, http.MethodPut, key, now.Version, record, query)
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
				Name: "out", Usage: "take out of service", ArgsUsage: "NAME", Flags: flags(), Action: move(true),
				Description: "Example:\n   bamboohill " + kind + " out NAME --reason \"power work\" --wait",
			},
			{Name: "in", Usage: "take back into service", ArgsUsage: "NAME", Flags: flags(), Action: move(false)},
			{Name: "list", Usage: "list those that operators changed", Action: list(kind)},
		},
	}
}

func listCommand(kind, usage string) *cli.Command {
	return &cli.Command{
		Name: kind, Usage: usage,
		Commands: []*cli.Command{
			{Name: "list", Usage: "list all", Action: list(kind)},
			{Name: "get", Usage: "print one row as JSON", ArgsUsage: "NAME", Action: with(1, func(ctx context.Context, s *session, words []string) error {
				r, err := s.current(ctx, kind+"/"+words[0])
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
	return with(0, func(ctx context.Context, s *session, _ []string) error {
		var rows []row
		if err := s.Do(ctx, caller.Call{Method: http.MethodGet, Path: "/admin/rows/" + kind}, &rows); err != nil {
			return err
		}
		var table [][]string
		for _, r := range rows {
			_, name, _ := strings.Cut(r.Key, "/")
			table = append(table, []string{name, strconv.FormatUint(r.Version, 10), inner(r.Record)})
		}
		return s.Print(rows, []string{"NAME", "VERSION", "RECORD"}, table)
	})
}

// inner returns the text of a record without its kind.
func inner(record json.RawMessage) string {
	var kinds map[string]json.RawMessage
	if json.Unmarshal(record, &kinds) == nil {
		for _, text := range kinds {
			return string(text)
		}
	}
	return string(record)
}
