package generator_test

import (
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"bamboohill/core/generator"

	"github.com/matryer/is"
)

// sentBound is the most that a faulty engine may send before the client closes: the longest
// answer, and what the kernel's buffers of a connection hold.
const sentBound = 16 << 20

// serveEndless accepts connections, and sends on each of them the begin of an answer and then
// filler until the client closes. It returns its address and the bytes sent on a connection.
func serveEndless(t *testing.T, begin, filler string) (address string, sent <-chan int) {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	counts := make(chan int, 16)
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				total, _ := io.WriteString(c, begin)
				for total < 4*sentBound {
					n, err := io.WriteString(c, filler)
					if total += n; err != nil {
						break
					}
				}
				counts <- total
			}()
		}
	}()
	return listener.Addr().String(), counts
}

// TestEndlessAnswers checks that a call to an engine that sends bytes without end fails after a
// bounded part of them, and at once.
func TestEndlessAnswers(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
	text, blanks := strings.Repeat("a", 64<<10), strings.Repeat(" ", 64<<10)
	calls := map[string]func(context.Context, *generator.Engine) error{
		"status": func(ctx context.Context, e *generator.Engine) error {
			_, err := e.Status(ctx)
			return err
		},
		"events": func(ctx context.Context, e *generator.Engine) error {
			_, err := e.Events(ctx, 0)
			return err
		},
		"cancel": func(ctx context.Context, e *generator.Engine) error { return e.Cancel(ctx, "job") },
	}
	answers := map[string]struct{ begin, filler string }{
		"head":         {head + "Filler: ", text},
		"head, fields": {head, "Filler: a\r\n"},
		"body":         {head + "\r\n{\"role\": \"", text},
		"blank body":   {head + "\r\n", blanks},
	}
	for name, call := range calls {
		for form, answer := range answers {
			t.Run(name+", "+form, func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				address, sent := serveEndless(t, answer.begin, answer.filler)
				ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
				defer cancel()
				is.True(call(ctx, generator.New(generator.Config{Address: address})) != nil)
				is.NoErr(ctx.Err())
				is.True(<-sent < sentBound)
			})
		}
	}
}

// TestAnswerCutInHead checks that an answer whose head ends early is not taken for a whole one.
func TestAnswerCutInHead(t *testing.T) {
	const whole = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nConnection: close\r\n\r\n"
	for length := range len(whole) {
		is := is.New(t)
		listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp4", "127.0.0.1:0")
		is.NoErr(err)
		go func() {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			_, _ = c.Read(make([]byte, 4<<10))
			_, _ = io.WriteString(c, whole[:length])
			_ = c.Close()
		}()
		is.True(generator.New(generator.Config{Address: listener.Addr().String()}).Cancel(t.Context(), "job") != nil)
		is.NoErr(listener.Close())
	}
}
