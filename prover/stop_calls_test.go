package prover

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"syscall"
	"time"
)

// stopCall is one request of the soak of stops and what its caller saw.
type stopCall struct {
	id, method, path, body string
	lines                  string // further lines of its header
	stream                 bool
	runs                   int // at most, that its route allows
	events                 int // of its stream
	limit                  time.Duration
	uploadPause            time.Duration // before its last byte
	uploadParts            int           // of equal size, with a pause between each two; the last byte alone if 0
	readPause              time.Duration // after the head of the answer
	number                 int           // among the requests of its caller
	sendsNext              bool          // the next request is sent once the head of the answer is read
	keptOpen               bool          // its connection has had a request before
	process                *stopProcess
	first, sent            time.Time // when the first and the last byte were written; sent is zero if that failed
	readable               time.Time // when the entry could read it: as it was sent, or as the answer before it had ended
	answered               time.Time // when the head of the answer was read; zero if none came
	ended                  time.Time // of the answer, or when the connection was found closed
	status                 int       // 0 if no head of an answer came
	header                 http.Header
	framed                 bool // the end of the answer can be told from a closed connection
	text                   string
	err                    error
}

// stopCaller sends one request after the other. By its number it has one entry or any that
// a balancer would use, and keeps its connection open until it is closed by the entry, or
// opens one for each request.
type stopCaller struct {
	soak   *stopSoak
	random *rand.Rand
	name   int

	conn    net.Conn // nil if there is none
	reader  *bufio.Reader
	process *stopProcess
	used    bool      // conn has had a request
	ahead   *stopCall // has been sent on conn before the answer to the one before it ended
}

func (c *stopCaller) callUntilEnded() (all []*stopCall) {
	defer c.hangUp()
	for n := 0; ; n++ {
		c.soak.mu.Lock()
		ended := c.soak.ended
		c.soak.mu.Unlock()
		if ended {
			return all
		}
		if c.soak.site.looks && c.conn != nil && c.ahead == nil && c.isClosed() {
			c.hangUp()
		}
		if c.conn == nil && !c.dial() {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		a := c.ahead
		if c.ahead = nil; a == nil {
			a = c.soak.site.draw(c, n)
		}
		a.number = n
		c.do(a)
		all = append(all, a)
		if a.err != nil || c.name%3 == 0 {
			c.hangUp()
		}
		time.Sleep(time.Duration(c.random.Int64N(int64(c.soak.site.think))))
	}
}

// dial connects to an entry. It reports whether the entry can be reached.
func (c *stopCaller) dial() bool {
	entry := c.name % len(c.soak.entries)
	if c.name%2 == 0 {
		entry = c.soak.pick(c.random)
	}
	p := c.soak.process(entry)
	conn, err := net.DialTimeout("tcp4", c.soak.entries[entry].callerAddress, time.Second) //nolint:noctx // it has a time limit
	if err != nil {
		return false
	}
	if p != c.soak.process(entry) {
		_ = conn.Close() // it belongs to one of two processes
		return false
	}
	c.conn, c.reader, c.process, c.used = conn, bufio.NewReader(conn), p, false
	return true
}

// isClosed reports whether the entry has closed the connection, on which no answer is due.
func (c *stopCaller) isClosed() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, err := c.conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	err = raw.Read(func(fd uintptr) bool {
		n, _, err := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		closed = n == 0 && err == nil || err != nil && !errors.Is(err, syscall.EAGAIN)
		return true
	})
	return closed || err != nil
}

func (c *stopCaller) hangUp() {
	if c.conn != nil {
		_ = c.conn.Close() // the entry may have closed it
		c.conn, c.ahead = nil, nil
	}
}

// next draws a request. A few are as large as the limits allow.
func (c *stopCaller) next(n int) *stopCall {
	random := c.random
	a := &stopCall{id: fmt.Sprintf("z%d-%d-%d", c.soak.seed, c.name, n), process: c.process, keptOpen: c.used}
	route := []string{"/chat/", "/chat/", "/tale/", "/book/", "/read/"}[random.IntN(5)]
	a.method, a.path, a.runs = http.MethodPost, route+"x", 1
	a.stream = route == "/chat/" || route == "/tale/"
	if route == "/chat/" || route == "/read/" {
		a.runs = 2
	}
	input, output := 500+random.IntN(2500), 10+random.IntN(110)
	share := 0.02 + 0.3*random.Float64()
	if random.IntN(c.soak.wholeRarity) == 0 {
		share = 1
	}
	a.events = max(1, int(float64(output)*share))
	a.body = fmt.Sprintf("%d %s", a.events, a.id)
	a.limit = plainTimeout
	if a.stream {
		a.limit = streamTimeout
		if random.IntN(30) == 0 {
			a.body, a.readPause = longBody+a.body, time.Duration(random.IntN(1000))*time.Millisecond
		}
		if random.IntN(20) == 0 {
			input = 20000 + random.IntN(30000)
		}
		a.lines += fmt.Sprintf("Token-Usage: %d,%d\r\nPrompt-Prefix: sys%d:400,own%s:%d\r\n", input, output, random.IntN(5), a.id, input-400)
	}
	if random.IntN(4) > 0 {
		own := min(a.limit, time.Duration(1000+random.IntN(9000))*time.Millisecond)
		a.limit = own
		a.lines += fmt.Sprintf("Deadline-Ms: %d\r\n", own.Milliseconds())
	}
	switch random.IntN(120) {
	case 0:
		a.body += strings.Repeat("b", stopBodyLimit-len(a.body))
	case 1, 2, 3:
		const others = 1000 // bytes of the other lines
		a.lines += "More: " + strings.Repeat("h", stopHeaderLimit-others-len(a.lines)) + "\r\n"
	case 4, 5, 6, 7, 8, 9:
		a.uploadPause = time.Duration(random.IntN(2000)) * time.Millisecond
	}
	return a
}

