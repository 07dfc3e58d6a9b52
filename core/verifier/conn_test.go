package verifier_test

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"bamboohill/core/verifier"

	"github.com/matryer/is"
)

// uploadBytes is more than the kernel's buffers of a connection hold.
const uploadBytes = 16 << 20

// pair returns both ends of a connection. The test closes them.
func pair(t *testing.T) (near *verifier.Conn, far *net.TCPConn) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0") //nolint:noctx // it ends with the test
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	raw, err := net.Dial("tcp4", l.Addr().String()) //nolint:noctx // it ends with the test
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _ = raw.Close(), accepted.Close() }) // they may be closed already
	return verifier.NewConn(raw), accepted.(*net.TCPConn)
}

// endings are the ways in which a peer ends a connection after it has sent a part of an
// answer, and whether a reader may take that part for the whole.
var endings = map[string]struct {
	end   func(far *net.TCPConn)
	whole bool
}{
	"reset": {end: func(far *net.TCPConn) {
		_ = far.SetLinger(0) // it fails only if the connection is closed
		_ = far.Close()      // the error does not matter here
	}},
	"closed with unread bytes": {end: func(far *net.TCPConn) {
		_, _ = far.Read(make([]byte, 1))
		_ = far.Close()
	}},
	"ended": {whole: true, end: func(far *net.TCPConn) { _ = far.CloseWrite() }},
	"ended, then reset": {whole: true, end: func(far *net.TCPConn) {
		_ = far.CloseWrite()
		_ = far.SetLinger(0)
		_ = far.Close()
	}},
	"ended, then reset later": {whole: true, end: func(far *net.TCPConn) {
		_ = far.CloseWrite()
		time.Sleep(5 * time.Millisecond)
		_ = far.SetLinger(0)
		_ = far.Close()
	}},
}

// TestEndDuringWrite ends connections during a write, at various moments, and reads at once
// or only after the write has ended, where it ends.
func TestEndDuringWrite(t *testing.T) {
	const tries = 100
	for name, test := range endings {
		for order, late := range map[string]bool{"read at once": false, "read later": true} {
			t.Run(name+"/"+order, func(t *testing.T) {
				t.Parallel()
				for n := range tries {
					near, far := pair(t)
					var wait sync.WaitGroup
					wait.Go(func() { _, _ = near.Write(make([]byte, uploadBytes)) })
					wait.Go(func() {
						_, _ = io.WriteString(far, "part")
						time.Sleep(time.Duration(n%10) * 200 * time.Microsecond)
						test.end(far)
					})
					if late {
						time.Sleep(10 * time.Millisecond)
					}
					text, err := io.ReadAll(near)
					_ = near.Close() // ends the write
					wait.Wait()
					if string(text) != "part" || (err == nil) != test.whole {
						t.Errorf("try %d: read %q, error %v, want whole %v", n, text, err, test.whole)
					}
				}
			})
		}
	}
}

// TestWriteBuffers checks that reads learn of a reset that WriteBuffers has met.
func TestWriteBuffers(t *testing.T) {
	is := is.New(t)
	near, far := pair(t)
	_ = far.SetLinger(0) // it fails only if the connection is closed
	_ = far.Close()
	var err error
	for err == nil {
		_, err = near.WriteBuffers(&net.Buffers{make([]byte, 1), make([]byte, 1)})
	}
	is.True(errors.Is(err, syscall.ECONNRESET))
	_, err = near.Read(make([]byte, 1))
	var broken *verifier.BrokenError
	is.True(errors.As(err, &broken))
	is.True(errors.Is(err, syscall.ECONNRESET))
}

// TestEndInterruptsWrite checks that the end of the peer's direction ends a write that the
// peer does not read.
func TestEndInterruptsWrite(t *testing.T) {
	is := is.New(t)
	near, far := pair(t)
	written := make(chan error, 1)
	go func() {
		_, err := near.Write(make([]byte, uploadBytes))
		written <- err
	}()
	is.NoErr(far.CloseWrite())
	_, err := near.Read(make([]byte, 1))
	is.Equal(err, io.EOF)
	is.True(errors.Is(<-written, os.ErrDeadlineExceeded))
}

// TestDeadline checks that a read whose deadline has passed is not taken for the end.
func TestDeadline(t *testing.T) {
	is := is.New(t)
	near, _ := pair(t)
	is.NoErr(near.SetDeadline(time.Now()))
	_, err := near.Read(make([]byte, 1))
	is.True(errors.Is(err, os.ErrDeadlineExceeded))
}

// TestResetIsReportedAgain checks that a reset that a read has met is not followed by an end.
func TestResetIsReportedAgain(t *testing.T) {
	is := is.New(t)
	near, far := pair(t)
	_, err := io.WriteString(far, "part")
	is.NoErr(err)
	is.NoErr(far.SetLinger(0))
	is.NoErr(far.Close())
	text, err := io.ReadAll(near)
	is.Equal(string(text), "part")
	is.True(errors.Is(err, syscall.ECONNRESET))
	for range 3 {
		_, err = near.Read(make([]byte, 1))
		is.True(errors.Is(err, syscall.ECONNRESET))
	}
}
