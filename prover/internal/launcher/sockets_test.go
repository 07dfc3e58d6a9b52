package launcher

import (
	"net"
	"os"
	"testing"

	"github.com/matryer/is"
)

func TestSocketOwner(t *testing.T) {
	is := is.New(t)
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	caller, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", listener.Addr().String())
	is.NoErr(err)
	defer caller.Close()
	inode, err := socketInode(caller.LocalAddr(), caller.RemoteAddr())
	is.NoErr(err)
	is.True(hasSocket(os.Getpid(), inode))
	is.True(!hasSocket(os.Getppid(), inode))
	nobody := &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 1}
	_, err = socketInode(nobody, nobody)
	is.True(err != nil)
}