// errUnanswered is the error of a request that has no answer long after its time limit.
var errUnanswered = errors.New("no answer after its time limit")

// write sends a request.
func (c *stopCaller) write(a *stopCall) {
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: %s\r\nAuthorization: Token %s\r\nContent-Length: %d\r\n%s\r\n", a.method, a.path, a.id, keptKey, len(a.body), a.lines) + a.body
	c.used = true
	a.first = time.Now()
	c.setDeadline(a.first, a)
	if a.uploadPause > 0 {
		part := len(text) - 1
		if a.uploadParts > 0 && len(a.body) > a.uploadParts {
			_, a.err = io.WriteString(c.conn, text[:len(text)-len(a.body)])
			text, part = a.body, len(a.body)/a.uploadParts
		}
		for pauses := max(1, a.uploadParts-1); pauses > 0 && a.err == nil && len(text) > part; pauses-- {
			_, a.err = io.WriteString(c.conn, text[:part])
			text = text[part:]
			time.Sleep(a.uploadPause / time.Duration(max(1, a.uploadParts-1)))
		}
	}
	if a.err == nil {
		_, a.err = io.WriteString(c.conn, text)
	}
	if a.err == nil {
		a.sent = time.Now()
		a.readable = a.sent
	}
}

// setDeadline sets until when the answer to a request may come that began at a time.
func (c *stopCaller) setDeadline(began time.Time, a *stopCall) {
	const patience = 3 * time.Second                                      // after the time limit
	_ = c.conn.SetDeadline(began.Add(a.uploadPause + a.limit + patience)) // the connection is open
}

// do sends a request, unless it was sent ahead, and reads the answer. It goes on after one
// that asks to close the connection.
func (c *stopCaller) do(a *stopCall) {
	if a.sent.IsZero() {
		c.write(a)
	} else {
		a.readable = time.Now()
		c.setDeadline(a.readable, a)
	}
	writeError := a.err
	c.read(a)
	a.ended = time.Now()
	var timeout net.Error
	if errors.As(a.err, &timeout) && timeout.Timeout() {
		a.err = errUnanswered
	}
	if a.err == nil && writeError != nil {
		a.err = writeError // the connection is of no use
	}
}

// read reads the answer.
func (c *stopCaller) read(a *stopCall) {
	response, err := http.ReadResponse(c.reader, &http.Request{Method: a.method})
	if err != nil {
		a.err = err
		return
	}
	defer response.Body.Close()
	a.answered, a.status, a.header = time.Now(), response.StatusCode, response.Header
	a.framed = response.ContentLength >= 0 || len(response.TransferEncoding) > 0
	if a.sendsNext && !response.Close {
		c.ahead = c.soak.site.draw(c, a.number+1)
		c.ahead.id += "-ahead"
		c.write(c.ahead)
		c.setDeadline(a.first, a)
	}
	time.Sleep(a.readPause)
	text, err := io.ReadAll(response.Body)
	a.text, a.err = string(text), err
}

// pick returns an entry that a balancer would use: a ready one, or any if fewer than half
// are ready.
func (s *stopSoak) pick(random *rand.Rand) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	var ready []int
	for i, in := range s.in {
		if in {
			ready = append(ready, i)
		}
	}
	if 2*len(ready) < len(s.in) {
		return random.IntN(len(s.in))
	}
	return ready[random.IntN(len(ready))]
}

// balance checks once a second which entries are ready, until the soak ends. An entry is
// out after two failed checks.
func (s *stopSoak) balance() {
	failed := make([]int, len(s.entries))
	for {
		for i, e := range s.entries {
			if e.isReady() {
				failed[i] = 0
			} else {
				failed[i]++
			}
		}
		s.mu.Lock()
		for i, n := range failed {
			s.in[i] = n < 2
		}
		ended := s.ended
		s.mu.Unlock()
		if ended {
			return
		}
		time.Sleep(time.Second)
	}
}
