package receiver

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"strings"
)

// Bounds of what callers may ask.
const (
	defaultAnswer = 128     // tokens
	maxAnswer     = 100_000 // tokens
	tokenBytes    = 4       // of one token of a token array
)

// body is a request for a completion, of either API.
type body struct {
	Model     string          `json:"model"`
	Prompt    json.RawMessage `json:"prompt"`
	Messages  []message       `json:"messages"`
	MaxTokens *int64          `json:"max_tokens"`
	Stream    bool            `json:"stream"`
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// parsed is a checked request for a completion.
type parsed struct {
	model, version, adapter string
	prompt                  []byte
	answer                  int64
	stream                  bool
	chat                    bool
}

// parse reads a request's JSON text.
func parse(text []byte, chat bool) (*parsed, *Failure) {
	var b body
	if err := json.Unmarshal(text, &b); err != nil {
		return nil, invalid("bad_json", err.Error())
	}
	p := &parsed{answer: defaultAnswer, stream: b.Stream, chat: chat}
	if f := p.name(b.Model); f != nil {
		return nil, f
	}
	if b.MaxTokens != nil {
		p.answer = *b.MaxTokens
	}
	if p.answer < 1 || p.answer > maxAnswer {
		return nil, invalid("bad_max_tokens", fmt.Sprintf("max_tokens must be from 1 to %d", maxAnswer))
	}
	if chat {
		return p, p.chatPrompt(b.Messages)
	}
	return p, p.plainPrompt(b.Prompt)
}

// name splits MODEL[@VERSION][:ADAPTER].
func (p *parsed) name(text string) *Failure {
	text, p.adapter, _ = strings.Cut(text, ":")
	p.model, p.version, _ = strings.Cut(text, "@")
	if p.model == "" {
		return invalid("no_model", "model must be MODEL, MODEL@VERSION or MODEL@VERSION:ADAPTER")
	}
	return nil
}

func (p *parsed) chatPrompt(messages []message) *Failure {
	if len(messages) == 0 {
		return invalid("no_messages", "messages must hold at least one message")
	}
	var text strings.Builder
	for _, m := range messages {
		text.WriteString(m.Role)
		text.WriteString(": ")
		text.WriteString(m.Content)
		text.WriteByte('\n')
	}
	p.prompt = []byte(text.String())
	return nil
}

func (p *parsed) plainPrompt(raw json.RawMessage) *Failure {
	var text string
	if json.Unmarshal(raw, &text) == nil {
		if text == "" {
			return invalid("no_prompt", "prompt must not be empty")
		}
		p.prompt = []byte(text)
		return nil
	}
	var tokens []uint32
	if err := json.Unmarshal(raw, &tokens); err != nil || len(tokens) == 0 {
		return invalid("bad_prompt", "prompt must be a text or an array of token numbers")
	}
	p.prompt = make([]byte, 0, len(tokens)*tokenBytes)
	for _, t := range tokens {
		p.prompt = binary.LittleEndian.AppendUint32(p.prompt, t)
	}
	return nil
}
