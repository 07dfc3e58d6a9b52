package connector

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"
)

// Defaults of Config.
const (
	defaultDial = 400 * time.Millisecond // some round trips between failure domains, less than a lost SYN costs
	defaultIdle = 4 * time.Second        // servers close idle connections after some seconds
	defaultKept = 16                     // requests that a server runs at once
)

// Probes of a silent connection: a dead host is found in two seconds, within
// the pause after which callers give a stream up.
const (
	probeIdle     = time.Second
	probeInterval = 500 * time.Millisecond
	probeCount    = 2
	unackedMost   = 2 * time.Second
)

// tcpUserTimeout is the socket option of the same name on Linux, which package
// syscall lacks.
const tcpUserTimeout = 0x12

// Config describes a Connector. Zero values mean the defaults.
type Config struct {
	DialTimeout time.Duration
	IdleTimeout time.Duration // unless the server names a shorter one
	Kept        int           // idle connections per server
}

// Error is a request that got no answer.
type Error struct {
	Address string
	Sent    bool   // whether any byte of it may have reached the server
	Phase   string // dial, write, read
	Err     error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("connector: %s %s: %v", e.Phase, e.Address, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// conn is one connection.
type conn struct {
	net.Conn
	reader  *bufio.Reader
	address string
	until   time.Time // when it is too old to be used again
}

// Connector keeps connections. It is safe for concurrent use.
type Connector struct {
	config Config
	dialer net.Dialer

	mu     sync.Mutex
	idle   map[string][]*conn
	opened int64
}

// New returns a connector without connections.
func New(config Config) *Connector {
	if config.DialTimeout <= 0 {
		config.DialTimeout = defaultDial
	}
	if config.IdleTimeout <= 0 {
		config.IdleTimeout = defaultIdle
	}
	if config.Kept <= 0 {
		config.Kept = defaultKept
	}
	c := &Connector{config: config, idle: map[string][]*conn{}}
	c.dialer = net.Dialer{
		Timeout:         config.DialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount},
		Control:         limitUnacked,
	}
	return c
}

// limitUnacked bounds how long sent bytes stay unacknowledged.
func limitUnacked(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(unackedMost.Milliseconds()))
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

// get returns a connection that was used before, or a new one.
func (c *Connector) get(ctx context.Context, address string, fresh bool) (*conn, error) {
	if !fresh {
		if kept := c.takeIdle(address, time.Now()); kept != nil {
			return kept, nil
		}
	}
	raw, err := c.dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	c.opened++
	c.mu.Unlock()
	return &conn{Conn: raw, reader: bufio.NewReaderSize(raw, 8<<10), address: address}, nil
}

func (c *Connector) takeIdle(address string, now time.Time) *conn {
	for {
		c.mu.Lock()
		list := c.idle[address]
		if len(list) == 0 {
			delete(c.idle, address)
			c.mu.Unlock()
			return nil
		}
		last := list[len(list)-1]
		c.idle[address] = list[:len(list)-1]
		c.mu.Unlock()
		if now.Before(last.until) && quiet(last.Conn) {
			return last
		}
		_ = last.Close() // nothing is under way on it
	}
}

// put keeps a connection for another request, unless as many are kept already
// as the server bears from this process, or as the settings allow.
func (c *Connector) put(k *conn, idle time.Duration, most int) {
	if most <= 0 {
		most = c.config.Kept
	}
	k.until = time.Now().Add(min(idle, c.config.IdleTimeout))
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle[k.address]) >= min(most, c.config.Kept) {
		_ = k.Close() // one too many
		return
	}
	c.idle[k.address] = append(c.idle[k.address], k)
}

// Expire closes the connections that are too old to be used again.
func (c *Connector) Expire(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, list := range c.idle {
		kept := list[:0]
		for _, k := range list {
			if now.Before(k.until) {
				kept = append(kept, k)
				continue
			}
			_ = k.Close() // nothing is under way on it
		}
		if len(kept) == 0 {
			delete(c.idle, address)
			continue
		}
		c.idle[address] = kept
	}
}

// quiet reports whether an idle connection is open and nothing has arrived on
// it: whatever came would belong to no request.
func quiet(k net.Conn) bool {
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
