package exchanger

import (
	"fmt"
	"net"
	"net/netip"
	"sync"

	"golang.org/x/sys/unix"
)

// receiveBuffer is the size that the kernel is asked for to keep datagrams that have not been
// read, in bytes: those of a cell of 48 entries in several receiveIntervals.
const receiveBuffer = 512 << 10

// socket is a UDP socket that no poller watches: datagrams that arrive wake nobody, until
// somebody reads them. It is safe for concurrent use.
type socket struct {
	mu sync.RWMutex // held for writing while the socket is closed
	fd int          // negative after close
}

// openSocket returns a socket that is bound to an IPv4 address.
func openSocket(address netip.AddrPort) (*socket, error) {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_DGRAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, fmt.Errorf("exchanger: open a socket: %w", err)
	}
	// The kernel's own size serves too, with more losses after a suspension.
	_ = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBuffer)
	if err := unix.Bind(fd, sockaddr(address)); err != nil {
		_ = unix.Close(fd)
		return nil, fmt.Errorf("exchanger: bind %v: %w", address, err)
	}
	return &socket{fd: fd}, nil
}

func sockaddr(a netip.AddrPort) *unix.SockaddrInet4 {
	return &unix.SockaddrInet4{Port: int(a.Port()), Addr: a.Addr().Unmap().As4()}
}

// write sends a datagram to an IPv4 address. It does not wait for room in the socket.
func (s *socket) write(data []byte, to netip.AddrPort) error {
	if !to.Addr().Unmap().Is4() {
		return net.InvalidAddrError(to.String())
	}
	s.mu.RLock()
	defer s.mu.RUnlock()
	if s.fd < 0 {
		return net.ErrClosed
	}
	return unix.Sendto(s.fd, data, 0, sockaddr(to))
}

// read reads the next datagram that has arrived into a buffer. It returns unix.EAGAIN if
// there is none, and net.ErrClosed after close.
func (s *socket) read(buffer []byte) (int, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if s.fd < 0 {
		return 0, net.ErrClosed
	}
	n, _, err := unix.Recvfrom(s.fd, buffer, 0)
	return n, err
}

// close closes the socket. It may be called more than once.
func (s *socket) close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fd < 0 {
		return nil
	}
	fd := s.fd
	s.fd = -1
	return unix.Close(fd)
}
