package main

import (
	"context"
	"fmt"
	"os"
	"strings"
	"time"

	"bamboohill/load/internal/caller"
	"bamboohill/load/internal/recorder"
	"bamboohill/load/internal/settings"
)

// Width and refresh interval of the progress bar.
const (
	barWidth    = 30
	barInterval = 200 * time.Millisecond
)

// progress draws a progress bar on standard error during the run, if that is a
// terminal. The returned function stops the bar.
func progress(ctx context.Context, set settings.Settings, record *recorder.Recorder) func() {
	if info, err := os.Stderr.Stat(); err != nil || info.Mode()&os.ModeCharDevice == 0 {
		return func() {}
	}
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		start := time.Now()
		t := time.NewTicker(barInterval)
		defer t.Stop()
		for {
			select {
			case <-ctx.Done():
				fmt.Fprintln(os.Stderr)
				return
			case <-t.C:
				drawBar(time.Since(start).Seconds()/set.Seconds, record)
			}
		}
	}()
	return func() {
		cancel()
		<-done
	}
}

func drawBar(share float64, record *recorder.Recorder) {
	full := int(min(1, share) * barWidth)
	answered, all := record.Count(caller.Answered)
	fmt.Fprintf(os.Stderr, "\r[%s%s] ended %d, answered %d ", strings.Repeat("#", full), strings.Repeat(".", barWidth-full), all, answered)
}
