package standin

import (
	"bufio"
	"errors"
	"io"
	"net"
	"strconv"
	"strings"
)

// maxBodyBytes bounds the body of a request or a reply.
const maxBodyBytes = 1 << 16

// serve handles each connection, and closes it then, until the listener is closed.
func serve(listener net.Listener, handle func(net.Conn)) error {
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return err
		}
		go func() {
			defer conn.Close()
			handle(conn)
		}()
	}
}

// lineCommand is one line of words, with the body that follows it on the wire.
type lineCommand struct {
	words []string // at least two
	body  []byte   // nil without a body
}

// name is the first word.
func (c *lineCommand) name() string { return c.words[0] }

// id is the second word; most commands begin with the id of a run.
func (c *lineCommand) id() string { return c.words[1] }

// readCommands reads lines, and the bodies of those commands that have one, until the
// connection ends or something malformed arrives. A body's length is the last word.
func readCommands(conn net.Conn, hasBody func(name string) bool, handle func(lineCommand)) {
	in := bufio.NewReader(conn)
	for {
		line, err := in.ReadString('\n')
		command := lineCommand{words: strings.Fields(line)}
		if err != nil || len(command.words) < 2 {
			return
		}
		if hasBody(command.name()) {
			if command.body, err = readBody(in, command.words[len(command.words)-1]); err != nil {
				return
			}
		}
		handle(command)
	}
}

var errBodyLength = errors.New("length of the body is wrong")

// readBody reads a body and the line end after it.
func readBody(in io.Reader, length string) ([]byte, error) {
	const lineEndLen = 2 // \r\n
	n, err := strconv.Atoi(length)
	if err != nil || n < 0 || n > maxBodyBytes {
		return nil, errBodyLength
	}
	body := make([]byte, n+lineEndLen)
	if _, err := io.ReadFull(in, body); err != nil {
		return nil, err
	}
	return body[:n], nil
}
