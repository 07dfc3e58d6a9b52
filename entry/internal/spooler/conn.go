package spooler

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"bamboohill/core/tallier"

	"golang.org/x/sys/unix"
)

// Errors of writes and of Wait.
var (
	// ErrUnread means that the caller took nothing for too long while the buffer was full.
	ErrUnread = errors.New("spooler: the caller reads too slowly")
	// ErrEvicted means that the connection gave way because memory is short.
	ErrEvicted = errors.New("spooler: memory is short and the caller has read nothing for the longest time")
	// ErrDeadline means that the caller had not taken everything at its deadline.
	ErrDeadline = errors.New("spooler: the caller had not read the answer at its deadline")
)

// Conn is a connection to a caller. Its methods are safe for concurrent use.
type Conn struct {
	net.Conn // hides the ReadFrom of tcp, which would bypass Write
	tcp      *net.TCPConn
	config   *Config
	raw      syscall.RawConn

	writing sync.Mutex // one Write at a time
	try     attempt

	mu         sync.Mutex
	share      *tallier.Share
	deadline   time.Time // until which bytes are written; zero if none was set
	blocks     [][]byte  // bytes that are kept, in order
	kept       int       // number of bytes in blocks and in the block that is being written
	draining   bool      // drain runs; nothing else writes
	err        error     // of the first failure
	changed    chan struct{}
	closed     bool
	closeWrite bool
}

// attempt is one direct write. It is kept in Conn, as a closure for each write would be
// garbage.
type attempt struct {
	p   []byte
	n   int
	err error
	run func(fd uintptr) bool
}

func newConn(tcp *net.TCPConn, config *Config) (net.Conn, error) {
	raw, err := tcp.SyscallConn()
	if err != nil {
		return nil, errors.Join(err, tcp.Close())
	}
	if err := tcp.SetWriteBuffer(config.KernelBytes); err != nil {
		return nil, errors.Join(err, tcp.Close())
	}
	c := &Conn{Conn: tcp, tcp: tcp, config: config, raw: raw}
	c.share = config.Tallier.OpenEvictable("", tallier.Unread, c.evict)
	c.try.run = func(fd uintptr) bool {
		c.try.n, c.try.err = syscall.Write(int(fd), c.try.p)
		return true // also if the kernel takes nothing now
	}
	return c, nil
}

// Begin sets the client account of the request that begins, and until when bytes are written
// to the caller. Bytes that are still kept stay with the account of the request before.
func (c *Conn) Begin(account string, deadline time.Time) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = deadline
	if c.kept == 0 {
		c.share.Close()
		c.share = c.config.Tallier.OpenEvictable(account, tallier.Unread, c.evict)
	}
}

// Write implements net.Conn. It returns once the bytes are with the kernel or kept.
func (c *Conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	done := 0
	c.mu.Lock()
	direct, err := !c.draining, c.err
	c.mu.Unlock()
	if err != nil {
		return 0, err
	}
	if direct {
		n, err := c.writeNow(p)
		if n == len(p) || err != nil {
			return n, err
		}
		done = n
	}
	for done < len(p) {
		n, err := c.keep(p[done:])
		if done += n; err != nil {
			return done, err
		}
	}
	return done, nil
}

// writeNow writes what the kernel takes without waiting.
func (c *Conn) writeNow(p []byte) (int, error) {
	done := 0
	for done < len(p) {
		c.try.p = p[done:]
		if err := c.raw.Write(c.try.run); err != nil {
			return done, err
		}
		switch {
		case c.try.err == nil:
			done += c.try.n
		case errors.Is(c.try.err, syscall.EINTR):
		case errors.Is(c.try.err, syscall.EAGAIN):
			return done, nil
		default:
			return done, &net.OpError{Op: "write", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: c.try.err}
		}
	}
	return done, nil
}

