// Package stranger sends an entry what its callers should not: broken, huge,
// slow and idle input, over plain TCP where a client library would not do it.
//
// # Usage
//
//	s := stranger.New(stranger.Config{Address: entry, Key: key, Model: "base"})
//	for _, seen := range s.Run(ctx) {
//		fmt.Println(seen)
//	}
package stranger

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

// Limits of waiting for an entry.
const (
	answerLimit = 30 * time.Second
	dialLimit   = 5 * time.Second
)

// Config describes a Stranger.
type Config struct {
	Address string // of an entry, IP:PORT
	Key     string // in force
	Model   string // that the plan of the key allows
	Idle    int    // connections left idle
	Flood   int    // prompts of 1 M tokens at once, 0 for none
}

// Stranger sends bad input.
type Stranger struct {
	config Config
}

// New returns a stranger.
func New(config Config) *Stranger { return &Stranger{config: config} }

// Seen is how one input was met.
type Seen struct {
	Case   string
	Wanted string // some answers, separated by |
	Got    string
	Took   time.Duration
}

// Holds reports whether the input was met as wanted.
func (s Seen) Holds() bool {
	for w := range strings.SplitSeq(s.Wanted, "|") {
		if w == s.Got {
			return true
		}
	}
	return false
}

// String returns one line of key=value pairs.
func (s Seen) String() string {
	verdict := "holds"
	if !s.Holds() {
		verdict = "broken"
	}
	return fmt.Sprintf("result=stranger case=%s wanted=%s got=%s took_ms=%d verdict=%s", s.Case, s.Wanted, s.Got, s.Took.Milliseconds(), verdict)
}

// Run sends every input in turn.
func (s *Stranger) Run(ctx context.Context) []Seen {
	all := []Seen{}
	add := func(name, wanted string, do func(context.Context) string) {
		start := time.Now()
		got := do(ctx)
		all = append(all, Seen{Case: name, Wanted: wanted, Got: got, Took: time.Since(start)})
	}
	for _, c := range s.bodies() {
		add(c.name, c.wanted, func(ctx context.Context) string { return s.raw(ctx, c.text) })
	}
	add("body-stops-half-way", "408", func(ctx context.Context) string {
		return s.raw(ctx, s.head("Content-Length: 1000")+`{"model":`)
	})
	add("slow-reader", "closed|ended", s.slowReader)
	add("callers-that-leave", "left", s.leave)
	add("idle-connections", "200", s.idle)
	if s.config.Flood > 0 {
		add("flood", "all-answered-or-refused", s.flood)
	}
	add("others-untouched", "200", func(ctx context.Context) string { return s.raw(ctx, s.post(s.good(4))) })
	return all
}

// input is a request as bytes, and the statuses that may answer it.
type input struct {
	name, wanted, text string
}

// headerBytes is the length of a header that is too long.
const headerBytes = 1 << 20

func (s *Stranger) bodies() []input {
	chunked := s.head("Transfer-Encoding: chunked") + fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(s.good(4)), s.good(4))
	return []input{
		{"broken-json", "400", s.post(`{"model":`)},
		{"wrong-type", "400", s.post(`{"model":1,"prompt":"a"}`)},
		{"huge-number", "400", s.post(`{"model":"m","prompt":"a","max_tokens":1e400}`)},
		{"negative-number", "400", s.post(`{"model":"m","prompt":"a","max_tokens":-1}`)},
		{"not-utf8", "400", s.post("{\"model\":\"m\",\"prompt\":\"\xff\"}")},
		{"stop-is-unsupported", "400", s.post(`{"model":"m","prompt":"a","stop":["b"]}`)},
		{"unknown-model", "404", s.post(`{"model":"no-such-model","prompt":"a"}`)},
		{"unknown-key", "401", strings.Replace(s.post(s.good(4)), s.config.Key, "nobody", 1)},
		{"two-content-lengths", "400", s.head("Content-Length: 5\r\nContent-Length: 6") + "{}   "},
		{"header-of-1MB", "431", s.head("Long: " + strings.Repeat("a", headerBytes))},
		{"body-too-large", "413", s.head("Content-Length: 99999999999")},
		{"chunked-body", "200", chunked},
	}
}

func (s *Stranger) good(answer int) string {
	return fmt.Sprintf(`{"model":%q,"prompt":"wind?","max_tokens":%d,"stream":true}`, s.config.Model, answer)
}

func (s *Stranger) head(length string) string {
	return "POST /v1/completions HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer " + s.config.Key + "\r\n" + length + "\r\n\r\n"
}

