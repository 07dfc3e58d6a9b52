package server

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"bamboohill/sidecar/internal/settings"

	"github.com/matryer/is"
)

// TestEndlessHead checks that a request to a backend server whose answer's head has no end fails
// after a bounded part of it, on both kinds of connections.
func TestEndlessHead(t *testing.T) {
	const bound = 8 << 20 // what the kernel's buffers of a connection hold
	for name, path := range map[string]string{"kept connection": "/v1/status", "own connection": generatePath} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp4", "127.0.0.1:0")
			is.NoErr(err)
			defer listener.Close()
			sent := make(chan int, 1)
			go func() {
				c, err := listener.Accept()
				if err != nil {
					return
				}
				defer c.Close()
				total, _ := io.WriteString(c, "HTTP/1.1 200 OK\r\n")
				for field := "Filler: " + strings.Repeat("a", 32<<10) + "\r\n"; total < 4*bound; {
					n, err := io.WriteString(c, field)
					if total += n; err != nil {
						break
					}
				}
				sent <- total
			}()
			q, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+listener.Addr().String()+path, http.NoBody)
			is.NoErr(err)
			answer, err := newTransport(settings.KindModel, time.Second).RoundTrip(q)
			if err == nil {
				_ = answer.Body.Close()
			}
			is.True(err != nil)
			is.True(<-sent < bound)
		})
	}
}
