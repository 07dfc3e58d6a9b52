package connector

import (
	"errors"
	"io"
	"math"
	"net/http"
	"regexp"
	"slices"
)

// maxHeadBytes is the largest size of the head of an answer, as for the heads of callers'
// requests. http.ReadResponse has no limit.
const maxHeadBytes = 64 << 10

// ErrHeadTooLong is returned for an answer whose head has no end within 64 KiB.
var ErrHeadTooLong = errors.New("connector: head of the answer too long")

// headLimiter limits the bytes that are read of a head. The bytes that the buffer behind
// it reads ahead count as well.
type headLimiter struct {
	reader io.Reader
	left   int64
}

// begin starts the limit, end removes it.
func (l *headLimiter) begin() { l.left = maxHeadBytes }
func (l *headLimiter) end()   { l.left = math.MaxInt64 }

// Read implements io.Reader.
func (l *headLimiter) Read(p []byte) (int, error) {
	if l.left <= 0 {
		return 0, ErrHeadTooLong
	}
	n, err := l.reader.Read(p[:min(int64(len(p)), l.left)])
	l.left -= int64(n)
	return n, err
}

// errGlued is returned for a head that begins inside another one, which was cut.
var errGlued = errors.New("connector: the head of the answer holds a status line")

// statusLine matches the begin of an answer.
var statusLine = regexp.MustCompile(`HTTP/1\.[01] [1-5][0-9][0-9]`)

// isGlued reports whether the head of an answer is the begin of one and the rest of another:
// its status and its fields may belong to different requests.
func isGlued(r *http.Response) bool {
	if statusLine.MatchString(r.Status) {
		return true
	}
	for _, values := range r.Header {
		if slices.ContainsFunc(values, statusLine.MatchString) {
			return true
		}
	}
	return false
}
