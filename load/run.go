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

// brokenError says that answers broke a promise.
type brokenError struct {
	Wrong, Truncated int
	Audit            auditor.Audit
}

// Error implements error.
func (e *brokenError) Error() string {
	return fmt.Sprintf("load: broken promises: wrong %d, truncated %d, doubled %d, not run that did run %d, lost %d, crossed %d",
		e.Wrong, e.Truncated, e.Audit.Doubled, e.Audit.Lied, e.Audit.Lost, e.Audit.Crossed)
}

func runCommand() *cli.Command {
	return &cli.Command{
		Name:  "run",
		Usage: "send a seeded mix of prompts and bookings at a rate; exit 1 if an answer breaks a promise",
		Flags: append([]cli.Flag{
			&cli.StringFlag{Name: "config", Usage: "settings `FILE`; flags go before it"},
			&cli.StringSliceFlag{Name: "runs", Usage: "booking service `IP:PORT` whose runs are compared at the end"},
			&cli.FloatFlag{Name: "rate", Usage: "requests a second"},
			&cli.FloatFlag{Name: "seconds", Usage: "length of the arrivals"},
			&cli.Uint64Flag{Name: "seed", Usage: "of arrivals, lengths and texts"},
			&cli.Int64Flag{Name: "shortest", Usage: "`TOKENS` of the shortest prompt"},
			&cli.Int64Flag{Name: "longest", Usage: "`TOKENS` of the longest prompt"},
			&cli.FloatFlag{Name: "long", Usage: "share of prompts over 100,000 tokens"},
			&cli.FloatFlag{Name: "whole", Usage: "share of answers in one piece"},
			&cli.FloatFlag{Name: "chat", Usage: "share of prompts sent as chat"},
			&cli.FloatFlag{Name: "shared", Usage: "share of prompts that start alike"},
			&cli.FloatFlag{Name: "bookings", Usage: "share of bookings"},
			&cli.FloatFlag{Name: "resend", Usage: "share of bookings sent twice under one key"},
			&cli.IntFlag{Name: "retries", Usage: "tries again after not-run, when Retry-After has passed"},
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

// targetFlags says whom to call, as whom and for what.
func targetFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringSliceFlag{Name: "entry", Usage: "entry `IP:PORT`, may be repeated"},
		&cli.StringSliceFlag{Name: "key", Usage: "caller's `KEY`, may be repeated"},
		&cli.StringFlag{Name: "model", Usage: "MODEL[@VERSION][:ADAPTER]"},
		&cli.StringFlag{Name: "service", Usage: "plain service that takes bookings"},
		&cli.Int64Flag{Name: "answer", Usage: "`TOKENS` of an answer"},
		&cli.IntFlag{Name: "timeout", Usage: "`MILLISECONDS` a request may take"},
	}
}

// loadSettings reads the settings file, puts the flags before it and checks
// the whole.
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

// run sends the planned requests, waits for every answer and reports.
func run(ctx context.Context, set settings.Settings) error {
	p := planner.New(planner.Config{Settings: set})
	record := recorder.New()
	send := caller.New(caller.Config{Settings: set, Planner: p})
	stop := progress(ctx, set, record)
	arrive(ctx, p, send, record)
	stop()
	fmt.Printf("result=settings seed=%d rate=%g seconds=%g long=%g bookings=%g entries=%d accounts=%d retries=%d\n",
		set.Seed, set.Rate, set.Seconds, set.Long, set.Bookings, len(set.Entries), len(set.Accounts), set.Retries)
	record.Report(os.Stdout)
	if err := write(set, record); err != nil {
		return err
	}
	return judge(set, record)
}

// arrive starts every request at its time, whatever became of the others, and
// waits for all to end.
func arrive(ctx context.Context, p *planner.Planner, send *caller.Caller, record *recorder.Recorder) {
	var all sync.WaitGroup
	defer all.Wait()
	start := time.Now()
	for {
		r, more := p.Next()
		if !more || !sleep(ctx, r.At-time.Since(start)) {
			return
		}
		all.Go(func() {
			if r.Again == planner.Beside {
				second := r
				second.Entry++
				all.Go(func() { record.Add(send.Do(ctx, second)) })
			}
			record.Add(send.Do(ctx, r))
			if r.Again == planner.After {
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

func write(set settings.Settings, record *recorder.Recorder) error {
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

// auditLimit bounds the reading of the booking services' runs.
const auditLimit = 10 * time.Second

// judge returns a *brokenError if an answer broke a promise.
func judge(set settings.Settings, record *recorder.Recorder) error {
	wrong, _ := record.Count(caller.Wrong)
	truncated, _ := record.Count(caller.Truncated)
	bad := &brokenError{Wrong: wrong, Truncated: truncated}
	if len(set.Runs) > 0 {
		ctx, cancel := context.WithTimeout(context.Background(), auditLimit)
		defer cancel()
		runs, err := auditor.Read(ctx, http.DefaultClient, set.Runs)
		if err != nil {
			return err
		}
		a := auditor.Judge(record.Bookings(), runs)
		fmt.Printf("result=audit bookings=%d doubled=%d not_run_that_ran=%d answered_unrun=%d crossed=%d\n", a.Keys, a.Doubled, a.Lied, a.Lost, a.Crossed)
		bad.Audit = a
	}
	if wrong+truncated+bad.Audit.Doubled+bad.Audit.Lied+bad.Audit.Lost+bad.Audit.Crossed > 0 {
		return bad
	}
	return nil
}
