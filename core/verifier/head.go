package verifier

import (
	"bytes"
	"fmt"
	"net/http"
)

// HeadError reports a line that no head of an HTTP/1.1 answer holds.
type HeadError struct {
	Line    string // its beginning
	Problem string
}

// Error implements error.
func (e *HeadError) Error() string { return fmt.Sprintf("verifier: %s: %q", e.Problem, e.Line) }

// maxLineBytes is the largest size of a line of a head, and maxQuotedBytes that of the part of
// it that an error holds.
const (
	maxLineBytes   = 64 << 10
	maxQuotedBytes = 80
)

func newHeadError(line []byte, problem string) *HeadError {
	return &HeadError{Line: string(line[:min(len(line), maxQuotedBytes)]), Problem: problem}
}

// heads checks the heads of one answer, interim ones and the final one, as their bytes arrive.
// It ignores what follows the final one. The zero value ignores all bytes.
type heads struct {
	expected bool   // the next byte belongs to a head
	begun    bool   // the status line of the current head has been read
	interim  bool   // another head follows the current one
	chunks   bool   // the version of the current head knows chunks
	partial  []byte // the beginning of the current line
	err      error  // the first *HeadError
}

// expect begins with the heads of another answer.
func (h *heads) expect() { *h = heads{expected: true} }

// scan checks the next bytes of a connection. The error is a *HeadError; it is returned for
// all further bytes too.
func (h *heads) scan(p []byte) error {
	for h.expected && h.err == nil && len(p) > 0 {
		line, rest, found := bytes.Cut(p, []byte{'\n'})
		if !found || len(h.partial) > 0 {
			h.partial = append(h.partial, line...)
			line = h.partial
		}
		switch {
		case len(line) > maxLineBytes:
			h.err = newHeadError(line, "line too long")
		case found:
			h.err = h.checkLine(bytes.TrimSuffix(line, []byte{'\r'}))
			h.partial = h.partial[:0]
		}
		p = rest
	}
	if !h.expected {
		h.partial = nil // connections are kept for long
	}
	return h.err
}

// checkLine checks a line without its end.
func (h *heads) checkLine(line []byte) error {
	switch {
	case !h.begun:
		s, err := parseStatusLine(line)
		h.begun, h.interim, h.chunks = true, s.code < http.StatusOK, s.minor > 0
		return err
	case len(line) == 0:
		h.begun, h.expected = false, h.interim
		return nil
	}
	return h.checkField(line)
}

// checkField checks a line after the status line. Names with other bytes that no name holds,
// and lines without a name, are left to net/http, which refuses them, as are codings other
// than chunks. The error is a *HeadError.
func (h *heads) checkField(line []byte) error {
	if line[0] == ' ' || line[0] == '\t' {
		return nil // continues the line before, if there is one
	}
	name, _, _ := bytes.Cut(line, []byte{':'})
	switch {
	case bytes.IndexByte(name, ' ') >= 0:
		return newHeadError(line, "blank in a name")
	case !h.chunks && bytes.EqualFold(name, []byte("Transfer-Encoding")):
		return newHeadError(line, "transfer coding in an answer of HTTP/1.0")
	}
	return nil
}

// Statuses of HTTP (RFC 9110, section 15).
const (
	statusDigits = 3
	minStatus    = 100
	maxStatus    = 599
)

// status is the content of a status line.
type status struct {
	minor int // of the version, which is 1.x
	code  int
}

// parseStatusLine reads a status line. More than one blank before the status, and none after
// it, are accepted, as by net/http. 101 is refused, as no request asks for another protocol.
// The error is a *HeadError.
func parseStatusLine(line []byte) (status, error) {
	version, rest, _ := bytes.Cut(line, []byte{' '})
	if len(version) != len("HTTP/1.1") || !bytes.HasPrefix(version, []byte("HTTP/1.")) || !isDigit(version[len(version)-1]) {
		return status{}, newHeadError(line, "not a status line of HTTP/1.1")
	}
	code, reason, _ := bytes.Cut(bytes.TrimLeft(rest, " "), []byte{' '})
	if len(code) != statusDigits || !isDigit(code[0]) || !isDigit(code[1]) || !isDigit(code[2]) {
		return status{}, newHeadError(line, "status is not a number of three digits")
	}
	s := status{
		minor: int(version[len(version)-1] - '0'),
		code:  int(code[0]-'0')*100 + int(code[1]-'0')*10 + int(code[2]-'0'),
	}
	switch {
	case s.code < minStatus || s.code > maxStatus:
		return status{}, newHeadError(line, "status out of range")
	case s.code == http.StatusSwitchingProtocols:
		return status{}, newHeadError(line, "change of the protocol")
	case bytes.ContainsFunc(reason, isControl):
		return status{}, newHeadError(line, "control byte in the reason")
	}
	return s, nil
}

func isDigit(b byte) bool { return '0' <= b && b <= '9' }

// isControl reports whether a character may not stand in the text of a line.
func isControl(r rune) bool { return r < ' ' && r != '\t' || r == 0x7f }
