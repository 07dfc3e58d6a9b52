package verifier_test

import (
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"bamboohill/core/verifier"

	"github.com/matryer/is"
)

// rest are bytes of a body that no head may hold.
const rest = "\r\nHTTP/9.9 000 \x00\r\nNo Name\x01\r\n\r\n"

// headsOfAnswers are heads of answers and whether they are sound.
var headsOfAnswers = map[string]struct {
	text  string
	sound bool
}{
	"plain":                   {text: "HTTP/1.1 200 OK\r\nNote: a\r\n\r\n", sound: true},
	"no fields":               {text: "HTTP/1.1 200 OK\r\n\r\n", sound: true},
	"line feeds only":         {text: "HTTP/1.1 200 OK\nNote: a\n\n", sound: true},
	"no reason":               {text: "HTTP/1.1 200\r\n\r\n", sound: true},
	"empty reason":            {text: "HTTP/1.1 200 \r\n\r\n", sound: true},
	"reason of all signs":     {text: "HTTP/1.1 200 a\tb \x80\xff~\r\n\r\n", sound: true},
	"two blanks":              {text: "HTTP/1.1  200 OK\r\n\r\n", sound: true},
	"HTTP/1.0":                {text: "HTTP/1.0 200 OK\r\n\r\n", sound: true},
	"HTTP/1.2":                {text: "HTTP/1.2 200 OK\r\n\r\n", sound: true},
	"least status":            {text: "HTTP/1.1 100 x\r\n\r\nHTTP/1.1 200 OK\r\n\r\n", sound: true},
	"interim answers":         {text: "HTTP/1.1 103 x\r\nLink: a\r\n\r\nHTTP/1.1 199 x\r\n\r\nHTTP/1.1 204 x\r\n\r\n", sound: true},
	"largest status":          {text: "HTTP/1.1 599 x\r\n\r\n", sound: true},
	"empty value":             {text: "HTTP/1.1 200 OK\r\nNote:\r\nOther:\r\n\r\n", sound: true},
	"colons in a value":       {text: "HTTP/1.1 200 OK\r\nNote: a: b c: d\r\n\r\n", sound: true},
	"continued line":          {text: "HTTP/1.1 200 OK\r\nNote: a\r\n\tb c\r\n\r\n", sound: true},
	"continued, with a colon": {text: "HTTP/1.1 200 OK\r\nNote: a\r\n b c: d\r\n\r\n", sound: true},

	"HTTP/1.1 in chunks":              {text: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", sound: true},
	"HTTP/1.0, a name that begins so": {text: "HTTP/1.0 200 OK\r\nTransfer-Encoding-Note: chunked\r\n\r\n", sound: true},
	"HTTP/1.0, then 1.1 in chunks":    {text: "HTTP/1.0 100 x\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", sound: true},

	"HTTP/1.0 in chunks":           {text: "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"},
	"HTTP/1.0 in chunks, length":   {text: "HTTP/1.0 200 OK\r\nContent-Length: 2\r\ntransfer-encoding: x\r\n\r\n"},
	"HTTP/1.1, then 1.0 in them":   {text: "HTTP/1.1 100 x\r\n\r\nHTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"},
	"blank beside the colon":       {text: "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\n"},
	"blank within a name":          {text: "HTTP/1.1 200 OK\r\nNote: a\r\nOther Note: a\r\n\r\n"},
	"blank in the first name":      {text: "HTTP/1.1 200 OK\r\nOther Note: a\r\nNote: a\r\n\r\n"},
	"blank in an interim head":     {text: "HTTP/1.1 103 x\r\nOther Note: a\r\n\r\nHTTP/1.1 200 OK\r\n\r\n"},
	"blank in a line without name": {text: "HTTP/1.1 200 OK\r\nOther Note\r\n\r\n"},

	"status 000":                 {text: "HTTP/1.1 000 x\r\n\r\n"},
	"status 099":                 {text: "HTTP/1.1 099 x\r\n\r\n"},
	"status 000 after another":   {text: "HTTP/1.1 100 x\r\n\r\nHTTP/1.1 000 x\r\n\r\n"},
	"status 101":                 {text: "HTTP/1.1 101 x\r\nUpgrade: x\r\n\r\n"},
	"status 600":                 {text: "HTTP/1.1 600 x\r\n\r\n"},
	"status 999":                 {text: "HTTP/1.1 999 x\r\n\r\n"},
	"status with a sign":         {text: "HTTP/1.1 +20 x\r\n\r\n"},
	"status below zero":          {text: "HTTP/1.1 -00 x\r\n\r\n"},
	"status of two digits":       {text: "HTTP/1.1 20 x\r\n\r\n"},
	"status of four digits":      {text: "HTTP/1.1 2000 x\r\n\r\n"},
	"no status":                  {text: "HTTP/1.1\r\n\r\n"},
	"HTTP/0.9":                   {text: "HTTP/0.9 200 OK\r\n\r\n"},
	"HTTP/2.0":                   {text: "HTTP/2.0 200 OK\r\n\r\n"},
	"HTTP/9.9":                   {text: "HTTP/9.9 200 OK\r\n\r\n"},
	"HTTP/1.":                    {text: "HTTP/1. 200 OK\r\n\r\n"},
	"HTTP/1.x":                   {text: "HTTP/1.x 200 OK\r\n\r\n"},
	"HTTP/1.10":                  {text: "HTTP/1.10 200 OK\r\n\r\n"},
	"another protocol":           {text: "HTTQ/1.1 200 OK\r\n\r\n"},
	"blank before the version":   {text: " HTTP/1.1 200 OK\r\n\r\n"},
	"empty line first":           {text: "\r\nHTTP/1.1 200 OK\r\n\r\n"},
	"control byte in the reason": {text: "HTTP/1.1 200 O\x01K\r\n\r\n"},
	"zero byte in the reason":    {text: "HTTP/1.1 200 O\x00K\r\n\r\n"},
	"delete in the reason":       {text: "HTTP/1.1 200 O\x7fK\r\n\r\n"},
	"bare carriage return":       {text: "HTTP/1.1 200 OK\rNote: a\r\n\r\n"},
	"endless line":               {text: "HTTP/1.1 200 " + strings.Repeat("x", 65<<10)},
}

// TestHeads reads answers in one piece and byte by byte, and with parts of their heads in a
// buffer above the connection.
func TestHeads(t *testing.T) {
	for name, test := range headsOfAnswers {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			text := test.text + rest
			for buffered := range min(len(test.text), 100) + 1 {
				for _, step := range []int{1, len(text)} {
					got, err := readExpected(t, text, buffered, step)
					var broken *verifier.HeadError
					is.Equal(errors.As(err, &broken), !test.sound)
					if test.sound {
						is.NoErr(err)
						is.Equal(got, text[buffered:])
					}
				}
			}
		})
	}
}

