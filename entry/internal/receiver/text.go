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

// text is a JSON text decoded into the very memory that holds its JSON form,
// which is never shorter: a prompt of a million tokens is held once.
//
// It relies on json.Unmarshal handing out parts of its argument; with a
// decoder that hands out copies it stays right and holds more.
type text []byte

// errText is returned for a JSON value that is no text.
var errText = errors.New("want a text")

// UnmarshalJSON implements json.Unmarshaler.
func (t *text) UnmarshalJSON(data []byte) error {
	if bytes.Equal(data, []byte("null")) {
		return nil
	}
	if data[0] == '[' {
		return t.join(data)
	}
	if len(data) < 2 || data[0] != '"' {
		return errText
	}
	*t = unquote(data[1 : len(data)-1])
	return nil
}

// part is one piece of a message's content.
type part struct {
	Type string `json:"type"`
	Text text   `json:"text"`
}

// join decodes a list of text parts and moves them together, into the memory
// of the first: a part never lies before the end of those joined so far.
func (t *text) join(data []byte) error {
	var parts []part
	if json.Unmarshal(data, &parts) != nil {
		return errText
	}
	for i, p := range parts {
		if p.Type != "text" {
			return errText
		}
		if i == 0 {
			*t = p.Text
			continue
		}
		*t = append(*t, p.Text...)
	}
	return nil
}

// unquote decodes the inside of a valid JSON text in place. Halves of
// surrogate pairs become U+FFFD, as in encoding/json.
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

// unescape appends the character of the escape that data starts with and
// returns the escape's length. Data was checked to be valid JSON.
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

// prompt is a text or an array of token numbers, not yet decoded; it shares
// the memory of the body.
type prompt []byte

// UnmarshalJSON implements json.Unmarshaler.
func (p *prompt) UnmarshalJSON(data []byte) error {
	*p = data
	return nil
}

// tokens decodes a JSON array of token numbers into tokenBytes each, for which
// it takes memory.
func (p prompt) tokens(held *hold) ([]byte, *Failure) {
	bad := invalid("bad_prompt", "prompt must be a text or an array of token numbers from 0 to 4294967295")
	if len(p) < 2 || p[0] != '[' {
		return nil, bad
	}
	size := int64(bytes.Count(p, []byte{','})+1) * tokenBytes
	if !held.take(size) {
		return nil, busy("entry_memory", "this entry holds as many bodies as it may", retryMemory)
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

// number reads a whole number of 32 bits.
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

// decode explains what is wrong with a body's JSON.
func decode(data []byte, target any) *Failure {
	if !utf8.Valid(data) {
		return invalid("bad_json", "the body is not UTF-8")
	}
	err := json.Unmarshal(data, target)
	var kind *json.UnmarshalTypeError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &kind):
		return invalid("bad_type", kind.Field+" must not be a JSON "+kind.Value)
	case errors.Is(err, errText):
		return invalid("bad_type", "message content must be a text or a list of parts of type text")
	}
	return invalid("bad_json", err.Error())
}
