package runner

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"bamboohill/operator/internal/caller"

	"github.com/urfave/cli/v3"
)

// tally counts the processes that have a change in force.
type tally struct {
	InForce int      `json:"in_force"`
	Total   int      `json:"total"`
	Behind  []behind `json:"behind"`
}

type behind struct {
	Name     string `json:"name"`
	Sequence uint64 `json:"sequence"`
	Silent   bool   `json:"silent"`
}

// inForce says where a change is in force.
type inForce struct {
	Sequence uint64 `json:"sequence"`
	Entries  tally  `json:"entries"`
	Sidecars tally  `json:"sidecars"`
}

func (f inForce) all() bool {
	return f.Entries.InForce == f.Entries.Total && f.Sidecars.InForce == f.Sidecars.Total
}

func (s *session) inForce(ctx context.Context, sequence uint64) (inForce, error) {
	path := "/admin/in-force"
	if sequence > 0 {
		path += "?sequence=" + strconv.FormatUint(sequence, 10)
	}
	var f inForce
	err := s.Do(ctx, caller.Call{Method: http.MethodGet, Path: path}, &f)
	return f, err
}

// printInForce prints where a change is in force and fails if it is not so
// everywhere.
func (s *session) printInForce(f inForce) error {
	if err := s.PrintJSON(f); err != nil {
		return err
	}
	s.Say("in force %d/%d entries, %d/%d sidecars", f.Entries.InForce, f.Entries.Total, f.Sidecars.InForce, f.Sidecars.Total)
	s.sayBehind("entry", f.Entries)
	s.sayBehind("sidecar", f.Sidecars)
	if !f.all() {
		return &BehindError{Sequence: f.Sequence}
	}
	return nil
}

func (s *session) sayBehind(role string, t tally) {
	for _, b := range t.Behind {
		word := fmt.Sprintf("at change %d", b.Sequence)
		if b.Silent {
			word = "does not answer"
		}
		s.Say("behind: %s %s %s", role, b.Name, word)
	}
}

func inForceCommand() *cli.Command {
	return &cli.Command{
		Name: "in-force", Usage: "where a change is in force, the newest if none is named",
		Description: "Example:\n   bamboohill in-force --sequence 41 --wait",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "sequence", Usage: "`NUMBER` of the change"},
			&cli.BoolFlag{Name: "wait", Usage: "until it is in force everywhere"},
			&cli.DurationFlag{Name: "timeout", Usage: "of --wait", Value: 15 * time.Second},
		},
		Action: with(0, func(ctx context.Context, s *session, _ []string) error {
			if s.command.Bool("wait") {
				return s.wait(ctx, s.command.Uint64("sequence"))
			}
			f, err := s.inForce(ctx, s.command.Uint64("sequence"))
			if err != nil {
				return err
			}
			return s.printInForce(f)
		}),
	}
}

// system is what an entry knows of the system.
type system struct {
	Sequence uint64   `json:"sequence"`
	AgeMs    int64    `json:"age_ms"`
	Entries  []string `json:"entries"`
	Servers  []struct {
		Server   string `json:"server"`
		VM       string `json:"vm"`
		Domain   string `json:"domain"`
		State    string `json:"state"`
		Health   string `json:"health"`
		Running  int    `json:"running"`
		Limit    int    `json:"limit"`
		Free     int64  `json:"free"`
		Sequence uint64 `json:"sequence"`
	} `json:"servers"`
}

// unbounded is the least free memory in tokens that means none is counted, as
// beside a plain service.
const unbounded = 1 << 60

func free(tokens int64) string {
	if tokens >= unbounded {
		return "-"
	}
	return strconv.FormatInt(tokens, 10)
}

func statusCommand() *cli.Command {
	return &cli.Command{
		Name: "status", Usage: "what an entry knows of the system",
		Action: with(0, func(ctx context.Context, s *session, _ []string) error {
			var y system
			if err := s.Do(ctx, caller.Call{Method: http.MethodGet, Path: "/admin/status"}, &y); err != nil {
				return err
			}
			s.Say("change %d, confirmed %d ms ago; other entries: %s", y.Sequence, y.AgeMs, strings.Join(y.Entries, " "))
			var table [][]string
			for _, v := range y.Servers {
				state := strings.ToLower(strings.TrimPrefix(v.State, "STATE_"))
				table = append(table, []string{
					v.Server, v.VM, v.Domain, state, v.Health, fmt.Sprintf("%d/%d", v.Running, v.Limit), free(v.Free),
					strconv.FormatUint(v.Sequence, 10),
				})
			}
			return s.Print(y, []string{"SERVER", "VM", "DOMAIN", "STATE", "HEALTH", "RUNNING", "FREE", "CHANGE"}, table)
		}),
	}
}