// keep keeps the first bytes of p, at most as many as one block takes, and returns how many.
// It waits for room.
func (c *Conn) keep(p []byte) (int, error) {
	c.mu.Lock()
	for c.err == nil && c.kept >= c.config.Buffer {
		if err := c.awaitRoom(); err != nil {
			c.mu.Unlock()
			return 0, err
		}
	}
	if c.err != nil {
		defer c.mu.Unlock()
		return 0, c.err
	}
	if n := len(c.blocks); n > 0 && len(c.blocks[n-1]) < blockBytes {
		defer c.mu.Unlock()
		return c.fill(n-1, p), nil
	}
	share := c.share
	c.mu.Unlock()
	if !share.Extend(blockBytes) { // may evict this connection or others
		c.evict()
		return 0, ErrEvicted
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil {
		share.Release(blockBytes)
		return 0, c.err
	}
	c.blocks = append(c.blocks, make([]byte, 0, blockBytes))
	n := c.fill(len(c.blocks)-1, p)
	if !c.draining {
		c.draining = true
		if c.config.Stalled != nil {
			c.config.Stalled()
		}
		go c.drain()
	}
	return n, nil
}

// fill appends the first bytes of p to a block. The caller holds the lock.
func (c *Conn) fill(block int, p []byte) int {
	b := c.blocks[block]
	n := min(len(p), blockBytes-len(b))
	c.blocks[block] = append(b, p[:n]...)
	c.kept += n
	return n
}

// awaitRoom waits until there may be room. It fails if the caller takes nothing for the
// patience of the configuration. The caller holds the lock.
func (c *Conn) awaitRoom() error {
	changed := c.change()
	c.mu.Unlock()
	before := c.untaken()
	timer := time.NewTimer(c.config.Patience)
	defer timer.Stop()
	select {
	case <-changed:
		c.mu.Lock()
		return nil
	case <-timer.C:
		after := c.untaken()
		c.mu.Lock()
		if after < before {
			return nil // it reads, but less than the kernel waits for before it takes more
		}
		c.fail(ErrUnread)
		return c.err
	}
}

// untaken returns the number of bytes with the kernel that the caller's side has not
// acknowledged, 0 if the connection has ended.
func (c *Conn) untaken() int {
	n := 0
	err := c.raw.Control(func(fd uintptr) {
		n, _ = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) // 0 on an error
	})
	if err != nil {
		return 0
	}
	return n
}

// change returns a channel that is closed at the next progress or failure. The caller holds
// the lock.
func (c *Conn) change() chan struct{} {
	if c.changed == nil {
		c.changed = make(chan struct{})
	}
	return c.changed
}

// announce closes the channel of change. The caller holds the lock.
func (c *Conn) announce() {
	if c.changed != nil {
		close(c.changed)
		c.changed = nil
	}
}

// drain writes what is kept. It ends once nothing is, or at the first failure.
func (c *Conn) drain() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.err == nil && len(c.blocks) > 0 {
		b, share := c.blocks[0], c.share
		c.blocks = c.blocks[1:]
		c.mu.Unlock()
		_, err := c.tcp.Write(b)
		share.Release(blockBytes)
		c.mu.Lock()
		if err != nil {
			c.fail(err)
			return
		}
		c.kept -= len(b)
		c.announce()
	}
	c.draining, c.blocks = false, nil
	switch {
	case c.err != nil:
	case c.closed:
		_ = c.tcp.Close() // all bytes are with the kernel
	case c.closeWrite:
		_ = c.tcp.CloseWrite() // an error means that the connection has ended
	}
}

// Close implements net.Conn. The bytes that are kept are still written, until the deadline
// of the last request.
func (c *Conn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil || !c.draining {
		c.share.Close()
		return c.tcp.Close()
	}
	c.closed = true
	end := c.deadline
	if end.IsZero() {
		end = time.Now().Add(c.config.EndTime)
	}
	return errors.Join(c.tcp.CloseRead(), c.tcp.SetWriteDeadline(end))
}

// CloseWrite closes the sending side once everything that is kept has been written.
func (c *Conn) CloseWrite() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err == nil && c.draining {
		c.closeWrite = true
		return nil
	}
	return c.tcp.CloseWrite()
}

// Wait waits until the caller has taken what was kept, as far as the kernel can tell. If ctx
// ends before, the connection is reset, and the error is ErrDeadline or that of ctx.
func (c *Conn) Wait(ctx context.Context) error {
	if c == nil {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.err == nil && c.draining && c.kept > 0 {
		changed := c.change()
		c.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			c.mu.Lock()
			c.fail(ctx.Err())
			c.mu.Unlock()
		}
		c.mu.Lock()
	}
	return c.err
}

// Reset resets the connection and drops what is kept, so that an answer without length or
// chunks that is incomplete does not look complete.
func (c *Conn) Reset() {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fail(net.ErrClosed)
}

// evict resets the connection, which gives way at the bound of all bytes.
func (c *Conn) evict() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fail(ErrEvicted)
}

// fail resets the connection and drops what is kept. The first error stays. The caller holds
// the lock.
func (c *Conn) fail(err error) {
	if c.err != nil {
		return
	}
	c.err = err
	if errors.Is(err, context.DeadlineExceeded) {
		c.err = ErrDeadline
	}
	c.blocks, c.kept = nil, 0
	c.share.Close()
	c.announce()
	_ = c.tcp.SetLinger(0) // an incomplete answer must not look complete
	_ = c.tcp.Close()      // what is left is of no use
}
