package relayer

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Mode is what a relay does with a connection's bytes.
type Mode int

// Cuts of a connection. DropRequests takes the connection and drops what the caller
// sends, so that it gets no answer and the target no request; DropResponses lets
// requests through and drops the answers; Reset ends the connection.
const (
	Pass Mode = iota
	DropRequests
	DropResponses
	Reset
)

// Times of a connection.
const (
	dialTimeout = 2 * time.Second
	modePoll    = 20 * time.Millisecond // between looks at a connection's cut
)

// bufferSize is how many bytes are passed on at once.
const bufferSize = 32 << 10

// Config describes a Relay. Pick names the target of a new connection; Cut,
// which may be nil, returns the question what to do with one connection now.
type Config struct {
	Pick func() (target string, found bool)
	Mode func(net.Conn) func() Mode
}

// Relay passes connections on.
type Relay struct {
	config  Config
	cut     atomic.Int64
	delay   atomic.Int64 // nanoseconds
	refused atomic.Int64

	mu   sync.Mutex
	sent map[string]int // connections by target
}

// errDropped ends a connection of which a cut has dropped bytes.
var errDropped = errors.New("relayer: bytes were dropped")

// FixedTarget returns a Pick of one target.
func FixedTarget(target string) func() (string, bool) {
	return func() (string, bool) { return target, true }
}

// New returns a relay that cuts nothing.
func New(config Config) *Relay {
	return &Relay{config: config, sent: map[string]int{}}
}

// SetMode sets what is done with every connection, open ones too.
func (r *Relay) SetMode(cut Mode) { r.cut.Store(int64(cut)) }

// SetDelay makes all bytes come so much later, those of open connections too.
func (r *Relay) SetDelay(d time.Duration) { r.delay.Store(int64(d)) }

// Counts returns the connections passed on by target, and how many found no
// target or one that refused them.
func (r *Relay) Counts() (sent map[string]int, refused int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	sent = map[string]int{}
	for target, n := range r.sent {
		sent[target] = n
	}
	return sent, int(r.refused.Load())
}

// Serve passes on what comes to a listener until it is closed.
func (r *Relay) Serve(listener net.Listener) error {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return err
		}
		go r.forward(conn.(*net.TCPConn))
	}
}

// modeOf returns the question what to do with a connection now.
func (r *Relay) modeOf(caller *net.TCPConn) func() Mode {
	own := func() Mode { return Pass }
	if r.config.Mode != nil {
		own = r.config.Mode(caller)
	}
	return func() Mode { return max(own(), Mode(r.cut.Load())) }
}

func (r *Relay) forward(caller *net.TCPConn) {
	defer caller.Close()
	cut := r.modeOf(caller)
	if cut() == Reset {
		caller.SetLinger(0)
		return
	}
	target, err := r.dial()
	if err != nil {
		r.refused.Add(1)
		caller.SetLinger(0)
		return
	}
	defer target.Close()
	done := make(chan error, 2)
	go func() { done <- r.copyUnless(target, caller, cut, DropRequests) }()
	go func() { done <- r.copyUnless(caller, target, cut, DropResponses) }()
	for range 2 {
		if err := <-done; err != nil {
			caller.SetLinger(0)
			target.SetLinger(0)
			return
		}
	}
}

func (r *Relay) dial() (*net.TCPConn, error) {
	address, found := r.config.Pick()
	if !found {
		return nil, net.ErrClosed
	}
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	r.mu.Lock()
	r.sent[address]++
	r.mu.Unlock()
	return conn.(*net.TCPConn), nil
}

// copyUnless passes bytes on until the source ends, which it tells the sink.
// While the cut is the given one it drops them instead, and once that is over
// a connection that lost some is ended.
func (r *Relay) copyUnless(sink, source *net.TCPConn, cut func() Mode, drop Mode) error {
	buffer := make([]byte, bufferSize)
	lost := false
	for {
		source.SetReadDeadline(time.Now().Add(modePoll))
		n, err := source.Read(buffer)
		now := cut()
		switch {
		case now == Reset || lost && now != drop:
			return errDropped
		case now == drop:
			lost = lost || n > 0
		case n > 0:
			time.Sleep(time.Duration(r.delay.Load()))
			if _, bad := sink.Write(buffer[:n]); bad != nil {
				return bad
			}
		}
		var slow net.Error
		if errors.As(err, &slow) && slow.Timeout() {
			continue
		}
		if err != nil {
			return closeSink(sink, err, lost)
		}
	}
}

// closeSink passes the closeSink of a source on; one that broke off breaks the sink too.
func closeSink(sink *net.TCPConn, err error, lost bool) error {
	if lost {
		return errDropped
	}
	if !errors.Is(err, io.EOF) {
		return err
	}
	return sink.CloseWrite()
}
