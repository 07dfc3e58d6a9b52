package connector_test

import (
	"errors"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"bamboohill/core/connector"
	"bamboohill/core/scripter"
	"bamboohill/core/verifier"

	"github.com/matryer/is"
)

// brokenHeads are answers with heads that are none of HTTP/1.1.
var brokenHeads = map[string]string{
	"status 000":                  "HTTP/1.1 000 x\r\nId: mine\r\nContent-Length: 3\r\n\r\nyes",
	"status 000 before a head":    "HTTP/1.1 000 x\r\n\r\n" + text("mine", "yes", ""),
	"status 099 before a head":    "HTTP/1.1 099 x\r\n\r\n" + text("mine", "yes", ""),
	"status 101 before a head":    "HTTP/1.1 101 x\r\n\r\n" + text("mine", "yes", ""),
	"status 000 after an interim": "HTTP/1.1 100 x\r\n\r\nHTTP/1.1 000 x\r\n\r\n" + text("mine", "yes", ""),
	"status 000 after another's":  text("ghost", "no", "") + "HTTP/1.1 000 x\r\n\r\n" + text("mine", "yes", ""),
	"status 600":                  "HTTP/1.1 600 x\r\nId: mine\r\nContent-Length: 3\r\n\r\nyes",
	"HTTP/2.0":                    "HTTP/2.0 200 OK\r\nId: mine\r\nContent-Length: 3\r\n\r\nyes",
	"control byte in the reason":  "HTTP/1.1 200 \x01\r\nId: mine\r\nContent-Length: 3\r\n\r\nyes",
	"blank beside the length":     "HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length : 3\r\n\r\nyes and more",
	"blank beside the encoding":   "HTTP/1.1 200 OK\r\nId: mine\r\nTransfer-Encoding : chunked\r\n\r\n3\r\nyes\r\n0\r\n\r\n",
	"blank in another name":       text("mine", "yes", "Other Note: a\r\n"),
	"blank in an interim head":    "HTTP/1.1 103 x\r\nOther Note: a\r\n\r\n" + text("mine", "yes", ""),
	"blank in another's head":     text("ghost", "no", "Other Note: a\r\n") + text("mine", "yes", ""),
	"blank after a sound name":    text("mine", "yes", "Note: a\r\nOther Note: a\r\n"),
	"HTTP/1.0 in chunks":          "HTTP/1.0 200 OK\r\nId: mine\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nyes\r\n0\r\n\r\n",
	"HTTP/1.0, length and chunks": "HTTP/1.0 200 OK\r\nId: mine\r\nTransfer-Encoding: chunked\r\nContent-Length: 13\r\n\r\n3\r\nyes\r\n0\r\n\r\n",
	"blank in a trailer":          "HTTP/1.1 200 OK\r\nId: mine\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nyes\r\n0\r\nOther Note: a\r\n\r\n",
}

// TestBrokenHead checks that broken answers are errors, that their requests count as sent, and
// that their connections are not used again.
func TestBrokenHead(t *testing.T) {
	for name, broken := range brokenHeads {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := newPeer(t, broken)
			c := connector.New(connector.Config{})
			for n := range 2 {
				_, err := exchange(c, p.address, request())
				var failed *connector.Error
				var head *verifier.HeadError
				is.True(errors.As(err, &head))
				is.True(!errors.As(err, &failed) || failed.Sent)
				is.Equal(c.Opened(), int64(n+1))
			}
		})
	}
}

// TestUnboundedParts checks that interim answers, other answers, trailers and lines that go on
// for long are errors, and that their requests are sent once.
func TestUnboundedParts(t *testing.T) {
	tests := map[string]struct{ begin, repeat string }{
		"interim answers":             {repeat: "HTTP/1.1 103 x\r\nLink: a\r\n\r\n"},
		"line of an interim answer":   {begin: "HTTP/1.1 103 x\r\nLink: ", repeat: "a"},
		"answers to another request":  {repeat: text("ghost", "no", "")},
		"trailer":                     {begin: "HTTP/1.1 200 OK\r\nId: mine\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", repeat: "Note: a\r\n"},
		"line of a trailer":           {begin: "HTTP/1.1 200 OK\r\nId: mine\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nNote: ", repeat: "a"},
		"begin of a chunk":            {begin: "HTTP/1.1 200 OK\r\nId: mine\r\nTransfer-Encoding: chunked\r\n\r\n4;", repeat: "a"},
		"body of another's answer":    {begin: "HTTP/1.1 200 OK\r\nId: ghost\r\nTransfer-Encoding: chunked\r\n\r\n", repeat: "4\r\nbody\r\n"},
		"continuation of a name line": {begin: "HTTP/1.1 200 OK\r\nId: mine\r\nNote: a\r\n", repeat: " b\r\n"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			const sent = 8 << 20
			var requests atomic.Int64
			s, err := scripter.Start(scripter.Config{Answer: func(*http.Request) string {
				requests.Add(1)
				return test.begin + strings.Repeat(test.repeat, sent/len(test.repeat))
			}})
			is.NoErr(err)
			defer s.Close()
			_, err = exchange(connector.New(connector.Config{}), s.Address(), request())
			is.True(err != nil)
			is.Equal(requests.Load(), int64(1))
		})
	}
}

// TestRefusedNames checks that names which net/http refuses stay refused, and that sound names
// and trailers are read.
func TestRefusedNames(t *testing.T) {
	tests := map[string]struct {
		line  string
		sound bool
	}{
		"0x00":              {line: "Note\x00: a\r\n"},
		"0x01":              {line: "No\x01te: a\r\n"},
		"tab":               {line: "Note\t: a\r\n"},
		"delete":            {line: "Note\x7f: a\r\n"},
		"0x80":              {line: "Note\x80: a\r\n"},
		"parenthesis":       {line: "No(te: a\r\n"},
		"carriage return":   {line: "No\rte: a\r\n"},
		"empty":             {line: ": a\r\n"},
		"no colon":          {line: "Note\r\n"},
		"folded before it":  {line: "Note\r\n : a\r\n"},
		"control byte":      {line: "Note: a\x01\r\n"},
		"all signs":         {line: "!#$%&'*+-.^_`|~09azAZ: a\r\n", sound: true},
		"no blank after it": {line: "Note:a\r\n", sound: true},
		"empty value":       {line: "Note:\r\n", sound: true},
		"folded value":      {line: "Note: a\r\n b c: d\r\n", sound: true},
		"value":             {line: "Note: a\tb \x80\xff\r\n", sound: true},
	}
	for name, test := range tests {
		for place, answer := range map[string]string{
			"head":    text("mine", "yes", test.line),
			"first":   "HTTP/1.1 200 OK\r\n" + test.line + "Id: mine\r\nContent-Length: 3\r\n\r\nyes",
			"interim": "HTTP/1.1 103 x\r\n" + test.line + "\r\n" + text("mine", "yes", ""),
			"trailer": "HTTP/1.1 200 OK\r\nId: mine\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nyes\r\n0\r\n" + test.line + "\r\n",
		} {
			t.Run(name+"/"+place, func(t *testing.T) {
				is := is.New(t)
				body, err := exchange(connector.New(connector.Config{}), newPeer(t, answer).address, request())
				is.Equal(err == nil, test.sound)
				is.Equal(body == "yes", test.sound || place == "trailer")
			})
		}
	}
}
