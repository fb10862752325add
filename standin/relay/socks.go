package relay

import (
	"io"
	"net"
	"net/netip"

	"github.com/go-faster/errors"
)

// Values of RFC 1928 and, for the user name, RFC 1929.
const (
	socksVersion     = 5
	methodPassword   = 2
	passwordVersion  = 1
	commandConnect   = 1
	addressIPv4      = 1
	addressIPv6      = 4
	replyOK          = 0
	replyNotAllowed  = 2
	replyRefused     = 5
	portBytes        = 2
	requestHeadBytes = 4
)

// ask is what a client of the relay wants.
type ask struct {
	user    string
	address string
}

// handshake reads what the client wants, up to the reply that is still owed.
func handshake(conn net.Conn) (ask, error) {
	head := make([]byte, 2)
	if _, err := io.ReadFull(conn, head); err != nil || head[0] != socksVersion {
		return ask{}, errors.New("no SOCKS5 client")
	}
	if _, err := io.ReadFull(conn, make([]byte, head[1])); err != nil {
		return ask{}, errors.New("no methods")
	}
	if _, err := conn.Write([]byte{socksVersion, methodPassword}); err != nil {
		return ask{}, err
	}
	if _, err := io.ReadFull(conn, head[:1]); err != nil {
		return ask{}, errors.New("no user")
	}
	user, err := readText(conn)
	if err != nil {
		return ask{}, err
	}
	if _, err := readText(conn); err != nil {
		return ask{}, err
	}
	if _, err := conn.Write([]byte{passwordVersion, replyOK}); err != nil {
		return ask{}, err
	}
	address, err := readTarget(conn)
	return ask{
		user:    user,
		address: address,
	}, err
}

// readText reads a text after a byte that gives its length.
func readText(conn net.Conn) (string, error) {
	length := make([]byte, 1)
	if _, err := io.ReadFull(conn, length); err != nil {
		return "", err
	}
	text := make([]byte, length[0])
	_, err := io.ReadFull(conn, text)
	return string(text), err
}

func readTarget(conn net.Conn) (string, error) {
	head := make([]byte, requestHeadBytes)
	if _, err := io.ReadFull(conn, head); err != nil {
		return "", err
	}
	size := net.IPv4len
	switch {
	case head[1] != commandConnect:
		return "", errors.Errorf("command %d is not served", head[1])
	case head[3] == addressIPv6:
		size = net.IPv6len
	case head[3] != addressIPv4:
		return "", errors.Errorf("address type %d is not served", head[3])
	}
	content := make([]byte, size+portBytes)
	if _, err := io.ReadFull(conn, content); err != nil {
		return "", err
	}
	ip, _ := netip.AddrFromSlice(content[:size])
	port := uint16(content[size])<<8 | uint16(content[size+1])
	return netip.AddrPortFrom(ip, port).String(), nil
}

// reply answers the client's request.
func reply(conn net.Conn, code byte) error {
	_, err := conn.Write([]byte{socksVersion, code, 0, addressIPv4, 0, 0, 0, 0, 0, 0})
	return err
}
