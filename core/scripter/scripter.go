// Package scripter is a stand-in of an HTTP/1.1 server that writes given bytes as answers, sound
// or broken, as soon as it has read the head of a request.
//
// # Usage
//
//	s, err := scripter.Start(scripter.Config{Answer: scripter.Fixed("HTTP/1.1 000 x\r\n\r\n"), Ending: scripter.Reset})
//	defer s.Close()
//	response, err := http.Get("http://" + s.Address())
package scripter

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Ending is how a server ends a connection after its answer.
type Ending int

// Endings of connections.
const (
	ReadThenClose   Ending = iota // reads the rest of the request, then closes
	Reset                         // resets the connection once the client's kernel has the answer
	CloseUnread                   // the same by a close while bytes of the request are unread
	HalfClose                     // closes its own direction and reads on until the client closes
	HalfCloseUnread               // closes its own direction and reads no more
	KeepUnread                    // keeps the connection and reads no more
	Continue                      // reads the rest of the request and answers the next one
)

// Config describes a Server.
type Config struct {
	Answer func(r *http.Request) string // bytes of the answer to a request; "" closes the connection
	Ending Ending
	Delay  time.Duration // between the answer and the ending
}

// Fixed returns an Answer of Config that is the same for all requests.
func Fixed(text string) func(*http.Request) string {
	return func(*http.Request) string { return text }
}

// Server answers one request on each connection, or with Continue all of them. It is safe for
// concurrent use.
type Server struct {
	config   Config
	listener net.Listener
	closing  chan struct{}
	close    func() error
}

// Start starts a server at a free port of the loopback interface. The errors are those of
// listening.
func Start(config Config) (*Server, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0") //nolint:noctx // it ends with Close
	if err != nil {
		return nil, err
	}
	s := &Server{config: config, listener: l, closing: make(chan struct{})}
	s.close = sync.OnceValue(func() error {
		close(s.closing)
		return l.Close()
	})
	go s.accept()
	return s, nil
}

// Address returns the IP:PORT at which the server listens.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Close stops listening and closes the connections that are kept unread.
func (s *Server) Close() error { return s.close() }

func (s *Server) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.serve(c.(*net.TCPConn))
	}
}

// serve answers the requests of one connection.
func (s *Server) serve(c *net.TCPConn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for s.answer(c, reader) {
	}
}

// answer answers one request and reports whether the next one is answered too. Errors mean
// that the client has closed the connection, which is for the client to tell.
func (s *Server) answer(c *net.TCPConn, reader *bufio.Reader) bool {
	r, err := http.ReadRequest(reader)
	if err != nil {
		return false
	}
	text := s.config.Answer(r)
	if _, err := io.WriteString(c, text); err != nil || text == "" {
		return false
	}
	time.Sleep(s.config.Delay)
	switch s.config.Ending {
	case Continue:
		_, err := io.Copy(io.Discard, r.Body)
		return err == nil
	case ReadThenClose:
		_, _ = io.Copy(io.Discard, r.Body)
	case Reset:
		AwaitSent(c)
		_ = c.SetLinger(0)
	case CloseUnread:
		awaitBytes(c)
		AwaitSent(c)
	case HalfClose:
		_ = c.CloseWrite()
		_, _ = io.Copy(io.Discard, c)
	case HalfCloseUnread:
		_ = c.CloseWrite()
		<-s.closing
	case KeepUnread:
		<-s.closing
	}
	return false
}

// sendTimeout is the longest time that AwaitSent waits.
const sendTimeout = 2 * time.Second

// AwaitSent waits until the client's kernel has all that was sent: what it has not is lost with
// a reset.
func AwaitSent(c *net.TCPConn) {
	raw, err := c.SyscallConn()
	for end := time.Now().Add(sendTimeout); err == nil && time.Now().Before(end); time.Sleep(time.Millisecond) {
		left := 0
		err = raw.Control(func(fd uintptr) { left, _ = unix.IoctlGetInt(int(fd), unix.TIOCOUTQ) })
		if left == 0 {
			return
		}
	}
}

// awaitBytes waits until bytes can be read, and does not read them. Without them the kernel
// would send an ordinary end.
func awaitBytes(c *net.TCPConn) {
	raw, err := c.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Read(func(fd uintptr) bool { // it fails only if the connection is closed
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return !errors.Is(err, syscall.EAGAIN)
	})
}
