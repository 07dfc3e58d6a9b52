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

// Modes of a connection. Pass forwards both directions. DropRequests accepts
// the connection and drops the caller's bytes: the target gets no request and
// the caller no answer. DropResponses forwards requests and drops the target's
// bytes. Reset closes the connection with a TCP reset. A higher mode overrides a
// lower one.
const (
	Pass Mode = iota
	DropRequests
	DropResponses
	Reset
)

// Times of one connection.
const (
	dialTimeout = 2 * time.Second
	modePoll    = 20 * time.Millisecond // interval at which an idle connection checks its mode
)

// bufferSize is the largest number of bytes forwarded in one write.
const bufferSize = 32 << 10

// Config describes a Relay. Pick returns the address of the target of a new
// connection, or false if there is none. Mode returns a function that returns
// the current mode of one connection; if Mode is nil, only Relay.SetMode counts.
type Config struct {
	Pick func() (target string, found bool)
	Mode func(net.Conn) func() Mode
}

// Relay forwards connections. It is safe for concurrent use.
type Relay struct {
	config  Config
	mode    atomic.Int64
	delay   atomic.Int64 // nanoseconds before each write
	refused atomic.Int64

	mu   sync.Mutex
	sent map[string]int // connections by target
}

// errDropped closes a connection that has lost bytes in a drop mode.
var errDropped = errors.New("relayer: bytes were dropped")

// FixedTarget returns a Config.Pick that always returns target.
func FixedTarget(target string) func() (string, bool) {
	return func() (string, bool) { return target, true }
}

// New returns a relay in the mode Pass, without delay.
func New(config Config) *Relay {
	return &Relay{config: config, sent: map[string]int{}}
}

// SetMode sets the mode of all connections, including open ones. A connection
// for which Config.Mode returns a higher mode keeps that one.
func (r *Relay) SetMode(mode Mode) { r.mode.Store(int64(mode)) }

// SetDelay sets the delay of each write of all connections, including open ones.
func (r *Relay) SetDelay(d time.Duration) { r.delay.Store(int64(d)) }

// Counts returns the number of forwarded connections by target, and the number
// of connections for which there was no target or whose target refused them.
func (r *Relay) Counts() (sent map[string]int, refused int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	sent = map[string]int{}
	for target, n := range r.sent {
		sent[target] = n
	}
	return sent, int(r.refused.Load())
}

// Serve forwards the connections of listener. It returns the error of Accept
// when the listener is closed.
func (r *Relay) Serve(listener net.Listener) error {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return err
		}
		go r.forward(conn.(*net.TCPConn))
	}
}

// modeOf returns a function that returns the current mode of a connection: the
// higher one of its own and the relay's.
func (r *Relay) modeOf(caller *net.TCPConn) func() Mode {
	own := func() Mode { return Pass }
	if r.config.Mode != nil {
		own = r.config.Mode(caller)
	}
	return func() Mode { return max(own(), Mode(r.mode.Load())) }
}

// forward copies bytes between caller and a target until both directions have
// ended or one has failed.
func (r *Relay) forward(caller *net.TCPConn) {
	defer caller.Close()
	mode := r.modeOf(caller)
	if mode() == Reset {
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
	go func() { done <- r.copyUnless(target, caller, mode, DropRequests) }()
	go func() { done <- r.copyUnless(caller, target, mode, DropResponses) }()
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

// copyUnless copies bytes from source to sink until source ends, and then closes
// the sink for writing. While the connection's mode equals drop, it discards the
// bytes instead. It returns errDropped if the mode changes after bytes were
// discarded, so that no caller sees a stream with a gap.
func (r *Relay) copyUnless(sink, source *net.TCPConn, mode func() Mode, drop Mode) error {
	buffer := make([]byte, bufferSize)
	dropped := false
	for {
		source.SetReadDeadline(time.Now().Add(modePoll))
		n, err := source.Read(buffer)
		now := mode()
		switch {
		case now == Reset || dropped && now != drop:
			return errDropped
		case now == drop:
			dropped = dropped || n > 0
		case n > 0:
			time.Sleep(time.Duration(r.delay.Load()))
			if _, writeErr := sink.Write(buffer[:n]); writeErr != nil {
				return writeErr
			}
		}
		var timeout net.Error
		if errors.As(err, &timeout) && timeout.Timeout() {
			continue
		}
		if err != nil {
			return closeSink(sink, err, dropped)
		}
	}
}

// closeSink closes the sink for writing if its source ended with io.EOF. It
// returns an error if bytes were dropped or if the source ended otherwise.
func closeSink(sink *net.TCPConn, err error, dropped bool) error {
	if dropped {
		return errDropped
	}
	if !errors.Is(err, io.EOF) {
		return err
	}
	return sink.CloseWrite()
}
