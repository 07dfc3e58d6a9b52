package stager

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

	"bamboohill/core/synthesizer"
)

// Question is one prompt and how it is asked.
type Question struct {
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
	ErrWrong = errors.New("stager: wrong text")
	ErrShort = errors.New("stager: stream ended without [DONE]")
	ErrLate  = errors.New("stager: the last word came after the timeout")
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
// ErrWrong or ErrShort. A last word that comes later than the question's own
// timeout and lateness is ErrLate.
func (s *Stage) Ask(ctx context.Context, u Question) error {
	begin := time.Now()
	err := s.ask(ctx, u)
	limit, bad := strconv.ParseFloat(u.Timeout, 64)
	if bad == nil && time.Since(begin) > time.Duration(limit*float64(time.Second))+lateness {
		return ErrLate
	}
	return err
}

// lateness is how late a last word may come on a busy machine.
const lateness = 2 * time.Second

func (s *Stage) ask(ctx context.Context, u Question) error {
	if u.Key == "" {
		u.Key = CallerKey
	}
	if u.Model == "" {
		u.Model = "base"
	}
	body, err := json.Marshal(map[string]any{"model": u.Model, "prompt": u.Prompt, "max_tokens": u.Tokens, "stream": !u.Whole})
	if err != nil {
		return err
	}
	if u.Whole {
		return s.askWhole(u, string(body))
	}
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, s.front(u.Entry)+"/v1/completions", strings.NewReader(string(body)))
	if err != nil {
		return err
	}
	q.Header.Set("Authorization", "Bearer "+u.Key)
	if u.Timeout != "" {
		q.Header.Set("Bamboohill-Timeout", u.Timeout)
	}
	r, err := s.client.Do(q)
	if err != nil {
		return err
	}
	defer r.Body.Close()
	if r.StatusCode != http.StatusOK {
		return &CallError{Status: r.StatusCode, Outcome: r.Header.Get("Bamboohill-Outcome")}
	}
	return check(bufio.NewScanner(r.Body), u)
}

func check(lines *bufio.Scanner, u Question) error {
	lines.Buffer(nil, 1<<20)
	var text strings.Builder
	for lines.Scan() {
		data, found := strings.CutPrefix(lines.Text(), "data: ")
		if !found {
			continue
		}
		if data == "[DONE]" {
			return compare(text.String(), u)
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
	return ErrShort
}

func (s *Stage) askWhole(u Question, body string) error {
	header := map[string]string{}
	if u.Timeout != "" {
		header["Bamboohill-Timeout"] = u.Timeout
	}
	text, err := s.call(http.MethodPost, s.front(u.Entry)+"/v1/completions", u.Key, body, header)
	if err != nil {
		return err
	}
	var e event
	if err := json.Unmarshal([]byte(text), &e); err != nil {
		return err
	}
	if len(e.Choices) != 1 {
		return fmt.Errorf("stager: %d choices", len(e.Choices))
	}
	return compare(e.Choices[0].Text, u)
}

func compare(text string, u Question) error {
	if text != synthesizer.Text(synthesizer.Seed([]byte(u.Prompt)), u.Tokens) {
		return ErrWrong
	}
	return nil
}
