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
	// handshakePrefix begins the first line of a connection. No message of Raft begins with its
	// first byte.
	handshakePrefix   = "oxbowbridge/1 "
	handshakeAccepted = "yes\n"
	handshakeRejected = "no: "
	maxHandshakeBytes = 1 << 10
	handshakeTimeout  = time.Second
	// handshakeBufferBytes is the smallest buffer of bufio; a line is read byte by byte anyway.
	handshakeBufferBytes = 16
)

// handshakeHeader is the first line of a connection between two nodes, after handshakePrefix.
type handshakeHeader struct {
	From    string `json:"from"`              // member ID
	To      string `json:"to"`                // member ID, so that a node of this name with another disk rejects it
	Cluster string `json:"cluster,omitempty"` // "" if it is not known yet
}

// sendHandshake names who connects to whom, and waits until that is accepted.
func sendHandshake(conn net.Conn, header handshakeHeader, timeout time.Duration) error {
	text, err := json.Marshal(header)
	if err != nil {
		return err
	}
	conn.SetDeadline(time.Now().Add(min(handshakeTimeout, timeout)))
	if _, err := fmt.Fprintf(conn, "%s%s\n", handshakePrefix, text); err != nil {
		return err
	}
	answer, err := readLine(conn)
	if err != nil {
		return err
	}
	if answer != handshakeAccepted {
		return fmt.Errorf("%s says %s", header.To, strings.TrimSpace(answer))
	}
	return nil
}

// readHandshake reads a header whose first byte was read already.
func readHandshake(conn net.Conn) (header handshakeHeader, err error) {
	line, err := readLine(conn)
	if err != nil {
		return header, fmt.Errorf("%w: %w", errHandshake, err)
	}
	text, ok := strings.CutPrefix(line, handshakePrefix[1:])
	if err := json.Unmarshal([]byte(text), &header); !ok || err != nil {
		return header, errHandshake
	}
	return header, nil
}

// readLine reads no further than the end of the line.
func readLine(conn net.Conn) (string, error) {
	limited := io.LimitReader(singleByteReader{conn}, maxHandshakeBytes)
	return bufio.NewReaderSize(limited, handshakeBufferBytes).ReadString('\n')
}

// singleByteReader keeps a buffered reader from reading ahead.
type singleByteReader struct{ io.Reader }

func (r singleByteReader) Read(b []byte) (int, error) { return r.Reader.Read(b[:min(1, len(b))]) }

// replayConn gives back a byte that was read to tell a handshake from a message of Raft.
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
