package connector

import (
	"bufio"
	"context"
	"fmt"
	"hash/maphash"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"bamboohill/core/verifier"
)

// Defaults of Config.
const (
	defaultDialTimeout = 400 * time.Millisecond // several round trips between failure domains, but less than the retransmission of a lost SYN
	defaultIdleTimeout = 4 * time.Second        // servers close idle connections after a few seconds
	defaultMaxIdle     = 16                     // number of requests that a server runs concurrently
)

// TCP keep-alive probes and user timeout. A dead host is detected in two seconds,
// before callers abandon a stream that has stalled.
const (
	probeIdle     = time.Second
	probeInterval = 500 * time.Millisecond
	probeCount    = 2
	maxUnacked    = 2 * time.Second
)

// kernelBytes is the size of the kernel's send buffer of a connection, which Linux doubles.
// It counts towards the memory of the process's VM, and what a server does not take beyond
// it stays in Send's write, where the process can tell.
const kernelBytes = 32 << 10

// tcpUserTimeout is the Linux socket option TCP_USER_TIMEOUT, which package
// syscall does not define.
const tcpUserTimeout = 0x12

// Config describes a Connector. Zero values mean the defaults.
type Config struct {
	DialTimeout time.Duration
	IdleTimeout time.Duration // used unless the server announces a shorter one
	MaxIdle     int           // maximum idle connections per server
}

// Error describes a request that received no answer.
type Error struct {
	Address string
	Sent    bool   // whether any byte of the request may have reached the server
	Phase   string // dial, write or read
	Err     error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("connector: %s %s: %v", e.Phase, e.Address, e.Err) }

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }

// conn is a connection to a server.
type conn struct {
	*verifier.Conn
	raw     net.Conn // below Conn
	reader  *bufio.Reader
	limiter *headLimiter // behind reader
	address string
	expires time.Time // end of the time in which it may be reused
	sent    []uint64  // hashes of the ids of the requests that were sent on it
	heads   bool      // one of them was a HEAD, whose answer announces a body and has none
}

// reset closes the connection without sending what the server has not received: a request
// that was given up would reach it later, on a path that was cut meanwhile.
func (k *conn) reset() {
	if tcp, ok := k.raw.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // it fails only if the connection is closed
	}
	_ = k.Close() // the exchange has failed
}

// maxSent is the number of requests after which a connection is not reused, as it keeps the
// ids of all of them. Its ids take less memory than its buffer.
const maxSent = 512

// has reports whether a request with the hash of an id was sent on the connection.
func (k *conn) has(id uint64) bool { return slices.Contains(k.sent, id) }

// Connector is an HTTP/1.1 client with a pool of idle connections. It is safe for
// concurrent use.
type Connector struct {
	config Config
	dialer net.Dialer
	seed   maphash.Seed // of the hashes of ids

	mu     sync.Mutex
	idle   map[string][]*conn
	opened int64
}

// New returns a Connector without connections.
func New(config Config) *Connector {
	if config.DialTimeout <= 0 {
		config.DialTimeout = defaultDialTimeout
	}
	if config.IdleTimeout <= 0 {
		config.IdleTimeout = defaultIdleTimeout
	}
	if config.MaxIdle <= 0 {
		config.MaxIdle = defaultMaxIdle
	}
	c := &Connector{config: config, seed: maphash.MakeSeed(), idle: map[string][]*conn{}}
	c.dialer = net.Dialer{
		Timeout:         config.DialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount},
		Control:         setOptions,
	}
	return c
}

// setOptions limits how long sent bytes may stay unacknowledged before the kernel closes the
// connection, and how many bytes the kernel holds that the server does not take.
func setOptions(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(maxUnacked.Milliseconds()))
		if failed == nil {
			failed = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, kernelBytes)
		}
	})
	if err != nil {
		return err
	}
	return failed
}

// Opened returns the number of connections opened so far.
func (c *Connector) Opened() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.opened
}

// get returns a connection for a request: an idle one, or a new one if there is none that
// the request may use.
func (c *Connector) get(ctx context.Context, address string, r Request) (*conn, error) {
	id := maphash.String(c.seed, r.ID)
	if !r.Fresh {
		usable := func(k *conn) bool { return r.AnyAnswer || !k.has(id) }
		if idle := c.takeIdle(address, time.Now(), usable); idle != nil {
			idle.sent = append(idle.sent, id)
			return idle, nil
		}
	}
	k, err := c.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	k.sent = append(k.sent, id)
	return k, nil
}

// dial opens a connection.
func (c *Connector) dial(ctx context.Context, address string) (*conn, error) {
	raw, err := c.dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	c.opened++
	c.mu.Unlock()
	verified := verifier.NewConn(raw)
	limiter := &headLimiter{reader: verified}
	return &conn{Conn: verified, raw: raw, reader: bufio.NewReaderSize(limiter, 8<<10), limiter: limiter, address: address}, nil
}

// Probe opens a connection to the address and closes it. The error is that of the
// dial.
func (c *Connector) Probe(ctx context.Context, address string) error {
	k, err := c.dial(ctx, address)
	if err != nil {
		return err
	}
	_ = k.Close() // nothing was sent on it
	return nil
}

// takeIdle removes and returns the usable idle connection to the address that was used
// last, or nil if none that can be reused is left. It closes those it finds unfit.
func (c *Connector) takeIdle(address string, now time.Time, usable func(*conn) bool) *conn {
	for {
		last := c.pop(address, usable)
		if last == nil || now.Before(last.expires) && isQuiet(last.raw) {
			return last
		}
		_ = last.Close() // no request is in progress on it
	}
}

// pop removes and returns the usable idle connection to the address that was used last, or
// nil if there is none.
func (c *Connector) pop(address string, usable func(*conn) bool) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[address]
	for i, k := range slices.Backward(list) {
		if !usable(k) {
			continue
		}
		c.idle[address] = slices.Delete(list, i, i+1)
		if len(c.idle[address]) == 0 {
			delete(c.idle, address)
		}
		return k
	}
	return nil
}

// put returns a connection to the pool. It closes the connection if maxSent requests were
// sent on it, or the pool already holds maxIdle connections to the server, or as many as Config allows. A
// maxIdle of 0 means the limit of Config.
func (c *Connector) put(k *conn, idle time.Duration, maxIdle int) {
	if maxIdle <= 0 {
		maxIdle = c.config.MaxIdle
	}
	k.expires = time.Now().Add(min(idle, c.config.IdleTimeout))
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(k.sent) >= maxSent || len(c.idle[k.address]) >= min(maxIdle, c.config.MaxIdle) {
		_ = k.Close() // it has served its time, or the pool of this server is full
		return
	}
	c.idle[k.address] = append(c.idle[k.address], k)
}

// Expire closes the idle connections that may not be reused at the given time.
func (c *Connector) Expire(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, list := range c.idle {
		kept := list[:0]
		for _, k := range list {
			if now.Before(k.expires) {
				kept = append(kept, k)
				continue
			}
			_ = k.Close() // no request is in progress on it
		}
		if len(kept) == 0 {
			delete(c.idle, address)
			continue
		}
		c.idle[address] = kept
	}
}

// isQuiet reports whether an idle connection is open and has received no bytes.
// Bytes received while it is idle belong to no request.
func isQuiet(k net.Conn) bool {
	sys, ok := k.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, failed := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = failed == syscall.EAGAIN
		return true
	})
	return err == nil && open
}
