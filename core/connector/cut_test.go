package connector_test

import (
	"errors"
	"io"
	"net"
	"testing"

	"bamboohill/core/connector"

	"github.com/matryer/is"
)

// TestCutInHead cuts answers of each framing after each byte of their heads: none may be taken for
// a whole one, such as an empty one without a length that ends with its connection.
func TestCutInHead(t *testing.T) {
	heads := map[string]string{
		"length":            "HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 0\r\n\r\n",
		"chunks":            "HTTP/1.1 200 OK\r\nId: mine\r\nTransfer-Encoding: chunked\r\n\r\n",
		"end of connection": "HTTP/1.1 200 OK\r\nId: mine\r\nConnection: close\r\n\r\n",
		"stream":            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nId: mine\r\n\r\n",
		"line feeds only":   "HTTP/1.1 200 OK\nId: mine\nContent-Type: text/event-stream\n\n",
		"no content":        "HTTP/1.1 204 No Content\r\nId: mine\r\n\r\n",
		"folded line":       "HTTP/1.1 200 OK\r\nId: mine\r\nNote: a\r\n b\r\n\r\n",
		"interim answer":    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nId: mine\r\n\r\n",
	}
	for name, head := range heads {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			for length := range len(head) {
				_, err := exchange(connector.New(connector.Config{}), serveOnce(t, head[:length]), request())
				var failed *connector.Error
				if !errors.As(err, &failed) {
					t.Errorf("cut after %d bytes: %v", length, err)
					continue
				}
				is.True(failed.Sent)
			}
		})
	}
}

// serveOnce answers one request with a text and closes the connection. It returns its address.
func serveOnce(t *testing.T, text string) string {
	t.Helper()
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		defer l.Close()
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		_, _ = c.Read(make([]byte, 4<<10)) // the request, which is short
		_, _ = io.WriteString(c, text)
	}()
	return l.Addr().String()
}
