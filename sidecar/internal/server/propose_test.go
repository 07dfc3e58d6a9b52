package server

import (
	"encoding/base64"
	"testing"

	"bamboohill/wire"

	"google.golang.org/protobuf/proto"
)

func header(p *wire.Proposal) string {
	data, err := proto.Marshal(p)
	if err != nil {
		panic(err)
	}
	return base64.StdEncoding.EncodeToString(data)
}

// FuzzDecodeProposal feeds headers from the network. What is accepted must be
// safe to count with: amounts of prompt and answer neither negative nor so
// large that their sum wraps.
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
		// A deadline may have passed, but its nanoseconds must not wrap.
		if left := p.GetRemainingMs(); left*1_000_000/1_000_000 != left {
			t.Errorf("accepted %d ms", left)
		}
		if p.GetAttempt() == "" {
			t.Error("accepted no attempt")
		}
	})
}
