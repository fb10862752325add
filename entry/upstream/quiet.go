package upstream

import (
	"net"
	"syscall"
)

// isOpenAndEmpty reports whether an idle connection is open and has nothing to read. A
// connection with unsolicited data can't be reused: the data would be taken for
// the response to the next request.
func isOpenAndEmpty(conn net.Conn) bool {
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
