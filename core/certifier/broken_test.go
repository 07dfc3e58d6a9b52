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
	for whole, configs := range map[bool]map[string]scripter.Config{false: scripter.Broken("body"), true: scripter.Sound("body")} {
		for name, config := range configs {
			t.Run(name, func(t *testing.T) {
				is := is.New(t)
				s, err := scripter.Start(config)
				is.NoErr(err)
				defer s.Close()
				p := certifier.NewPeer(nil)
				for range 5 {
					q, err := http.NewRequestWithContext(t.Context(), http.MethodPost, p.URL(s.Address()), bytes.NewReader(make([]byte, bytesSent)))
					is.NoErr(err)
					text, err := body(p.Client.Do(q))
					if (err == nil) != whole || err == nil && text != "body" {
						t.Errorf("got %q, error %v, want whole %v", text, err, whole)
					}
				}
				is.True(p.Bytes() > 0)
			})
		}
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
