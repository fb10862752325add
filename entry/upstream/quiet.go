package upstream

import (
	"net"
	"syscall"
)

// quiet reports whether a kept connection is open and has nothing to read. What
// a server sent without being asked belongs to no request, and the connection
// with it.
func quiet(opened net.Conn) bool {
	raw, is := opened.(syscall.Conn)
	if !is {
		return true
	}
	access, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = access.Read(func(descriptor uintptr) bool {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(descriptor), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = err == syscall.EAGAIN
		return true
	})
	return err == nil && open
}
