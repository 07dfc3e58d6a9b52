// Package badclient tests the robustness of an entry against misbehaving
// clients. It sends malformed, oversized, slow and idle input, over plain TCP
// where an HTTP client library would not send it.
//
// # Usage
//
//	c := badclient.New(badclient.Config{Address: entry, Key: key, Model: "base"})
//	for _, r := range c.Run(ctx) {
//		fmt.Println(r)
//	}
package badclient

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Time limits for an entry.
const (
	answerTimeout = 30 * time.Second
	dialTimeout   = 5 * time.Second
)

// Config configures a Client.
type Config struct {
	Address string // address of an entry, IP:PORT
	Key     string // valid caller's key
	Model   string // allowed by the plan of the key's account
	Idle    int    // number of idle connections
	Flood   int    // number of concurrent prompts of 1 M tokens, 0 for none
}

// Client is a misbehaving client.
type Client struct {
	config Config
}

// New returns a client.
func New(config Config) *Client { return &Client{config: config} }

// Result is the entry's reaction to one input.
type Result struct {
	Case     string
	Expected string // accepted reactions, separated by |
	Got      string
	Elapsed  time.Duration
}

// Passed reports whether the entry reacted as expected.
func (r Result) Passed() bool {
	for w := range strings.SplitSeq(r.Expected, "|") {
		if w == r.Got {
			return true
		}
	}
	return false
}

// String returns the result as key=value pairs.
func (r Result) String() string {
	verdict := "holds"
	if !r.Passed() {
		verdict = "broken"
	}
	return fmt.Sprintf("result=stranger case=%s wanted=%s got=%s took_ms=%d verdict=%s", r.Case, r.Expected, r.Got, r.Elapsed.Milliseconds(), verdict)
}

// Run sends all inputs, one after the other.
func (c *Client) Run(ctx context.Context) []Result {
	all := []Result{}
	add := func(name, expected string, do func(context.Context) string) {
		start := time.Now()
		got := do(ctx)
		all = append(all, Result{Case: name, Expected: expected, Got: got, Elapsed: time.Since(start)})
	}
	for _, t := range c.inputs() {
		add(t.name, t.expected, func(ctx context.Context) string { return c.exchange(ctx, t.text) })
	}
	add("body-stops-half-way", "408", func(ctx context.Context) string {
		return c.exchange(ctx, c.requestHead("Content-Length: 1000")+`{"model":`)
	})
	add("slow-reader", "closed|ended", c.slowReader)
	add("callers-that-leave", "left", c.abandonStreams)
	add("idle-connections", "200", c.idle)
	if c.config.Flood > 0 {
		add("flood", "all-answered-or-refused", c.flood)
	}
	add("others-untouched", "200", func(ctx context.Context) string { return c.exchange(ctx, c.post(c.validBody(4))) })
	return all
}

// testInput is a raw request with the accepted response statuses.
type testInput struct {
	name, expected, text string
}

// headerBytes is the length of an oversized header.
const headerBytes = 1 << 20

func (c *Client) inputs() []testInput {
	chunked := c.requestHead("Transfer-Encoding: chunked") + fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(c.validBody(4)), c.validBody(4))
	return []testInput{
		{"broken-json", "400", c.post(`{"model":`)},
		{"wrong-type", "400", c.post(`{"model":1,"prompt":"a"}`)},
		{"huge-number", "400", c.post(`{"model":"m","prompt":"a","max_tokens":1e400}`)},
		{"negative-number", "400", c.post(`{"model":"m","prompt":"a","max_tokens":-1}`)},
		{"not-utf8", "400", c.post("{\"model\":\"m\",\"prompt\":\"\xff\"}")},
		{"stop-is-unsupported", "400", c.post(`{"model":"m","prompt":"a","stop":["b"]}`)},
		{"unknown-model", "404", c.post(`{"model":"no-such-model","prompt":"a"}`)},
		{"unknown-key", "401", strings.Replace(c.post(c.validBody(4)), c.config.Key, "nobody", 1)},
		{"two-content-lengths", "400", c.requestHead("Content-Length: 5\r\nContent-Length: 6") + "{}   "},
		{"header-of-1MB", "431", c.requestHead("Long: " + strings.Repeat("a", headerBytes))},
		{"body-too-large", "413", c.requestHead("Content-Length: 99999999999")},
		{"chunked-body", "200", chunked},
	}
}

func (c *Client) validBody(answer int) string {
	return fmt.Sprintf(`{"model":%q,"prompt":"wind?","max_tokens":%d,"stream":true}`, c.config.Model, answer)
}

func (c *Client) requestHead(length string) string {
	return "POST /v1/completions HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer " + c.config.Key + "\r\n" + length + "\r\n\r\n"
}

func (c *Client) post(body string) string {
	return c.requestHead(fmt.Sprintf("Content-Length: %d", len(body))) + body
}

