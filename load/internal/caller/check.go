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

// check holds the answer that is due.
type check struct {
	seed   uint64
	answer int64 // tokens
}

// judge compares the text of an answer with the one that is due. An answer
// that did not end properly is at best unknown.
func (c check) judge(text string, ended bool) Outcome {
	due := synthesizer.Text(c.seed, c.answer)
	switch {
	case !strings.HasPrefix(due, text):
		return Wrong
	case !ended:
		return Unknown
	case len(text) < len(due):
		return Truncated
	}
	return Answered
}

// piece is a whole answer or one event of a stream, of either API.
type piece struct {
	Choices []struct {
		Text    string `json:"text"`
		Message struct {
			Content string `json:"content"`
		} `json:"message"`
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	failure
}

func (p piece) text() string {
	var text string
	for _, c := range p.Choices {
		text += c.Text + c.Message.Content + c.Delta.Content
	}
	return text
}

func (r *Result) whole(body io.Reader, c check, start time.Time) {
	data, err := io.ReadAll(body)
	r.First = time.Since(start)
	if err != nil {
		r.Outcome, r.Code = Unknown, broken(err)
		return
	}
	var p piece
	if json.Unmarshal(data, &p) != nil {
		r.Outcome = Truncated
		return
	}
	r.Outcome = c.judge(p.text(), true)
}

// closing is the last event of a whole stream.
const closing = "[DONE]"

// maxEvent is the longest line of a stream that is read, in bytes.
const maxEvent = 4 << 20

func (r *Result) streamed(body io.Reader, c check, start time.Time) {
	var text strings.Builder
	last := start
	ended := false
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxEvent)
	for lines.Scan() && !ended {
		data, found := bytes.CutPrefix(lines.Bytes(), []byte("data: "))
		if !found {
			continue
		}
		if string(data) == closing {
			ended = true
			continue
		}
		var p piece
		if json.Unmarshal(data, &p) != nil {
			break
		}
		if p.Error != nil {
			r.Code = p.Error.Code
			break
		}
		if t := p.text(); t != "" {
			r.tick(start, &last, text.Len() == 0)
			text.WriteString(t)
		}
	}
	if !ended && r.Code == "" {
		r.Code = "stream_broke_off"
	}
	r.Outcome = c.judge(text.String(), ended)
}

// tick records the time of one event with text.
func (r *Result) tick(start time.Time, last *time.Time, first bool) {
	now := time.Now()
	if first {
		r.First = now.Sub(start)
	} else {
		r.Gaps = append(r.Gaps, now.Sub(*last))
	}
	*last = now
}
