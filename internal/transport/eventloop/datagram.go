package eventloop

import (
	"errors"
	"fmt"
	"net"
	"syscall"
	"time"
)

// DatagramConn sends datagrams to one address and reads none. The event loop has no
// part in it: nbio asks a UDP socket for its own address, and panics where the
// system does not tell it.
type DatagramConn struct {
	conn net.Conn
	raw  syscall.RawConn
}

// DialDatagram opens a socket beside the caller and reports to done.
func DialDatagram(addr string, timeout time.Duration, done func(*DatagramConn, error)) {
	go func() {
		conn, err := net.DialTimeout("udp", addr, timeout)
		if err != nil {
			done(nil, err)
			return
		}
		done(newDatagrams(conn))
	}()
}

func newDatagrams(conn net.Conn) (*DatagramConn, error) {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return nil, errors.New("socket without a descriptor")
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return nil, fmt.Errorf("descriptor of a socket: %w", err)
	}
	return &DatagramConn{conn: conn, raw: raw}, nil
}

// Send sends b, or gives it up rather than wait for room. If nobody took the
// datagram before, which the system tells now, b leaves all the same and the error
// says so. The socket stays of use after any error.
func (d *DatagramConn) Send(b []byte) error {
	var failed error
	err := d.raw.Write(func(fd uintptr) bool {
		if _, failed = syscall.Write(int(fd), b); failed == syscall.ECONNREFUSED {
			syscall.Write(int(fd), b)
		}
		return true
	})
	return errors.Join(err, failed)
}

// Close closes the socket.
func (d *DatagramConn) Close() { d.conn.Close() }
