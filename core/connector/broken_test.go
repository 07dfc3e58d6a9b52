package connector_test

import (
	"errors"
	"testing"

	"bamboohill/core/connector"
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
				is.True(errors.As(err, &failed))
				is.True(errors.As(err, &head))
				is.True(failed.Sent)
				is.Equal(c.Opened(), int64(n+1))
			}
		})
	}
}
