package upstream

import (
	"net"
	"syscall"
)

// isReusable reports whether an idle connection is open and has no data to read.
// Unsolicited data would be taken for the response to the next request. It reports
// true for a connection without a file descriptor, whose state can't be checked.
func isReusable(conn net.Conn) bool {
	syscallConn, ok := conn.(syscall.Conn)
	if !ok {
		return true
	}
	rawConn, err := syscallConn.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = rawConn.Read(func(descriptor uintptr) bool {
		var buffer [1]byte
		_, _, err := syscall.Recvfrom(int(descriptor), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = err == syscall.EAGAIN
		return true
	})
	return err == nil && open
}
