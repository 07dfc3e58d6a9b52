package certifier_test

import (
	"bytes"
	"io"
	"net/http"
	"testing"

	"bamboohill/core/certifier"
	"bamboohill/core/scripter"

	"github.com/matryer/is"
)

// TestBrokenAnswersOfPeer checks that no broken answer of another process is taken for one.
func TestBrokenAnswersOfPeer(t *testing.T) {
	const bytesSent = 16 << 20 // beyond the kernel's buffers of a connection
	for name, test := range scripter.Cases("body") {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s, err := scripter.Start(test.Config)
			is.NoErr(err)
			defer s.Close()
			p := certifier.NewPeer(nil)
			for range 5 {
				q, err := http.NewRequestWithContext(t.Context(), http.MethodPost, p.URL(s.Address()), bytes.NewReader(make([]byte, bytesSent)))
				is.NoErr(err)
				text, err := body(p.Client.Do(q))
				if (err == nil) != test.Whole || err == nil && text != "body" {
					t.Errorf("got %q, error %v, want whole %v", text, err, test.Whole)
				}
			}
			is.True(p.Bytes() > 0)
		})
	}
}

// body returns the body of an answer.
func body(answer *http.Response, err error) (string, error) {
	if err != nil {
		return "", err
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	return string(text), err
}
