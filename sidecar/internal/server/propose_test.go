package server

import (
	"context"
	"encoding/base64"
	"sync"
	"testing"

	"bamboohill/wire"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
)

func header(p *wire.Proposal) string {
	data, err := proto.Marshal(p)
	if err != nil {
		panic(err)
	}
	return base64.StdEncoding.EncodeToString(data)
}

// FuzzDecodeProposal decodes arbitrary headers, as the network may deliver them.
// Amounts in an accepted proposal must not be negative, nor so large that the sum
// of prompt and answer overflows.
func FuzzDecodeProposal(f *testing.F) {
	for _, p := range []*wire.Proposal{
		{Request: "r", Attempt: "a", Prompt: 1000, Answer: 16, RemainingMs: 60_000},
		{Request: "r", Attempt: "a", Prompt: -1 << 62, Answer: 16, RemainingMs: 60_000},
		{Request: "r", Attempt: "a", Prompt: 1 << 62, Answer: 1 << 62},
		{Request: "r", Attempt: "a", RemainingMs: 1 << 62},
		{Request: "r", Attempt: "a", Position: -1, Cached: -1},
		{Request: "r"},
	} {
		f.Add(header(p))
	}
	f.Add("")
	f.Add("not base64")
	f.Add("////")
	f.Fuzz(func(t *testing.T, text string) {
		p, err := decodeProposal(text)
		if err != nil {
			return
		}
		for name, n := range map[string]int64{
			"prompt": p.GetPrompt(), "answer": p.GetAnswer(), "both": p.GetPrompt() + p.GetAnswer(),
			"position": p.GetPosition(), "cached": p.GetCached(),
		} {
			if n < 0 {
				t.Errorf("accepted %s %d", name, n)
			}
		}
		// A deadline may have passed, but its nanoseconds must not overflow.
		if left := p.GetRemainingMs(); left*1_000_000/1_000_000 != left {
			t.Errorf("accepted %d ms", left)
		}
		if p.GetAttempt() == "" {
			t.Error("accepted no attempt")
		}
	})
}

// TestAnnounce checks that a long prompt triggers an early heartbeat with the
// engine's figures, and that a short one does not.
func TestAnnounce(t *testing.T) {
	is := is.New(t)
	config := quick
	config.Memory, config.Prefill, config.Warm = 1_000_000, 50_000, true
	r := newRig(t, config)
	r.kill()
	r.beat = 3_600_000
	r.start(r.server.config.Settings.Entries[0])
	r.waitFor("requests are answered", func() bool { return r.ask(50, 4).end != nil })
	before := r.entry.beats()
	ctx, cancel := context.WithCancel(t.Context())
	var all sync.WaitGroup
	all.Go(func() { r.send(ctx, proposal(400_000, 4), text(400_000)) })
	r.waitFor("announced", func() bool { return r.entry.beats() == before+1 })
	is.True(r.entry.last().GetLong() > 0)
	cancel()
	all.Wait()
}

// TestOpenOnceConfigured checks that a sidecar without a configuration, whose gate
// refuses everything, does not report itself as open.
func TestOpenOnceConfigured(t *testing.T) {
	is := is.New(t)
	r := newRig(t, quick)
	r.waitFor("open", func() bool { return r.server.Report().GetState() == wire.State_STATE_OPEN })
	r.kill()
	r.table.Close()
	r.start(r.server.config.Settings.Entries[0])
	is.Equal(r.ask(50, 4).refused.GetDetail(), "no configuration yet")
	is.Equal(r.server.Report().GetState(), wire.State_STATE_DOWN)
}
