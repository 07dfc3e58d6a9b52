package launcher

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"bamboohill/core/texter"
)

// PromptRequest is one prompt and how it is asked.
type PromptRequest struct {
	Entry   int
	Prompt  string
	Tokens  int64 // of the answer
	Whole   bool  // ask for one piece instead of a stream
	Timeout string
	Key     string // caller's key, CallerKey if empty
	Model   string // base if empty
}

// Faults of an answer.
var (
	ErrWrongText = errors.New("launcher: wrong text")
	ErrTruncated = errors.New("launcher: stream ended without [DONE]")
	ErrLate      = errors.New("launcher: the last word came after the timeout")
)

// StreamError is an error event in a stream.
type StreamError struct {
	Code    string `json:"code"`
	Outcome string `json:"outcome"`
}

// Error implements error.
func (e *StreamError) Error() string { return "stream failed: " + e.Code + " outcome " + e.Outcome }

type event struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
	Error *StreamError `json:"error"`
}

// Ask asks a question and checks the answer's text against the prompt. The
// error is nil only for the whole right answer; a refusal is a *CallError, an
// error event a *StreamError, and a text that is wrong or stops unseen is
// ErrWrongText or ErrTruncated. A last word that comes later than the question's own
// timeout and lateness is ErrLate.
func (s *Stack) SendPrompt(ctx context.Context, p PromptRequest) error {
	begin := time.Now()
	err := s.ask(ctx, p)
	limit, bad := strconv.ParseFloat(p.Timeout, 64)
	if bad == nil && time.Since(begin) > time.Duration(limit*float64(time.Second))+deadlineTolerance {
		return ErrLate
	}
	return err
}

// lateness is how late a last word may come on a busy machine.
const deadlineTolerance = 2 * time.Second

func (s *Stack) ask(ctx context.Context, p PromptRequest) error {
	if p.Key == "" {
		p.Key = CallerKey
	}
	if p.Model == "" {
		p.Model = "base"
	}
	body, err := json.Marshal(map[string]any{"model": p.Model, "prompt": p.Prompt, "max_tokens": p.Tokens, "stream": !p.Whole})
	if err != nil {
		return err
	}
	if p.Whole {
		return s.askWhole(p, string(body))
	}
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, s.baseURL(p.Entry)+"/v1/completions", strings.NewReader(string(body)))
	if err != nil {
		return err
	}
	q.Header.Set("Authorization", "Bearer "+p.Key)
	if p.Timeout != "" {
		q.Header.Set("Bamboohill-Timeout", p.Timeout)
	}
	r, err := s.client.Do(q)
	if err != nil {
		return err
	}
	defer r.Body.Close()
	if r.StatusCode != http.StatusOK {
		return &CallError{Status: r.StatusCode, Outcome: r.Header.Get("Bamboohill-Outcome")}
	}
	return check(bufio.NewScanner(r.Body), p)
}

func check(lines *bufio.Scanner, p PromptRequest) error {
	lines.Buffer(nil, 1<<20)
	var text strings.Builder
	for lines.Scan() {
		data, found := strings.CutPrefix(lines.Text(), "data: ")
		if !found {
			continue
		}
		if data == "[DONE]" {
			return compare(text.String(), p)
		}
		var e event
		if err := json.Unmarshal([]byte(data), &e); err != nil {
			return err
		}
		if e.Error != nil {
			return e.Error
		}
		for _, c := range e.Choices {
			text.WriteString(c.Text)
		}
	}
	return ErrTruncated
}

func (s *Stack) askWhole(p PromptRequest, body string) error {
	header := map[string]string{}
	if p.Timeout != "" {
		header["Bamboohill-Timeout"] = p.Timeout
	}
	text, err := s.call(http.MethodPost, s.baseURL(p.Entry)+"/v1/completions", p.Key, body, header)
	if err != nil {
		return err
	}
	var e event
	if err := json.Unmarshal([]byte(text), &e); err != nil {
		return err
	}
	if len(e.Choices) != 1 {
		return fmt.Errorf("launcher: %d choices", len(e.Choices))
	}
	return compare(e.Choices[0].Text, p)
}

func compare(text string, p PromptRequest) error {
	if text != texter.Text(texter.Seed([]byte(p.Prompt)), p.Tokens) {
		return ErrWrongText
	}
	return nil
}
