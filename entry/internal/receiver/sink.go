package receiver

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"bamboohill/entry/internal/dispatcher"
	"bamboohill/wire"
)

// usage counts the tokens of one request.
type usage struct {
	Prompt     int64 `json:"prompt_tokens"`
	Completion int64 `json:"completion_tokens"`
	Total      int64 `json:"total_tokens"`
}

type delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type choice struct {
	Index   int     `json:"index"`
	Text    *string `json:"text,omitempty"`
	Message *delta  `json:"message,omitempty"`
	Delta   *delta  `json:"delta,omitempty"`
	Finish  *string `json:"finish_reason"`
}

type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

// modelSink writes the answer to a prompt, as events or as one JSON object.
type modelSink struct {
	w       http.ResponseWriter
	p       *parsed
	base    completion
	text    strings.Builder
	begin   beginning // of a streamed answer
	started bool
}

func newModelSink(w http.ResponseWriter, p *parsed, base completion) *modelSink {
	s := &modelSink{w: w, p: p, base: base}
	s.base.Object = "text_completion"
	if p.chat {
		s.base.Object = "chat.completion"
	}
	return s
}

// Tokens implements dispatcher.Sink.
func (s *modelSink) Tokens(texts []string) error {
	if !s.p.stream {
		for _, t := range texts {
			s.text.WriteString(t)
		}
		return nil
	}
	if !s.started {
		if err := s.begin.check(); err != nil {
			return err
		}
	}
	return s.event(s.choice(strings.Join(texts, ""), nil), nil)
}

// Head implements dispatcher.Sink.
func (s *modelSink) Head(*wire.Head) error { return nil }

// Data implements dispatcher.Sink.
func (s *modelSink) Data([]byte) error { return nil }

func (s *modelSink) choice(text string, finish *string) choice {
	c := choice{Finish: finish}
	switch {
	case s.p.chat && s.p.stream:
		c.Delta = &delta{Content: text}
	case s.p.chat:
		c.Message = &delta{Role: "assistant", Content: text}
	default:
		c.Text = &text
	}
	return c
}

func (s *modelSink) event(c choice, u *usage) error {
	chunk := s.base
	if s.p.chat {
		chunk.Object = "chat.completion.chunk"
	}
	chunk.Choices = []choice{c}
	chunk.Usage = u
	data, err := json.Marshal(chunk)
	if err != nil {
		return err
	}
	return s.send(string(data))
}

func (s *modelSink) send(data string) error {
	if !s.started {
		s.started = true
		s.w.Header().Set("Content-Type", "text/event-stream")
		s.w.Header().Set("Cache-Control", "no-store")
		s.w.WriteHeader(http.StatusOK)
	}
	if _, err := io.WriteString(s.w, "data: "+data+"\n\n"); err != nil {
		return err
	}
	return http.NewResponseController(s.w).Flush()
}

// finish completes a successful answer.
func (s *modelSink) finish(r dispatcher.Result) {
	finish := r.End.GetFinish()
	u := &usage{Prompt: r.End.GetPrompt(), Completion: r.End.GetLength(), Total: r.End.GetPrompt() + r.End.GetLength()}
	if s.p.stream {
		s.event(s.choice("", &finish), u)
		if s.p.usage {
			s.usage(u)
		}
		s.send("[DONE]")
		return
	}
	s.base.Choices = []choice{s.choice(s.text.String(), &finish)}
	s.base.Usage = u
	s.w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(s.w).Encode(s.base)
}

// usage sends the event that stream_options.include_usage asks for.
func (s *modelSink) usage(u *usage) {
	last := s.base
	last.Choices = []choice{}
	last.Usage = u
	if data, err := json.Marshal(last); err == nil {
		s.send(string(data))
	}
}

// fail reports a failure to the caller: by a status if nothing was sent yet,
// otherwise by an error event and the absence of the final [DONE].
func (s *modelSink) fail(f *Failure) {
	if !s.started {
		f.write(s.w)
		return
	}
	data, err := json.Marshal(envelope{Error: f})
	if err == nil {
		s.send(string(data))
	}
}

// serviceSink writes the answer of a plain service.
type serviceSink struct {
	w       http.ResponseWriter
	begin   beginning
	flushes func() bool // whether each part is sent at once; nil if never
	started bool
}

// Tokens implements dispatcher.Sink.
func (s *serviceSink) Tokens([]string) error { return nil }

// Head implements dispatcher.Sink.
func (s *serviceSink) Head(head *wire.Head) error {
	if err := s.begin.check(); err != nil {
		return err
	}
	s.started = true
	if head.GetType() != "" {
		s.w.Header().Set("Content-Type", head.GetType())
	}
	if head.GetReplayed() {
		s.w.Header().Set("Idempotent-Replayed", "true")
	}
	s.w.WriteHeader(int(head.GetStatus()))
	return nil
}

// Data implements dispatcher.Sink.
func (s *serviceSink) Data(data []byte) error {
	if _, err := s.w.Write(data); err != nil || s.flushes == nil || !s.flushes() {
		return err
	}
	return http.NewResponseController(s.w).Flush()
}

// fail reports a failure to the caller: by a status if nothing was sent yet,
// otherwise by aborting the connection.
func (s *serviceSink) fail(f *Failure) {
	if !s.started {
		f.write(s.w)
		return
	}
	panic(http.ErrAbortHandler)
}
