package standin

import (
	"bufio"
	"errors"
	"io"
	"net"
	"strconv"
	"strings"
)

// maxBodyBytes is the maximum length of a request body or reply body.
const maxBodyBytes = 1 << 16

// serve accepts connections until the listener is closed. It handles each connection in a separate
// goroutine and closes it afterwards.
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

// lineCommand is a command of a line protocol: a line of words and the body that may follow it.
type lineCommand struct {
	words []string // at least two
	body  []byte   // nil if the command has no body
}

// name returns the name of the command, which is its first word.
func (c *lineCommand) name() string { return c.words[0] }

// id returns the second word. In most commands it is the id of a run.
func (c *lineCommand) id() string { return c.words[1] }

// readCommands reads commands and passes them to handle until the connection is closed or a command is
// malformed. The last word of a command with a body is the length of the body.
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

var errBodyLength = errors.New("body length is not a number between 0 and the maximum")

// readBody reads a body and the line ending that follows it.
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
