package eventloop

import (
	"errors"
	"fmt"
	"net"
	"syscall"
	"time"
)

// DatagramConn sends datagrams to one address and reads none. The event loop has no part in it:
// nbio asks a UDP socket for its own address, and panics where the system does not tell it. It
// belongs to one goroutine.
type DatagramConn struct {
	conn net.Conn
	raw  syscall.RawConn
}

// DialDatagram opens a socket on a goroutine of its own and reports to done there.
func DialDatagram(addr string, timeout time.Duration, done func(*DatagramConn, error)) {
	go func() {
		conn, err := net.DialTimeout("udp", addr, timeout)
		if err != nil {
			done(nil, err)
			return
		}
		done(newDatagramConn(conn))
	}()
}

func newDatagramConn(conn net.Conn) (*DatagramConn, error) {
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

// Send sends b, or drops it rather than wait for room in the socket. Where the system reports
// now that nobody received an earlier datagram, b is sent all the same and the error says so. The
// socket can be used after any error.
func (d *DatagramConn) Send(b []byte) error {
	var sendErr error
	err := d.raw.Write(func(fd uintptr) bool {
		_, sendErr = syscall.Write(int(fd), b)
		if sendErr == syscall.ECONNREFUSED {
			syscall.Write(int(fd), b)
		}
		return true
	})
	return errors.Join(err, sendErr)
}

// Close closes the socket.
func (d *DatagramConn) Close() { d.conn.Close() }