// readExpected reads an answer whose first bytes are in a buffer, a number of bytes a read.
func readExpected(t *testing.T, text string, buffered, step int) (string, error) {
	t.Helper()
	c := verifier.NewConn(fixedConn{Reader: strings.NewReader(text[buffered:])})
	if err := c.ExpectHead([]byte(text[:buffered])); err != nil {
		return "", err
	}
	if step == 1 {
		all, err := io.ReadAll(iotest.OneByteReader(c))
		return string(all), err
	}
	all, err := io.ReadAll(c)
	return string(all), err
}

// TestBrokenHeadEnds checks that a broken head is an error after one byte, and that nothing is
// read after it.
func TestBrokenHeadEnds(t *testing.T) {
	is := is.New(t)
	c := verifier.NewConn(fixedConn{Reader: strings.NewReader("HTTP/1.1 000 x\r\n\r\n" + strings.Repeat("HTTP/1.1 200 OK\r\n\r\n", 3))})
	is.NoErr(c.ExpectHead(nil))
	for _, want := range []int{1, 0, 0} {
		n, err := c.Read(make([]byte, 19))
		var broken *verifier.HeadError
		is.True(errors.As(err, &broken))
		is.Equal(n, want)
	}
}

// TestUnexpectedBytes checks that bytes are not checked unless a head is expected.
func TestUnexpectedBytes(t *testing.T) {
	is := is.New(t)
	got, err := io.ReadAll(verifier.NewConn(fixedConn{Reader: strings.NewReader(rest)}))
	is.NoErr(err)
	is.Equal(string(got), rest)
}

// fixedConn is a connection from which a fixed text is read.
type fixedConn struct {
	net.Conn
	io.Reader
}

// Read implements net.Conn.
func (c fixedConn) Read(p []byte) (int, error) { return c.Reader.Read(p) }

// SetWriteDeadline implements net.Conn.
func (fixedConn) SetWriteDeadline(time.Time) error { return nil }
