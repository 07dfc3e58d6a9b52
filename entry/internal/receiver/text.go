package receiver

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"errors"
	"math"
	"unicode/utf16"
	"unicode/utf8"
)

// text is a JSON string decoded in place, in the memory of its JSON form, which
// is never shorter. A prompt of a million tokens is thus in memory only once.
//
// This relies on json.Unmarshal passing slices of its argument to
// UnmarshalJSON. With a decoder that passes copies the result is the same but
// takes more memory.
type text []byte

// errNotString is returned for a JSON value that is not a string.
var errNotString = errors.New("JSON value is not a string")

// UnmarshalJSON implements json.Unmarshaler.
func (t *text) UnmarshalJSON(data []byte) error {
	if bytes.Equal(data, []byte("null")) {
		return nil
	}
	if data[0] == '[' {
		return t.join(data)
	}
	if len(data) < 2 || data[0] != '"' {
		return errNotString
	}
	*t = unquote(data[1 : len(data)-1])
	return nil
}

// part is one part of the content of a message.
type part struct {
	Type string `json:"type"`
	Text text   `json:"text"`
}

// join decodes a list of text parts and concatenates them in the memory of the
// first. This overwrites no later part, as each part begins after the end of
// those joined before it.
func (t *text) join(data []byte) error {
	var parts []part
	if json.Unmarshal(data, &parts) != nil {
		return errNotString
	}
	for i, p := range parts {
		if p.Type != "text" {
			return errNotString
		}
		if i == 0 {
			*t = p.Text
			continue
		}
		*t = append(*t, p.Text...)
	}
	return nil
}

// unquote decodes the contents of a valid JSON string in place. Unpaired
// surrogates become U+FFFD, as in encoding/json.
func unquote(data []byte) []byte {
	if bytes.IndexByte(data, '\\') < 0 {
		return data
	}
	out := data[:0]
	for i := 0; i < len(data); {
		if data[i] != '\\' {
			out = append(out, data[i])
			i++
			continue
		}
		var n int
		out, n = unescape(out, data[i:])
		i += n
	}
	return out
}

var escapes = map[byte]byte{'"': '"', '\\': '\\', '/': '/', 'b': '\b', 'f': '\f', 'n': '\n', 'r': '\r', 't': '\t'}

// unescape appends the character of the escape sequence at the start of data
// and returns the length of the sequence. Data must be valid JSON.
func unescape(out, data []byte) ([]byte, int) {
	const short, unicode = 2, 6
	if data[1] != 'u' {
		return append(out, escapes[data[1]]), short
	}
	c := hex4(data[2:unicode])
	if utf16.IsSurrogate(c) {
		if rest := data[unicode:]; len(rest) >= unicode && rest[0] == '\\' && rest[1] == 'u' {
			if pair := utf16.DecodeRune(c, hex4(rest[2:unicode])); pair != utf8.RuneError {
				return utf8.AppendRune(out, pair), 2 * unicode
			}
		}
		c = utf8.RuneError
	}
	return utf8.AppendRune(out, c), unicode
}

func hex4(digits []byte) rune {
	var c rune
	for _, d := range digits {
		c <<= 4
		switch {
		case d >= 'a':
			c |= rune(d - 'a' + 10)
		case d >= 'A':
			c |= rune(d - 'A' + 10)
		default:
			c |= rune(d - '0')
		}
	}
	return c
}

// prompt is the undecoded JSON of a string or an array of token numbers. It
// shares the memory of the body.
type prompt []byte

// UnmarshalJSON implements json.Unmarshaler.
func (p *prompt) UnmarshalJSON(data []byte) error {
	*p = data
	return nil
}

// tokens decodes a JSON array of token numbers to tokenBytes bytes each and
// reserves memory for them.
func (p prompt) tokens(reserved *reservation) ([]byte, *Failure) {
	bad := invalidRequest("bad_prompt", "prompt must be a text or an array of token numbers from 0 to 4294967295")
	if len(p) < 2 || p[0] != '[' {
		return nil, bad
	}
	size := int64(bytes.Count(p, []byte{','})+1) * tokenBytes
	if !reserved.acquire(size) {
		return nil, unavailable("entry_memory", "this entry holds as many bodies as it may", memoryRetryAfter)
	}
	out := make([]byte, 0, size)
	for part := range bytes.SplitSeq(p[1:len(p)-1], []byte{','}) {
		n, ok := number(bytes.TrimSpace(part))
		if !ok {
			return nil, bad
		}
		out = binary.LittleEndian.AppendUint32(out, n)
	}
	return out, nil
}

// number parses an unsigned 32-bit decimal number.
func number(digits []byte) (uint32, bool) {
	const base = 10
	var n uint64
	for _, d := range digits {
		if d < '0' || d > '9' {
			return 0, false
		}
		if n = n*base + uint64(d-'0'); n > math.MaxUint32 {
			return 0, false
		}
	}
	return uint32(n), len(digits) > 0
}

// decode decodes the JSON of a body and returns a failure that describes what is
// wrong with it.
func decode(data []byte, target any) *Failure {
	if !utf8.Valid(data) {
		return invalidRequest("bad_json", "the body is not UTF-8")
	}
	err := json.Unmarshal(data, target)
	var kind *json.UnmarshalTypeError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &kind):
		return invalidRequest("bad_type", kind.Field+" must not be a JSON "+kind.Value)
	case errors.Is(err, errNotString):
		return invalidRequest("bad_type", "message content must be a text or a list of parts of type text")
	}
	return invalidRequest("bad_json", err.Error())
}
