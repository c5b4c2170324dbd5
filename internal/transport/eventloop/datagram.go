package eventloop

import (
	"errors"
	"fmt"
	"net"
	"syscall"
	"time"
)

// DatagramConn sends datagrams to one address and reads none. It is not registered with the event loop:
// nbio requests the local address of a UDP socket and panics if the system does not return one. It must be
// used by one goroutine only.
type DatagramConn struct {
	conn net.Conn
	raw  syscall.RawConn
}

// DialDatagram opens a socket on a new goroutine and calls done there with the result.
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
		return nil, errors.New("UDP socket gives no access to its descriptor")
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return nil, fmt.Errorf("access descriptor of UDP socket: %w", err)
	}
	return &DatagramConn{conn: conn, raw: raw}, nil
}

// Send sends b without blocking, and drops it if the socket's send buffer is full. If the system reports
// ECONNREFUSED for an earlier datagram, Send still sends b and returns that error. The socket remains
// usable after any error.
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
