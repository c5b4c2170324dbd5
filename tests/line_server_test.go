package tests

import (
	"bufio"
	"io"
	"net"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"oxbowbridge/internal/testrig"
)

// readLineProtocol reads lines of space-separated words. After a line for which long reports true, it reads a
// payload whose length is the line's last word. It returns at an empty line, which none of these protocols has:
// it comes from a client that is not the program under test.
func readLineProtocol(c net.Conn, long func([]string) bool, handle func(words []string, payload []byte)) {
	r := bufio.NewReader(c)
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}
		words := strings.Fields(line)
		if len(words) == 0 {
			return
		}
		var payload []byte
		if long(words) {
			n, _ := strconv.Atoi(words[len(words)-1])
			payload = make([]byte, n+2)
			if _, err := io.ReadFull(r, payload); err != nil {
				return
			}
			payload = payload[:n]
		}
		handle(words, payload)
	}
}

// startTCPServer serves connections on a free loopback address, which it returns.
func startTCPServer(t *testing.T, serve func(net.Conn)) string {
	ln, err := testrig.ListenFree()
	require.NoError(t, err)
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	return ln.Addr().String()
}

// countWithPrefix counts the lines that start with prefix.
func countWithPrefix(lines []string, prefix string) (n int) {
	for _, l := range lines {
		if strings.HasPrefix(l, prefix) {
			n++
		}
	}
	return n
}
