package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"bamboohill/core/checker"
	"bamboohill/load/internal/auditor"
	"bamboohill/load/internal/caller"
	"bamboohill/load/internal/planner"
	"bamboohill/load/internal/recorder"
	"bamboohill/load/internal/settings"

	"github.com/urfave/cli/v3"
)

// violationError reports that answers violated guarantees.
type violationError struct {
	Wrong, Truncated int
	Audit            auditor.Audit
}

// Error implements error.
func (e *violationError) Error() string {
	return fmt.Sprintf("load: violated guarantees: wrong %d, truncated %d, run more than once %d, run although reported as not run %d, answered but not run %d, conflicting answers %d",
		e.Wrong, e.Truncated, e.Audit.RunTwice, e.Audit.RefusedButRun, e.Audit.AnsweredNotRun, e.Audit.ConflictingAnswers)
}

func runCommand() *cli.Command {
	return &cli.Command{
		Name:  "run",
		Usage: "send a seeded random mix of prompts and bookings at a rate; exit 1 if an answer violates a guarantee",
		Flags: append([]cli.Flag{
			&cli.StringFlag{Name: "config", Usage: "settings `FILE`; flags take precedence"},
			&cli.StringSliceFlag{Name: "runs", Usage: "booking service `IP:PORT` whose runs are compared with the answers at the end"},
			&cli.FloatFlag{Name: "rate", Usage: "requests per second"},
			&cli.FloatFlag{Name: "seconds", Usage: "duration of the arrivals"},
			&cli.Uint64Flag{Name: "seed", Usage: "random seed of arrivals, lengths and texts"},
			&cli.Int64Flag{Name: "shortest", Usage: "`TOKENS` of the shortest prompt"},
			&cli.Int64Flag{Name: "longest", Usage: "`TOKENS` of the longest prompt"},
			&cli.FloatFlag{Name: "long", Usage: "share of prompts with more than 100,000 tokens"},
			&cli.FloatFlag{Name: "whole", Usage: "share of prompts with an answer that is not streamed"},
			&cli.FloatFlag{Name: "chat", Usage: "share of prompts sent as chat"},
			&cli.FloatFlag{Name: "shared", Usage: "share of prompts with a prefix in common with others of their account"},
			&cli.FloatFlag{Name: "bookings", Usage: "share of bookings"},
			&cli.FloatFlag{Name: "resend", Usage: "share of bookings sent twice under one key"},
			&cli.IntFlag{Name: "retries", Usage: "most retries of a request refused as not-run, each after Retry-After"},
			&cli.StringFlag{Name: "out", Usage: "`DIRECTORY` for requests.csv and first.png"},
		}, targetFlags()...),
		Action: func(ctx context.Context, c *cli.Command) error {
			set, err := loadSettings(c)
			if err != nil {
				return err
			}
			return run(ctx, *set)
		},
	}
}

// targetFlags returns the flags that select the entries, keys, model, service,
// answer length and timeout.
func targetFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringSliceFlag{Name: "entry", Usage: "entry `IP:PORT`, may be repeated"},
		&cli.StringSliceFlag{Name: "key", Usage: "caller's `KEY`, may be repeated"},
		&cli.StringFlag{Name: "model", Usage: "MODEL[@VERSION][:ADAPTER]"},
		&cli.StringFlag{Name: "service", Usage: "plain service that accepts bookings"},
		&cli.Int64Flag{Name: "answer", Usage: "`TOKENS` of an answer"},
		&cli.IntFlag{Name: "timeout", Usage: "time limit of a request in `MILLISECONDS`"},
	}
}

// loadSettings reads the settings file, applies the flags, which take precedence,
// and validates the result.
func loadSettings(c *cli.Command) (*settings.Settings, error) {
	set := &settings.Settings{}
	if path := c.String("config"); path != "" {
		if err := checker.Load(path, set); err != nil {
			return nil, err
		}
	}
	override(c, set)
	bad := &checker.Error{File: "flags"}
	for _, p := range set.Check() {
		bad.Lines = append(bad.Lines, fmt.Sprintf("flags: %s: %s", p.Key, p.Allowed))
	}
	if len(bad.Lines) > 0 {
		return nil, bad
	}
	return set, nil
}

