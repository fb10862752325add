package upstream

import (
	"net"
	"syscall"
)

// idleState is the state of a connection that no request uses.
type idleState uint8

// States of an idle connection.
const (
	// idleReusable means that the connection is open and has no data to read.
	idleReusable idleState = iota
	// idleClosed means that the server has closed or reset the connection.
	idleClosed
	// idleUnusable means that there is data to read, which would be taken for the response to the
	// next request, or that the connection can't be checked.
	idleUnusable
)

// checkIdle returns the state of a connection that no request uses. One that is no
// syscall.Conn can't be checked and counts as reusable.
func checkIdle(conn net.Conn) idleState {
	syscallConn, ok := conn.(syscall.Conn)
	if !ok {
		return idleReusable
	}
	rawConn, err := syscallConn.SyscallConn()
	if err != nil {
		return idleUnusable
	}
	state := idleClosed
	err = rawConn.Read(func(fd uintptr) bool {
		var buffer [1]byte
		count, _, err := syscall.Recvfrom(int(fd), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case err == syscall.EAGAIN:
			state = idleReusable
		case err == nil && count > 0:
			state = idleUnusable
		}
		// Read would wait for data after false.
		return true
	})
	if err != nil {
		return idleUnusable
	}
	return state
}
