package upstream

import (
	"net"
	"syscall"
)

// isReusable reports whether a connection that no request uses is open and has no data
// to read: unsolicited data would be taken for the response to the next request. A
// connection that is no syscall.Conn can't be checked and counts as reusable.
func isReusable(conn net.Conn) bool {
	syscallConn, ok := conn.(syscall.Conn)
	if !ok {
		return true
	}
	rawConn, err := syscallConn.SyscallConn()
	if err != nil {
		return false
	}
	idle := false
	err = rawConn.Read(func(fd uintptr) bool {
		var buffer [1]byte
		_, _, err := syscall.Recvfrom(int(fd), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		// EAGAIN means that the connection is open and there is nothing to read. A
		// result without an error means that data has arrived or the server has closed it.
		idle = err == syscall.EAGAIN
		// Read would wait for data after false.
		return true
	})
	return err == nil && idle
}
