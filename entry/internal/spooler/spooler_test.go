package spooler_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"testing"
	"time"

	"bamboohill/core/tallier"
	"bamboohill/entry/internal/spooler"

	"github.com/matryer/is"
)

// connect returns both ends of a connection; the caller's has a small receive buffer.
func connect(t *testing.T, config spooler.Config) (*spooler.Conn, net.Conn) {
	t.Helper()
	is := is.New(t)
	raw, err := net.Listen("tcp4", "127.0.0.1:0") //nolint:noctx // it ends with the test
	is.NoErr(err)
	defer raw.Close()
	caller, err := net.Dial("tcp4", raw.Addr().String()) //nolint:noctx // it ends with the test
	is.NoErr(err)
	is.NoErr(caller.(*net.TCPConn).SetReadBuffer(32 << 10))
	c, err := spooler.Listen(raw, config).Accept()
	is.NoErr(err)
	t.Cleanup(func() { _, _ = caller.Close(), c.Close() }) // the test may have closed them
	return c.(*spooler.Conn), caller
}

// text returns n bytes in which each part can be told from the others.
func text(n int) []byte {
	var b bytes.Buffer
	for i := 0; b.Len() < n; i++ {
		fmt.Fprintf(&b, "%d,", i)
	}
	return b.Bytes()[:n]
}

// TestOrder checks that all bytes arrive once and in their order, whatever the sizes and
// pauses of writes and reads are.
func TestOrder(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			y := tallier.New(tallier.Config{})
			c, caller := connect(t, spooler.Config{Tallier: y})
			want := text(1 << 20)
			go func() {
				random := rand.New(rand.NewPCG(seed, 1))
				for p := want; len(p) > 0; {
					n := min(len(p), 1+random.IntN(20000))
					if _, err := c.Write(p[:n]); err != nil {
						t.Error(err)
					}
					p = p[n:]
				}
				if err := c.Close(); err != nil {
					t.Error(err)
				}
			}()
			random := rand.New(rand.NewPCG(seed, 2))
			var got bytes.Buffer
			for {
				if random.IntN(20) == 0 {
					time.Sleep(time.Duration(random.IntN(20)) * time.Millisecond)
				}
				_, err := io.CopyN(&got, caller, 1+random.Int64N(30000))
				if errors.Is(err, io.EOF) {
					break
				}
				is.NoErr(err)
			}
			is.True(bytes.Equal(got.Bytes(), want))
			is.Equal(y.Counts().ByKind[tallier.Unread], int64(0))
		})
	}
}

// TestUnreadTooLong checks that a write at a full buffer fails after the patience of the
// configuration, that the caller sees the answer cut, and that nothing stays held.
func TestUnreadTooLong(t *testing.T) {
	is := is.New(t)
	y := tallier.New(tallier.Config{})
	const patience = 200 * time.Millisecond
	c, caller := connect(t, spooler.Config{Tallier: y, Buffer: 64 << 10, Patience: patience})
	began := time.Now()
	_, err := c.Write(text(1 << 20))
	is.True(errors.Is(err, spooler.ErrUnread))
	is.True(time.Since(began) >= patience)
	is.Equal(y.Counts().ByKind[tallier.Unread], int64(0))
	_, err = c.Write([]byte("more"))
	is.True(errors.Is(err, spooler.ErrUnread))
	_, err = io.Copy(io.Discard, caller)
	is.True(err != nil) // reset
}

// TestSlowReaderIsNotCut checks that a full buffer does not end an answer whose caller reads
// on, however slowly.
func TestSlowReaderIsNotCut(t *testing.T) {
	is := is.New(t)
	c, caller := connect(t, spooler.Config{Tallier: tallier.New(tallier.Config{}), Buffer: 64 << 10, Patience: 400 * time.Millisecond})
	want := text(512 << 10)
	failed := make(chan error, 1)
	go func() {
		_, err := c.Write(want)
		failed <- errors.Join(err, c.Close())
	}()
	var got bytes.Buffer
	for {
		if _, err := io.CopyN(&got, caller, 32<<10); errors.Is(err, io.EOF) {
			break
		}
		time.Sleep(100 * time.Millisecond) // less than the patience
	}
	is.NoErr(<-failed)
	is.True(bytes.Equal(got.Bytes(), want))
}

// TestWait checks that Wait returns once everything is taken, and resets the connection at
// the deadline.
func TestWait(t *testing.T) {
	for name, reads := range map[string]bool{"read late": true, "not read": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			y := tallier.New(tallier.Config{})
			c, caller := connect(t, spooler.Config{Tallier: y})
			ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
			defer cancel()
			c.Begin("a", time.Now().Add(time.Second))
			want := text(400 << 10)
			_, err := c.Write(want)
			is.NoErr(err)
			is.True(y.Counts().ByKind[tallier.Unread] > 0)
			if reads {
				time.AfterFunc(200*time.Millisecond, func() { _, _ = io.CopyN(io.Discard, caller, int64(len(want))) })
			}
			err = c.Wait(ctx)
			is.Equal(err == nil, reads)
			is.Equal(errors.Is(err, spooler.ErrDeadline), !reads)
			is.Equal(y.Counts().ByKind[tallier.Unread], int64(0))
		})
	}
}

// TestClose checks what a caller reads of bytes that are kept when the connection is closed
// or its sending side is: all of them, then the end.
func TestClose(t *testing.T) {
	tests := map[string]func(*spooler.Conn) error{"both sides": (*spooler.Conn).Close, "sending side": (*spooler.Conn).CloseWrite}
	for name, end := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c, caller := connect(t, spooler.Config{Tallier: tallier.New(tallier.Config{})})
			want := text(400 << 10)
			_, err := c.Write(want)
			is.NoErr(err)
			is.NoErr(end(c))
			time.Sleep(50 * time.Millisecond)
			got, err := io.ReadAll(caller)
			is.NoErr(err)
			is.True(bytes.Equal(got, want))
		})
	}
}

// BenchmarkWrite compares a write to a caller that reads in time with one to a plain
// connection.
func BenchmarkWrite(b *testing.B) {
	for name, spooled := range map[string]bool{"plain": false, "spooled": true} {
		b.Run(name, func(b *testing.B) {
			raw, err := net.Listen("tcp4", "127.0.0.1:0") //nolint:noctx // it ends with the benchmark
			if err != nil {
				b.Fatal(err)
			}
			defer raw.Close()
			caller, err := net.Dial("tcp4", raw.Addr().String()) //nolint:noctx // it ends with the benchmark
			if err != nil {
				b.Fatal(err)
			}
			defer caller.Close()
			listener := raw
			if spooled {
				listener = spooler.Listen(raw, spooler.Config{Tallier: tallier.New(tallier.Config{Bound: 1 << 30})})
			}
			c, err := listener.Accept()
			if err != nil {
				b.Fatal(err)
			}
			defer c.Close()
			event, buffer := text(100), make([]byte, 100)
			b.ReportAllocs()
			for b.Loop() {
				if _, err := c.Write(event); err != nil {
					b.Fatal(err)
				}
				if _, err := io.ReadFull(caller, buffer); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