func (c *Client) dial(ctx context.Context) (net.Conn, error) {
	return (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", c.config.Address)
}

// exchange sends raw bytes and returns the status of the response or a word for the failure.
func (c *Client) exchange(ctx context.Context, parts ...string) string {
	conn, err := c.dial(ctx)
	if err != nil {
		return "no-connection"
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(answerTimeout))
	// The entry may respond and close the connection before it has read the whole request.
	go func() {
		for _, p := range parts {
			io.WriteString(conn, p)
		}
	}()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return "no-answer"
	}
	defer response.Body.Close()
	io.Copy(io.Discard, response.Body)
	return fmt.Sprint(response.StatusCode)
}

// Parameters of the slowly read stream. The answer exceeds the socket buffers,
// and the caller's timeout is short.
const (
	slowAnswerTokens   = 100_000
	slowTimeoutSeconds = 3
	slowReadTimeout    = 20 * time.Second
)

// slowReader requests a long answer and reads one byte per second. Soon after
// the deadline the entry must have ended the call: it has either written the
// whole answer to the kernel's buffers or closed the connection.
func (c *Client) slowReader(ctx context.Context) string {
	conn, err := c.dial(ctx)
	if err != nil {
		return "no-connection"
	}
	defer conn.Close()
	body := c.validBody(slowAnswerTokens)
	io.WriteString(conn, c.requestHead(fmt.Sprintf("Bamboohill-Timeout: %d\r\nContent-Length: %d", slowTimeoutSeconds, len(body)))+body)
	start := time.Now()
	one := make([]byte, 1)
	for time.Since(start) < slowTimeoutSeconds*time.Second+2*time.Second {
		conn.SetReadDeadline(time.Now().Add(slowReadTimeout))
		if _, err := conn.Read(one); err != nil {
			return "closed"
		}
		time.Sleep(time.Second)
	}
	return c.finalState(conn)
}

// lastChunk ends a response with chunked transfer encoding.
const lastChunk = "\r\n0\r\n\r\n"

// finalState drains the connection and returns whether the entry has closed it,
// has at least ended the response, or has left it open.
func (c *Client) finalState(conn net.Conn) string {
	conn.SetReadDeadline(time.Now().Add(dialTimeout))
	rest, err := io.ReadAll(conn)
	var timeout net.Error
	if !errors.As(err, &timeout) || !timeout.Timeout() {
		return "closed"
	}
	if strings.HasSuffix(string(rest), lastChunk) {
		return "ended"
	}
	return "open"
}

// abandonedCalls is the number of streams that are closed early.
const abandonedCalls = 20

// abandonStreams requests long streams and closes each after its first byte. It
// does not check that the engines release their resources afterwards; that is
// left to the caller of Run.
func (c *Client) abandonStreams(ctx context.Context) string {
	var all sync.WaitGroup
	defer all.Wait()
	for range abandonedCalls {
		all.Go(func() {
			conn, err := c.dial(ctx)
			if err != nil {
				return
			}
			defer conn.Close()
			conn.SetDeadline(time.Now().Add(answerTimeout))
			io.WriteString(conn, c.post(c.validBody(slowAnswerTokens)))
			conn.Read(make([]byte, 1))
		})
	}
	return "left"
}

// idle opens connections that send nothing, and sends a valid request while
// they are open.
func (c *Client) idle(ctx context.Context) string {
	for range c.config.Idle {
		conn, err := c.dial(ctx)
		if err != nil {
			return "no-connection"
		}
		defer conn.Close()
	}
	return c.exchange(ctx, c.post(c.validBody(4)))
}

// floodTokens is the length of each prompt of flood.
const floodTokens = 1_000_000

// flood sends many prompts of maximum length at once. Each must be answered or
// refused with status 503, and at least one must be answered.
func (c *Client) flood(ctx context.Context) string {
	const end = `"}`
	prompt := strings.Repeat("abcd", floodTokens-4)
	var mu sync.Mutex
	var all sync.WaitGroup
	got := map[string]int{}
	for i := range c.config.Flood {
		all.Go(func() {
			start := fmt.Sprintf(`{"model":%q,"max_tokens":4,"prompt":"%016d`, c.config.Model, i)
			length := len(start) + len(prompt) + len(end)
			status := c.exchange(ctx, c.requestHead(fmt.Sprintf("Content-Length: %d", length))+start, prompt, end)
			mu.Lock()
			defer mu.Unlock()
			got[status]++
		})
	}
	all.Wait()
	fmt.Printf("result=flood sent=%d answered=%d refused=%d other=%d\n", c.config.Flood, got["200"], got["503"], c.config.Flood-got["200"]-got["503"])
	if got["200"]+got["503"] == c.config.Flood && got["200"] > 0 {
		return "all-answered-or-refused"
	}
	return "lost"
}
