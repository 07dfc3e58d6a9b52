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

// processCount counts the processes in which a change is active.
type processCount struct {
	Active  int              `json:"in_force"`
	Total   int              `json:"total"`
	Lagging []laggingProcess `json:"behind"`
}

// laggingProcess is a process in which a change is not known to be active.
type laggingProcess struct {
	Name        string `json:"name"`
	Sequence    uint64 `json:"sequence"`
	Unreachable bool   `json:"silent"` // it did not answer
}

// propagation describes the processes in which a change is active.
type propagation struct {
	Sequence uint64       `json:"sequence"`
	Entries  processCount `json:"entries"`
	Sidecars processCount `json:"sidecars"`
}

func (p propagation) complete() bool {
	return p.Entries.Active == p.Entries.Total && p.Sidecars.Active == p.Sidecars.Total
}

func (s *session) propagation(ctx context.Context, sequence uint64) (propagation, error) {
	path := "/admin/in-force"
	if sequence > 0 {
		path += "?sequence=" + strconv.FormatUint(sequence, 10)
	}
	var p propagation
	err := s.Do(ctx, caller.Call{Method: http.MethodGet, Path: path}, &p)
	return p, err
}

// printPropagation prints the number of processes in which a change is active and
// those that lag behind. It returns a *NotPropagatedError if there are any.
func (s *session) printPropagation(p propagation) error {
	if err := s.PrintJSON(p); err != nil {
		return err
	}
	s.PrintLine("in force %d/%d entries, %d/%d sidecars", p.Entries.Active, p.Entries.Total, p.Sidecars.Active, p.Sidecars.Total)
	s.printLagging("entry", p.Entries)
	s.printLagging("sidecar", p.Sidecars)
	if !p.complete() {
		return &NotPropagatedError{Sequence: p.Sequence}
	}
	return nil
}

func (s *session) printLagging(role string, c processCount) {
	for _, l := range c.Lagging {
		state := fmt.Sprintf("at change %d", l.Sequence)
		if l.Unreachable {
			state = "does not answer"
		}
		s.PrintLine("behind: %s %s %s", role, l.Name, state)
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
		Action: action(0, func(ctx context.Context, s *session, _ []string) error {
			if s.command.Bool("wait") {
				return s.wait(ctx, s.command.Uint64("sequence"))
			}
			p, err := s.propagation(ctx, s.command.Uint64("sequence"))
			if err != nil {
				return err
			}
			return s.printPropagation(p)
		}),
	}
}

// systemStatus is the state of the system as an entry sees it.
type systemStatus struct {
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

// unlimited is the amount of free memory, in tokens, from which memory counts as
// not tracked, as for servers of a plain service.
const unlimited = 1 << 60

// formatFree formats an amount of free memory in tokens.
func formatFree(tokens int64) string {
	if tokens >= unlimited {
		return "-"
	}
	return strconv.FormatInt(tokens, 10)
}

func statusCommand() *cli.Command {
	return &cli.Command{
		Name: "status", Usage: "what an entry knows of the system",
		Action: action(0, func(ctx context.Context, s *session, _ []string) error {
			var status systemStatus
			if err := s.Do(ctx, caller.Call{Method: http.MethodGet, Path: "/admin/status"}, &status); err != nil {
				return err
			}
			s.PrintLine("change %d, confirmed %d ms ago; other entries: %s", status.Sequence, status.AgeMs, strings.Join(status.Entries, " "))
			var table [][]string
			for _, v := range status.Servers {
				state := strings.ToLower(strings.TrimPrefix(v.State, "STATE_"))
				table = append(table, []string{
					v.Server, v.VM, v.Domain, state, v.Health, fmt.Sprintf("%d/%d", v.Running, v.Limit), formatFree(v.Free),
					strconv.FormatUint(v.Sequence, 10),
				})
			}
			return s.Print(status, []string{"SERVER", "VM", "DOMAIN", "STATE", "HEALTH", "RUNNING", "FREE", "CHANGE"}, table)
		}),
	}
}