func override(c *cli.Command, set *settings.Settings) {
	for name, field := range map[string]*float64{
		"rate": &set.Rate, "seconds": &set.Seconds, "long": &set.Long, "whole": &set.Whole, "chat": &set.Chat,
		"shared": &set.Shared, "bookings": &set.Bookings, "resend": &set.Resend,
	} {
		if c.IsSet(name) {
			*field = c.Float(name)
		}
	}
	for name, field := range map[string]*int64{"shortest": &set.Shortest, "longest": &set.Longest, "answer": &set.Answer} {
		if c.IsSet(name) {
			*field = c.Int64(name)
		}
	}
	for name, field := range map[string]*string{"model": &set.Model, "service": &set.Service, "out": &set.Out} {
		if c.IsSet(name) {
			*field = c.String(name)
		}
	}
	for name, field := range map[string]*int{"retries": &set.Retries, "timeout": &set.Timeout} {
		if c.IsSet(name) {
			*field = c.Int(name)
		}
	}
	for name, field := range map[string]*[]string{"entry": &set.Entries, "runs": &set.Runs} {
		if c.IsSet(name) {
			*field = c.StringSlice(name)
		}
	}
	if c.IsSet("seed") {
		set.Seed = c.Uint64("seed")
	}
	if c.IsSet("key") {
		set.Accounts = nil
		for _, key := range c.StringSlice("key") {
			set.Accounts = append(set.Accounts, settings.Account{Name: key, Key: key})
		}
	}
}

// run sends the planned requests, waits for them to end and reports the results.
func run(ctx context.Context, set settings.Settings) error {
	p := planner.New(planner.Config{Settings: set})
	record := recorder.New()
	send := caller.New(caller.Config{Settings: set, Planner: p})
	stop := progress(ctx, set, record)
	sendAll(ctx, p, send, record)
	stop()
	fmt.Printf("result=settings seed=%d rate=%g seconds=%g long=%g bookings=%g entries=%d accounts=%d retries=%d\n",
		set.Seed, set.Rate, set.Seconds, set.Long, set.Bookings, len(set.Entries), len(set.Accounts), set.Retries)
	record.Report(os.Stdout)
	if err := writeFiles(set, record); err != nil {
		return err
	}
	return verify(set, record)
}

// sendAll starts every request at its arrival time, independently of the
// progress of the others, and waits for all to end.
func sendAll(ctx context.Context, p *planner.Planner, send *caller.Caller, record *recorder.Recorder) {
	var all sync.WaitGroup
	defer all.Wait()
	start := time.Now()
	for {
		r, more := p.Next()
		if !more || !sleep(ctx, r.Arrival-time.Since(start)) {
			return
		}
		all.Go(func() {
			if r.Resend == planner.ResendConcurrently {
				second := r
				second.Entry++
				all.Go(func() { record.Add(send.Do(ctx, second)) })
			}
			record.Add(send.Do(ctx, r))
			if r.Resend == planner.ResendAfter {
				r.Entry++
				record.Add(send.Do(ctx, r))
			}
		})
	}
}

func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

func writeFiles(set settings.Settings, record *recorder.Recorder) error {
	if set.Out == "" {
		return nil
	}
	if err := os.MkdirAll(set.Out, 0o755); err != nil {
		return err
	}
	f, err := os.Create(filepath.Join(set.Out, "requests.csv"))
	if err != nil {
		return err
	}
	defer f.Close()
	if err := record.WriteCSV(f); err != nil {
		return err
	}
	return record.Plot(filepath.Join(set.Out, "first.png"))
}

// auditTimeout limits the time to read the runs from the booking services.
const auditTimeout = 10 * time.Second

// verify returns a *violationError if an answer violated a guarantee.
func verify(set settings.Settings, record *recorder.Recorder) error {
	wrong, _ := record.Count(caller.Wrong)
	truncated, _ := record.Count(caller.Truncated)
	bad := &violationError{Wrong: wrong, Truncated: truncated}
	if len(set.Runs) > 0 {
		ctx, cancel := context.WithTimeout(context.Background(), auditTimeout)
		defer cancel()
		runs, err := auditor.ReadRuns(ctx, http.DefaultClient, set.Runs)
		if err != nil {
			return err
		}
		a := auditor.Compare(record.Bookings(), runs)
		fmt.Printf("result=audit bookings=%d doubled=%d not_run_that_ran=%d answered_unrun=%d crossed=%d\n", a.Keys, a.RunTwice, a.RefusedButRun, a.AnsweredNotRun, a.ConflictingAnswers)
		bad.Audit = a
	}
	if wrong+truncated+bad.Audit.RunTwice+bad.Audit.RefusedButRun+bad.Audit.AnsweredNotRun+bad.Audit.ConflictingAnswers > 0 {
		return bad
	}
	return nil
}
