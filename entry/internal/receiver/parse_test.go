package receiver

import (
	"encoding/json"
	"testing"
	"unicode/utf8"

	"github.com/matryer/is"
)

// FuzzParse parses arbitrary bodies for both APIs. An accepted request must have
// a prompt, a model and an answer length within limits, and a string prompt must
// equal the one that encoding/json decodes.
func FuzzParse(f *testing.F) {
	for _, seed := range []string{
		`{"model":"base","prompt":"wind at 500 hPa?","max_tokens":4,"stream":true}`,
		`{"model":"base@1:koro","prompt":[1,2,4294967295]}`,
		`{"model":"base","prompt":"\u00e9\ud83d\ude00\ud83d\n\"\\\/"}`,
		`{"model":"base","messages":[{"role":"user","content":"a"},{"content":null}]}`,
		`{"model":"base","messages":[{"role":"user","content":[{"type":"text","text":"a\u0062"},{"type":"text","text":"c"}]}]}`,
		`{"model":"base","prompt":"a","n":1,"stop":[],"response_format":{"type":"text"}}`,
		`{"model":"base","max_tokens":1e400,"prompt":[[]]}`,
		`{"prompt":"a","prompt":[1],"model":"b"}`,
	} {
		f.Add([]byte(seed), false)
		f.Add([]byte(seed), true)
	}
	f.Fuzz(func(t *testing.T, data []byte, chat bool) {
		var want struct {
			Prompt any `json:"prompt"`
		}
		known := json.Unmarshal(data, &want) == nil && utf8.Valid(data)
		reserved := &reservation{budget: &budget{limit: 1 << 20}}
		p, bad := parse(data, chat, reserved)
		if bad != nil {
			if bad.Status < 400 || bad.Code == "" || bad.Outcome != NotRun {
				t.Fatalf("bad failure %+v", bad)
			}
			return
		}
		if !known || p.model == "" || len(p.prompt) == 0 || p.maxTokens < 1 || p.maxTokens > maxMaxTokens {
			t.Fatalf("accepted %q", data)
		}
		if text, ok := want.Prompt.(string); ok && !chat && text != string(p.prompt) {
			t.Fatalf("prompt %q, want %q", p.prompt, text)
		}
	})
}

func TestUnquoteIsJSON(t *testing.T) {
	cases := map[string]string{
		"plain":             `"wind"`,
		"escapes":           `"\"\\\/\b\f\n\r\t"`,
		"accents":           `"\u00e9\u00E9é"`,
		"pair":              `"\ud83d\ude00"`,
		"half of a pair":    `"\ud83d a"`,
		"half, then a pair": `"\ud83d\ud83d\ude00"`,
		"halves swapped":    `"\ude00\ud83d"`,
		"half at the end":   `"a\ud83d"`,
		"zero":              `"\u0000"`,
	}
	for name, quoted := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var want string
			is.NoErr(json.Unmarshal([]byte(quoted), &want))
			is.Equal(string(unquote([]byte(quoted[1:len(quoted)-1]))), want)
		})
	}
}

func TestContentInParts(t *testing.T) {
	cases := map[string]struct{ content, want, code string }{
		"text":          {`"wind"`, "user: wind\n", ""},
		"one part":      {`[{"type":"text","text":"wind"}]`, "user: wind\n", ""},
		"parts":         {`[{"type":"text","text":"wi\u006e"},{"text":"d","type":"text"},{"type":"text","text":" at 500 hPa, and more"}]`, "user: wind at 500 hPa, and more\n", ""},
		"text last":     {`[{"type":"text","text":""},{"type":"text","text":"wind"}]`, "user: wind\n", ""},
		"no parts":      {`[]`, "user: \n", ""},
		"image":         {`[{"type":"image_url","image_url":{"url":"a"}}]`, "", "bad_type"},
		"list of texts": {`["wind"]`, "", "bad_type"},
		"number":        {`5`, "", "bad_type"},
	}
	for name, k := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			data := `{"model":"base","messages":[{"role":"user","content":` + k.content + `}]}`
			p, f := parse([]byte(data), true, &reservation{budget: &budget{limit: 1 << 20}})
			if k.code != "" {
				is.Equal(f.Code, k.code)
				return
			}
			is.Equal(f, nil)
			is.Equal(string(p.prompt), k.want)
		})
	}
}

func BenchmarkParse(b *testing.B) {
	text := make([]byte, 4_000_000)
	for i := range text {
		text[i] = 'a' + byte(i%26)
	}
	body := append(append([]byte(`{"model":"base","prompt":"`), text...), `"}`...)
	b.SetBytes(int64(len(body)))
	b.ReportAllocs()
	for b.Loop() {
		parse(body, false, &reservation{budget: &budget{limit: 1 << 30}})
	}
}
