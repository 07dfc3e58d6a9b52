package caller

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"strings"
	"time"

	"bamboohill/core/synthesizer"
)

// expectation identifies the expected answer to a prompt.
type expectation struct {
	seed   uint64
	answer int64 // tokens
}

// compare returns the outcome of an answer with the given text. An answer that
// did not end normally is Unknown if its text is the start of the expected one.
func (e expectation) compare(text string, ended bool) Outcome {
	want := synthesizer.Text(e.seed, e.answer)
	switch {
	case !strings.HasPrefix(want, text):
		return Wrong
	case !ended:
		return Unknown
	case len(text) < len(want):
		return Truncated
	}
	return Answered
}

// completion is a complete answer or one event of a stream, of either API.
type completion struct {
	Choices []struct {
		Text    string `json:"text"`
		Message struct {
			Content string `json:"content"`
		} `json:"message"`
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	errorBody
}

func (p completion) text() string {
	var text string
	for _, c := range p.Choices {
		text += c.Text + c.Message.Content + c.Delta.Content
	}
	return text
}

func (r *Result) readWhole(body io.Reader, e expectation, start time.Time) {
	data, err := io.ReadAll(body)
	r.FirstToken = time.Since(start)
	if err != nil {
		r.Outcome, r.Code = Unknown, failureCode(err)
		return
	}
	var p completion
	if json.Unmarshal(data, &p) != nil {
		r.Outcome = Truncated
		return
	}
	r.Outcome = e.compare(p.text(), true)
}

// doneMarker is the data of the last event of a complete stream.
const doneMarker = "[DONE]"

// maxLineBytes limits the length of a line of a stream, in bytes.
const maxLineBytes = 4 << 20

func (r *Result) readStream(body io.Reader, e expectation, start time.Time) {
	var text strings.Builder
	last := start
	ended := false
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() && !ended {
		data, found := bytes.CutPrefix(lines.Bytes(), []byte("data: "))
		if !found {
			continue
		}
		if string(data) == doneMarker {
			ended = true
			continue
		}
		var p completion
		if json.Unmarshal(data, &p) != nil {
			break
		}
		if p.Error != nil {
			r.Code = p.Error.Code
			break
		}
		if t := p.text(); t != "" {
			r.recordEvent(start, &last, text.Len() == 0)
			text.WriteString(t)
		}
	}
	if !ended && r.Code == "" {
		r.Code = "stream_broke_off"
	}
	r.Outcome = e.compare(text.String(), ended)
}

// recordEvent records the time of an event with text.
func (r *Result) recordEvent(start time.Time, last *time.Time, first bool) {
	now := time.Now()
	if first {
		r.FirstToken = now.Sub(start)
	} else {
		r.Gaps = append(r.Gaps, now.Sub(*last))
	}
	*last = now
}
