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

	"bamboohill/core/synthesizer"
)

// PromptRequest is one prompt and the parameters of its request.
type PromptRequest struct {
	Entry     int // entry number, or Balancer
	Prompt    string
	Tokens    int64  // of the output
	NonStream bool   // ask for one answer instead of a stream
	Timeout   string // seconds, no timeout header if empty
	Key       string // API key, CallerKey if empty
	Model     string // base if empty
}

// Errors of an answer that started with status 200, or that ended late.
var (
	ErrWrongText = errors.New("launcher: the text differs from the expected output")
	ErrTruncated = errors.New("launcher: stream ended without [DONE]")
	ErrLate      = errors.New("launcher: the answer ended after the timeout")
)

// StreamError is an error event in a stream.
type StreamError struct {
	Code    string `json:"code"`
	Outcome string `json:"outcome"`
}

// Error implements error.
func (e *StreamError) Error() string { return "stream failed: " + e.Code + " outcome " + e.Outcome }

type responseBody struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
	Error *StreamError `json:"error"`
}

// SendPrompt sends a prompt and compares the text of the answer with the output
// expected for the prompt. The error is nil only for the complete expected text.
// A refused request returns a *CallError, an error event in the stream a
// *StreamError, a different text ErrWrongText, and a stream without [DONE]
// ErrTruncated. An answer that ends later than the timeout of the request plus
// deadlineTolerance returns ErrLate.
func (s *Stack) SendPrompt(ctx context.Context, p PromptRequest) error {
	start := time.Now()
	err := s.sendPrompt(ctx, p)
	limit, parseErr := strconv.ParseFloat(p.Timeout, 64)
	if parseErr == nil && time.Since(start) > time.Duration(limit*float64(time.Second))+deadlineTolerance {
		return ErrLate
	}
	return err
}

// deadlineTolerance is how long after its timeout an answer may end on a busy
// machine.
const deadlineTolerance = 2 * time.Second

func (s *Stack) sendPrompt(ctx context.Context, p PromptRequest) error {
	if p.Key == "" {
		p.Key = CallerKey
	}
	if p.Model == "" {
		p.Model = "base"
	}
	body, err := json.Marshal(map[string]any{"model": p.Model, "prompt": p.Prompt, "max_tokens": p.Tokens, "stream": !p.NonStream})
	if err != nil {
		return err
	}
	if p.NonStream {
		return s.sendNonStream(p, string(body))
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, s.baseURL(p.Entry)+"/v1/completions", strings.NewReader(string(body)))
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer "+p.Key)
	if p.Timeout != "" {
		request.Header.Set("Bamboohill-Timeout", p.Timeout)
	}
	response, err := s.client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return &CallError{Status: response.StatusCode, Outcome: response.Header.Get("Bamboohill-Outcome")}
	}
	return checkStream(bufio.NewScanner(response.Body), p)
}

func checkStream(lines *bufio.Scanner, p PromptRequest) error {
	lines.Buffer(nil, 1<<20)
	var text strings.Builder
	for lines.Scan() {
		data, found := strings.CutPrefix(lines.Text(), "data: ")
		if !found {
			continue
		}
		if data == "[DONE]" {
			return checkText(text.String(), p)
		}
		var b responseBody
		if err := json.Unmarshal([]byte(data), &b); err != nil {
			return err
		}
		if b.Error != nil {
			return b.Error
		}
		for _, c := range b.Choices {
			text.WriteString(c.Text)
		}
	}
	return ErrTruncated
}

func (s *Stack) sendNonStream(p PromptRequest, body string) error {
	header := map[string]string{}
	if p.Timeout != "" {
		header["Bamboohill-Timeout"] = p.Timeout
	}
	text, err := s.call(http.MethodPost, s.baseURL(p.Entry)+"/v1/completions", p.Key, body, header)
	if err != nil {
		return err
	}
	var b responseBody
	if err := json.Unmarshal([]byte(text), &b); err != nil {
		return err
	}
	if len(b.Choices) != 1 {
		return fmt.Errorf("launcher: response has %d choices, want 1", len(b.Choices))
	}
	return checkText(b.Choices[0].Text, p)
}

func checkText(text string, p PromptRequest) error {
	if text != synthesizer.Text(synthesizer.Seed([]byte(p.Prompt)), p.Tokens) {
		return ErrWrongText
	}
	return nil
}
