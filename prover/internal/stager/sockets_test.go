package stager

import (
	"net"
	"os"
	"testing"

	"github.com/matryer/is"
)

func TestSocketIsFoundByItsProcess(t *testing.T) {
	is := is.New(t)
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	caller, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", listener.Addr().String())
	is.NoErr(err)
	defer caller.Close()
	inode, err := socket(caller.LocalAddr(), caller.RemoteAddr())
	is.NoErr(err)
	is.True(holds(os.Getpid(), inode))
	is.True(!holds(os.Getppid(), inode))
	nobody := &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 1}
	_, err = socket(nobody, nobody)
	is.True(err != nil)
}