func (s *Stranger) post(body string) string {
	return s.head(fmt.Sprintf("Content-Length: %d", len(body))) + body
}

func (s *Stranger) dial(ctx context.Context) (net.Conn, error) {
	return (&net.Dialer{Timeout: dialLimit}).DialContext(ctx, "tcp", s.config.Address)
}

// raw sends bytes and returns the status of the answer, or what went wrong.
func (s *Stranger) raw(ctx context.Context, parts ...string) string {
	conn, err := s.dial(ctx)
	if err != nil {
		return "no-connection"
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(answerLimit))
	// The entry may answer, and close, before it has read everything.
	go func() {
		for _, p := range parts {
			io.WriteString(conn, p)
		}
	}()
	reply, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return "no-answer"
	}
	defer reply.Body.Close()
	io.Copy(io.Discard, reply.Body)
	return fmt.Sprint(reply.StatusCode)
}

// Shape of the call that is read slowly: the answer is longer than the buffers
// on the way, and the caller's timeout is short.
const (
	slowAnswer  = 100_000
	slowTimeout = 3
	slowLimit   = 20 * time.Second
)

// slowReader asks for a long answer and reads one byte a second. The entry
// must be done with it soon after the deadline: the answer is in the kernel's
// buffers to its end, or the connection is closed.
func (s *Stranger) slowReader(ctx context.Context) string {
	conn, err := s.dial(ctx)
	if err != nil {
		return "no-connection"
	}
	defer conn.Close()
	body := s.good(slowAnswer)
	io.WriteString(conn, s.head(fmt.Sprintf("Bamboohill-Timeout: %d\r\nContent-Length: %d", slowTimeout, len(body)))+body)
	start := time.Now()
	one := make([]byte, 1)
	for time.Since(start) < slowTimeout*time.Second+2*time.Second {
		conn.SetReadDeadline(time.Now().Add(slowLimit))
		if _, err := conn.Read(one); err != nil {
			return "closed"
		}
		time.Sleep(time.Second)
	}
	return s.closed(conn)
}

// lastChunk ends an answer of unknown length.
const lastChunk = "\r\n0\r\n\r\n"

// closed reads what is on the way and reports whether the other side has
// closed, or at least ended the answer.
func (s *Stranger) closed(conn net.Conn) string {
	conn.SetReadDeadline(time.Now().Add(dialLimit))
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

// leavers is how many callers leave in the middle of a stream.
const leavers = 20

// leave asks for long streams and closes each after its first bytes. That the
// engines hold nothing of them afterwards is for the caller to see.
func (s *Stranger) leave(ctx context.Context) string {
	var all sync.WaitGroup
	defer all.Wait()
	for range leavers {
		all.Go(func() {
			conn, err := s.dial(ctx)
			if err != nil {
				return
			}
			defer conn.Close()
			conn.SetDeadline(time.Now().Add(answerLimit))
			io.WriteString(conn, s.post(s.good(slowAnswer)))
			conn.Read(make([]byte, 1))
		})
	}
	return "left"
}

// idle opens connections that send nothing, and asks for an answer beside
// them.
func (s *Stranger) idle(ctx context.Context) string {
	for range s.config.Idle {
		conn, err := s.dial(ctx)
		if err != nil {
			return "no-connection"
		}
		defer conn.Close()
	}
	return s.raw(ctx, s.post(s.good(4)))
}

// floodTokens is the length of a prompt of the flood.
const floodTokens = 1_000_000

// flood sends many of the longest prompts at once. Each must be answered, or
// refused with a status.
func (s *Stranger) flood(ctx context.Context) string {
	const end = `"}`
	prompt := strings.Repeat("abcd", floodTokens-4)
	var mu sync.Mutex
	var all sync.WaitGroup
	got := map[string]int{}
	for i := range s.config.Flood {
		all.Go(func() {
			start := fmt.Sprintf(`{"model":%q,"max_tokens":4,"prompt":"%016d`, s.config.Model, i)
			length := len(start) + len(prompt) + len(end)
			status := s.raw(ctx, s.head(fmt.Sprintf("Content-Length: %d", length))+start, prompt, end)
			mu.Lock()
			defer mu.Unlock()
			got[status]++
		})
	}
	all.Wait()
	fmt.Printf("result=flood sent=%d answered=%d refused=%d other=%d\n", s.config.Flood, got["200"], got["503"], s.config.Flood-got["200"]-got["503"])
	if got["200"]+got["503"] == s.config.Flood && got["200"] > 0 {
		return "all-answered-or-refused"
	}
	return "lost"
}
