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
	// greetingPrefix begins the first line of a connection. No message of Raft begins with its
	// first byte.
	greetingPrefix   = "oxbowbridge/1 "
	greetingAccepted = "yes\n"
	greetingRejected = "no: "
	maxGreetingBytes = 1 << 10
	handshakeTimeout = time.Second
	// greetingBufferBytes is the smallest buffer of bufio; a line is read byte by byte anyway.
	greetingBufferBytes = 16
)

// greeting is the first line of a connection between two nodes, after greetingPrefix.
type greeting struct {
	From    string `json:"from"`              // member ID
	To      string `json:"to"`                // member ID: another disk under the name is not meant
	Cluster string `json:"cluster,omitempty"` // "" if it is not known yet
}

// sendGreeting says who connects to whom, and waits until that is accepted.
func sendGreeting(conn net.Conn, g greeting, timeout time.Duration) error {
	text, err := json.Marshal(g)
	if err != nil {
		return err
	}
	conn.SetDeadline(time.Now().Add(min(handshakeTimeout, timeout)))
	if _, err := fmt.Fprintf(conn, "%s%s\n", greetingPrefix, text); err != nil {
		return err
	}
	answer, err := readLine(conn)
	if err != nil {
		return err
	}
	if answer != greetingAccepted {
		return fmt.Errorf("%s says %s", g.To, strings.TrimSpace(answer))
	}
	return nil
}

// readGreeting reads a greeting whose first byte was read already.
func readGreeting(conn net.Conn) (g greeting, err error) {
	line, err := readLine(conn)
	if err != nil {
		return g, fmt.Errorf("%w: %w", errGreeting, err)
	}
	text, ok := strings.CutPrefix(line, greetingPrefix[1:])
	if err := json.Unmarshal([]byte(text), &g); !ok || err != nil {
		return g, errGreeting
	}
	return g, nil
}

// readLine reads no further than the end of the line.
func readLine(conn net.Conn) (string, error) {
	limited := io.LimitReader(singleByteReader{conn}, maxGreetingBytes)
	return bufio.NewReaderSize(limited, greetingBufferBytes).ReadString('\n')
}

// singleByteReader keeps a buffered reader from reading ahead.
type singleByteReader struct{ io.Reader }

func (r singleByteReader) Read(b []byte) (int, error) { return r.Reader.Read(b[:min(1, len(b))]) }

// replayConn gives back a byte that was read to tell a greeting from a message of Raft.
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
