package receiver

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
)

// Limits and defaults of requests.
const (
	defaultMaxTokens = 128     // tokens, if a request has no max_tokens
	maxMaxTokens     = 100_000 // tokens, the largest max_tokens of a request
	tokenBytes       = 4       // bytes per token of a token array
	maxTemperature   = 2
)

// body is the JSON object of a request for a completion or a chat completion.
// Other fields of the object are ignored.
type body struct {
	Model         string          `json:"model"`
	Prompt        prompt          `json:"prompt"`
	Messages      []message       `json:"messages"`
	MaxTokens     *int64          `json:"max_tokens"`
	MaxCompletion *int64          `json:"max_completion_tokens"`
	Stream        bool            `json:"stream"`
	Options       *options        `json:"stream_options"`
	Temperature   *float64        `json:"temperature"`
	TopP          *float64        `json:"top_p"`
	N             *int64          `json:"n"`
	BestOf        *int64          `json:"best_of"`
	Stop          json.RawMessage `json:"stop"`
	Echo          bool            `json:"echo"`
	Suffix        string          `json:"suffix"`
	Tools         json.RawMessage `json:"tools"`
	Logprobs      json.RawMessage `json:"logprobs"`
	Format        *format         `json:"response_format"`
}

type message struct {
	Role    string `json:"role"`
	Content text   `json:"content"`
}

type options struct {
	Usage bool `json:"include_usage"`
}

type format struct {
	Type string `json:"type"`
}

// parsed is a validated request for a completion.
type parsed struct {
	model, version, adapter string
	prompt                  []byte
	maxTokens               int64
	stream                  bool
	chat                    bool
	usage                   bool // send the token counts in an additional event
}

// parse decodes and validates the JSON of a request. It decodes in place: data
// must not be used afterwards, and the prompt may share its memory.
func parse(data []byte, chat bool, reserved *reservation) (*parsed, *Failure) {
	var b body
	if f := decode(data, &b); f != nil {
		return nil, f
	}
	p := &parsed{maxTokens: defaultMaxTokens, stream: b.Stream, chat: chat, usage: b.Options != nil && b.Options.Usage}
	if f := p.parseModel(b.Model); f != nil {
		return nil, f
	}
	if f := b.validate(); f != nil {
		return nil, f
	}
	if b.MaxCompletion != nil {
		b.MaxTokens = b.MaxCompletion
	}
	if b.MaxTokens != nil {
		p.maxTokens = *b.MaxTokens
	}
	if p.maxTokens < 1 || p.maxTokens > maxMaxTokens {
		return nil, invalidRequest("bad_max_tokens", fmt.Sprintf("max_tokens must be from 1 to %d", maxMaxTokens))
	}
	if chat {
		return p, p.chatPrompt(b.Messages, reserved)
	}
	return p, p.plainPrompt(b.Prompt, reserved)
}

// validate refuses options that would affect the answer and are not supported,
// and values that are out of range.
func (b *body) validate() *Failure {
	unsupported := map[string]bool{
		"n above 1":                b.N != nil && *b.N > 1,
		"best_of above 1":          b.BestOf != nil && *b.BestOf > 1,
		"stop":                     isSet(b.Stop),
		"echo":                     b.Echo,
		"suffix":                   b.Suffix != "",
		"tools":                    isSet(b.Tools),
		"logprobs":                 isSet(b.Logprobs),
		"response_format but text": b.Format != nil && b.Format.Type != "text",
	}
	for _, name := range slices.Sorted(keys(unsupported)) {
		if unsupported[name] {
			return invalidRequest("unsupported_field", name+" is not supported")
		}
	}
	switch {
	case b.N != nil && *b.N < 1:
		return invalidRequest("bad_n", "n must be 1")
	case b.Temperature != nil && (*b.Temperature < 0 || *b.Temperature > maxTemperature):
		return invalidRequest("bad_temperature", "temperature must be from 0 to 2")
	case b.TopP != nil && (*b.TopP < 0 || *b.TopP > 1):
		return invalidRequest("bad_top_p", "top_p must be from 0 to 1")
	case b.Options != nil && !b.Stream:
		return invalidRequest("bad_stream_options", "stream_options needs stream: true")
	}
	return nil
}

func keys[V any](m map[string]V) func(func(string) bool) {
	return func(yield func(string) bool) {
		for k := range m {
			if !yield(k) {
				return
			}
		}
	}
}

// isSet reports whether an optional field has a value other than an empty or
// disabling one.
func isSet(value json.RawMessage) bool {
	return !slices.Contains([]string{"", "null", "false", "[]", `""`, "0"}, string(value))
}

// parseModel splits MODEL[@VERSION][:ADAPTER].
func (p *parsed) parseModel(text string) *Failure {
	text, p.adapter, _ = strings.Cut(text, ":")
	p.model, p.version, _ = strings.Cut(text, "@")
	if p.model == "" {
		return invalidRequest("no_model", "model must be MODEL, MODEL@VERSION or MODEL@VERSION:ADAPTER")
	}
	return nil
}

// chatPrompt joins the messages to one prompt and reserves memory for it.
func (p *parsed) chatPrompt(messages []message, reserved *reservation) *Failure {
	if len(messages) == 0 {
		return invalidRequest("no_messages", "messages must hold at least one message")
	}
	const between, end = ": ", "\n"
	size := 0
	for _, m := range messages {
		size += len(m.Role) + len(between) + len(m.Content) + len(end)
	}
	if !reserved.acquire(int64(size)) {
		return unavailable("entry_memory", "this entry holds as many bodies as it may", memoryRetryAfter)
	}
	p.prompt = make([]byte, 0, size)
	for _, m := range messages {
		p.prompt = append(append(p.prompt, m.Role...), between...)
		p.prompt = append(append(p.prompt, m.Content...), end...)
	}
	return nil
}

func (p *parsed) plainPrompt(raw prompt, reserved *reservation) *Failure {
	if len(raw) < 2 || raw[0] != '"' {
		var f *Failure
		p.prompt, f = raw.tokens(reserved)
		return f
	}
	p.prompt = unquote(raw[1 : len(raw)-1])
	if len(p.prompt) == 0 {
		return invalidRequest("no_prompt", "prompt must not be empty")
	}
	return nil
}
