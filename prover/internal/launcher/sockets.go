package launcher

import (
	"encoding/binary"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"syscall"
)

// The kernel's question for one socket (struct inet_diag_req_v2 behind a
// netlink header) and the place of the inode in its answer.
const (
	netlinkSockDiag  = 4
	sockDiagByFamily = 20
	headerBytes      = 16
	requestBytes     = 56
	inodeOffset      = headerBytes + 68
	noCookie         = 0xffffffff
)

// socket returns the inode of the TCP socket over IPv4 with a local and a
// remote address.
func socketInode(local, remote net.Addr) (uint32, error) {
	from, one := local.(*net.TCPAddr)
	to, other := remote.(*net.TCPAddr)
	if !one || !other || from.IP.To4() == nil || to.IP.To4() == nil {
		return 0, fmt.Errorf("launcher: %v to %v is not TCP over IPv4", local, remote)
	}
	fd, err := syscall.Socket(syscall.AF_NETLINK, syscall.SOCK_DGRAM|syscall.SOCK_CLOEXEC, netlinkSockDiag)
	if err != nil {
		return 0, err
	}
	defer syscall.Close(fd)
	kernel := &syscall.SockaddrNetlink{Family: syscall.AF_NETLINK}
	if err := syscall.Sendto(fd, diagRequest(from, to), 0, kernel); err != nil {
		return 0, err
	}
	answer := make([]byte, os.Getpagesize())
	n, _, err := syscall.Recvfrom(fd, answer, 0)
	if err != nil {
		return 0, err
	}
	if n < inodeOffset+4 || binary.NativeEndian.Uint16(answer[4:]) != sockDiagByFamily {
		return 0, fmt.Errorf("launcher: no socket from %v to %v", local, remote)
	}
	return binary.NativeEndian.Uint32(answer[inodeOffset:]), nil
}

func diagRequest(from, to *net.TCPAddr) []byte {
	q := make([]byte, headerBytes+requestBytes)
	binary.NativeEndian.PutUint32(q, uint32(len(q)))
	binary.NativeEndian.PutUint16(q[4:], sockDiagByFamily)
	binary.NativeEndian.PutUint16(q[6:], syscall.NLM_F_REQUEST)
	body := q[headerBytes:]
	body[0] = syscall.AF_INET
	body[1] = syscall.IPPROTO_TCP
	binary.NativeEndian.PutUint32(body[4:], noCookie) // states: any
	id := body[8:]
	binary.BigEndian.PutUint16(id, uint16(from.Port))
	binary.BigEndian.PutUint16(id[2:], uint16(to.Port))
	copy(id[4:], from.IP.To4())
	copy(id[20:], to.IP.To4())
	binary.NativeEndian.PutUint32(id[40:], noCookie)
	binary.NativeEndian.PutUint32(id[44:], noCookie)
	return q
}

// holds reports whether a process has a socket open.
func hasSocket(pid int, inode uint32) bool {
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", pid))
	if err != nil {
		return false
	}
	link := fmt.Sprintf("socket:[%d]", inode)
	for _, name := range files {
		if text, err := os.Readlink(name); err == nil && text == link {
			return true
		}
	}
	return false
}
