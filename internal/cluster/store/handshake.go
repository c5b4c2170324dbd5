package store

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"strings"
	"time"
)

const (
	// handshakePrefix starts the first line of a connection. No Raft message starts with its first byte.
	handshakePrefix   = "oxbowbridge/1 "
	handshakeAccepted = "yes\n"
	handshakeRejected = "no: "
	maxHandshakeBytes = 1 << 10
	handshakeTimeout  = time.Second
	// handshakeBufferBytes is the minimum buffer size of bufio. A larger buffer would have no effect, as
	// lines are read byte by byte.
	handshakeBufferBytes = 16
)

// handshakeHeader is the first line of a connection between two nodes, after handshakePrefix.
type handshakeHeader struct {
	From    string `json:"from"`              // member ID of the connecting node
	To      string `json:"to"`                // member ID of the expected node; a node of this name with another disk rejects it
	Cluster string `json:"cluster,omitempty"` // cluster ID; "" while it is not known
}

// sendHandshake sends the header and waits until the other node accepts it.
func sendHandshake(conn net.Conn, header handshakeHeader, timeout time.Duration) error {
	encoded, err := json.Marshal(header)
	if err != nil {
		return err
	}
	conn.SetDeadline(time.Now().Add(min(handshakeTimeout, timeout)))
	if _, err := fmt.Fprintf(conn, "%s%s\n", handshakePrefix, encoded); err != nil {
		return err
	}
	reply, err := readLine(conn)
	if err != nil {
		return err
	}
	if reply != handshakeAccepted {
		return fmt.Errorf("%s rejected the connection: %s", header.To, strings.TrimSpace(reply))
	}
	return nil
}

// readHandshake reads a header line whose first byte was already read.
func readHandshake(conn net.Conn) (header handshakeHeader, err error) {
	line, err := readLine(conn)
	if err != nil {
		return header, fmt.Errorf("%w: %w", errHandshake, err)
	}
	encoded, ok := strings.CutPrefix(line, handshakePrefix[1:])
	if err := json.Unmarshal([]byte(encoded), &header); !ok || err != nil {
		return header, errHandshake
	}
	return header, nil
}

// readLine reads one line and no byte after it.
func readLine(conn net.Conn) (string, error) {
	limited := io.LimitReader(singleByteReader{conn}, maxHandshakeBytes)
	return bufio.NewReaderSize(limited, handshakeBufferBytes).ReadString('\n')
}

// singleByteReader reads one byte at a time, so that a buffered reader does not read past the line.
type singleByteReader struct{ io.Reader }

func (r singleByteReader) Read(b []byte) (int, error) { return r.Reader.Read(b[:min(1, len(b))]) }

// replayConn is a connection that first returns the bytes in unread. One byte was read before to
// distinguish a handshake from a Raft message.
type replayConn struct {
	net.Conn
	unread []byte
}

func (c *replayConn) Read(b []byte) (int, error) {
	if len(c.unread) > 0 && len(b) > 0 {
		n := copy(b, c.unread)
		c.unread = c.unread[n:]
		return n, nil
	}
	return c.Conn.Read(b)
}
