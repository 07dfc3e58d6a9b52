package launcher

import (
	"encoding/binary"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"syscall"
)

// Layout of the request for one socket to the kernel (struct inet_diag_req_v2
// after a netlink header), and the offset of the inode in the reply.
const (
	netlinkSockDiag  = 4
	sockDiagByFamily = 20
	headerBytes      = 16
	requestBytes     = 56
	inodeOffset      = headerBytes + 68
	noCookie         = 0xffffffff
)

// socketInode returns the inode of the TCP socket over IPv4 with the given local
// and remote address. It is an error if there is no such socket.
func socketInode(local, remote net.Addr) (uint32, error) {
	from, localTCP := local.(*net.TCPAddr)
	to, remoteTCP := remote.(*net.TCPAddr)
	if !localTCP || !remoteTCP || from.IP.To4() == nil || to.IP.To4() == nil {
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
	response := make([]byte, os.Getpagesize())
	n, _, err := syscall.Recvfrom(fd, response, 0)
	if err != nil {
		return 0, err
	}
	if n < inodeOffset+4 || binary.NativeEndian.Uint16(response[4:]) != sockDiagByFamily {
		return 0, fmt.Errorf("launcher: no socket from %v to %v", local, remote)
	}
	return binary.NativeEndian.Uint32(response[inodeOffset:]), nil
}

// diagRequest returns the netlink message that asks for the socket between two
// addresses.
func diagRequest(from, to *net.TCPAddr) []byte {
	request := make([]byte, headerBytes+requestBytes)
	binary.NativeEndian.PutUint32(request, uint32(len(request)))
	binary.NativeEndian.PutUint16(request[4:], sockDiagByFamily)
	binary.NativeEndian.PutUint16(request[6:], syscall.NLM_F_REQUEST)
	body := request[headerBytes:]
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
	return request
}

// hasSocket reports whether a process has a socket open.
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
