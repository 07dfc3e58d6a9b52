package verifier

import (
	"errors"
	"io"
	"net/http"
	"strings"
)

// body reads the body of an answer and checks its trailer.
type body struct {
	io.ReadCloser
	answer *http.Response
}

// NewBody returns the body of an answer. Its reads return io.EOF only if the names in the
// trailer after the body are sound, and a *HeadError otherwise.
func NewBody(answer *http.Response) io.ReadCloser {
	return body{ReadCloser: answer.Body, answer: answer}
}

// Read implements io.Reader.
func (b body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		return n, b.end()
	}
	return n, err
}

// end returns what a read returns that has seen the end of the body.
func (b body) end() error {
	for name, values := range b.answer.Trailer {
		if len(values) > 0 && strings.Contains(name, " ") {
			return newHeadError([]byte(name), "blank in a name of the trailer")
		}
	}
	return io.EOF
}
