package relay

import (
	"io"
	"net"
	"net/netip"

	"github.com/go-faster/errors"
)

// Protocol values and field sizes of RFC 1928 and, for authentication with a user name
// and a password, RFC 1929.
const (
	socksVersion     = 5
	methodPassword   = 2
	passwordVersion  = 1
	commandConnect   = 1
	addressTypeIPv4  = 1
	addressTypeIPv6  = 4
	replyOK          = 0
	replyNotAllowed  = 2
	replyRefused     = 5
	portBytes        = 2
	requestHeadBytes = 4 // version, command, reserved byte and address type
)

// connectRequest is the user name and the target address that a SOCKS client
// sends.
type connectRequest struct {
	user    string
	address string
}

// handshake performs the SOCKS handshake up to and including the client's request. It
// demands authentication, whose user name says where the client is, and ignores the
// password. It does not reply to the client's request; sendReply does.
func handshake(conn net.Conn) (connectRequest, error) {
	head := make([]byte, 2)
	if _, err := io.ReadFull(conn, head); err != nil || head[0] != socksVersion {
		return connectRequest{}, errors.New("read greeting: not a SOCKS5 client")
	}
	if _, err := io.ReadFull(conn, make([]byte, head[1])); err != nil {
		return connectRequest{}, errors.New("read authentication methods: connection ended")
	}
	if _, err := conn.Write([]byte{socksVersion, methodPassword}); err != nil {
		return connectRequest{}, err
	}
	if _, err := io.ReadFull(conn, head[:1]); err != nil {
		return connectRequest{}, errors.New("read user name: connection ended")
	}
	user, err := readString(conn)
	if err != nil {
		return connectRequest{}, err
	}
	if _, err := readString(conn); err != nil {
		return connectRequest{}, err
	}
	if _, err := conn.Write([]byte{passwordVersion, replyOK}); err != nil {
		return connectRequest{}, err
	}
	address, err := readAddress(conn)
	return connectRequest{
		user:    user,
		address: address,
	}, err
}

// readString reads a string that is preceded by one byte with its length.
func readString(conn net.Conn) (string, error) {
	length := make([]byte, 1)
	if _, err := io.ReadFull(conn, length); err != nil {
		return "", err
	}
	text := make([]byte, length[0])
	_, err := io.ReadFull(conn, text)
	return string(text), err
}

// readAddress reads a CONNECT request and returns its target address.
func readAddress(conn net.Conn) (string, error) {
	head := make([]byte, requestHeadBytes)
	if _, err := io.ReadFull(conn, head); err != nil {
		return "", err
	}
	size := net.IPv4len
	switch {
	case head[1] != commandConnect:
		return "", errors.Errorf("SOCKS command %d is not supported", head[1])
	case head[3] == addressTypeIPv6:
		size = net.IPv6len
	case head[3] != addressTypeIPv4:
		return "", errors.Errorf("SOCKS address type %d is not supported", head[3])
	}
	content := make([]byte, size+portBytes)
	if _, err := io.ReadFull(conn, content); err != nil {
		return "", err
	}
	ip, _ := netip.AddrFromSlice(content[:size])
	port := uint16(content[size])<<8 | uint16(content[size+1])
	return netip.AddrPortFrom(ip, port).String(), nil
}

// sendReply sends the reply to the client's request, with a zero bound address.
func sendReply(conn net.Conn, code byte) error {
	_, err := conn.Write([]byte{socksVersion, code, 0, addressTypeIPv4, 0, 0, 0, 0, 0, 0})
	return err
}
