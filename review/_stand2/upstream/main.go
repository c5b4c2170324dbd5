// upstream is a stand-in of an AJP13 server that runs requests. It answers health checks, and each request after
// -span with status 200 and a result, and appends one line for each run to -record.
package main

import (
	"encoding/binary"
	"flag"
	"fmt"
	"io"
	"net"
	"os"
	"time"
)

// Message codes of AJP13.
const (
	forwardRequest = 2
	sendBodyChunk  = 3
	sendHeaders    = 4
	endResponse    = 5
	cpong          = 9
	cping          = 10
)

var (
	listen = flag.String("listen", "", "address")
	span   = flag.Duration("span", 150*time.Millisecond, "time that a run takes")
	record = flag.String("record", "", "file of the runs")
)

func main() {
	flag.Parse()
	listener, err := net.Listen("tcp", *listen)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	for {
		conn, err := listener.Accept()
		if err != nil {
			os.Exit(1)
		}
		go serve(conn)
	}
}

// readPacket reads one packet from the web server's side.
func readPacket(conn net.Conn) ([]byte, error) {
	head := make([]byte, 4)
	if _, err := io.ReadFull(conn, head); err != nil {
		return nil, err
	}
	if head[0] != 0x12 || head[1] != 0x34 {
		return nil, fmt.Errorf("not AJP13: %x", head)
	}
	content := make([]byte, binary.BigEndian.Uint16(head[2:]))
	_, err := io.ReadFull(conn, content)
	return content, err
}

func packet(content ...byte) []byte {
	b := []byte{'A', 'B'}
	b = binary.BigEndian.AppendUint16(b, uint16(len(content)))
	return append(b, content...)
}

func text(b []byte, s string) []byte {
	b = binary.BigEndian.AppendUint16(b, uint16(len(s)))
	return append(append(b, s...), 0)
}

func serve(conn net.Conn) {
	defer conn.Close()
	for {
		content, err := readPacket(conn)
		if err != nil || len(content) == 0 {
			return
		}
		switch content[0] {
		case cping:
			conn.Write(packet(cpong))
			continue
		case forwardRequest:
		default:
			return
		}
		path, length := parse(content)
		var body []byte
		if length > 0 { // a body of at most 2 KiB comes in one chunk, which follows unasked
			chunk, err := readPacket(conn)
			if err != nil || len(chunk) < 2 {
				return
			}
			body = chunk[2:]
		}
		note(path, body)
		time.Sleep(*span)
		result := fmt.Appendf(nil, "%s done: %s", path, body)
		head := binary.BigEndian.AppendUint16([]byte{sendHeaders}, 200)
		head = binary.BigEndian.AppendUint16(text(head, "OK"), 0)
		part := binary.BigEndian.AppendUint16([]byte{sendBodyChunk}, uint16(len(result)))
		part = append(append(part, result...), 0)
		out := append(packet(head...), packet(part...)...)
		if _, err := conn.Write(append(out, packet(endResponse, 1)...)); err != nil {
			return
		}
	}
}

// parse returns the path and the content length of a FORWARD_REQUEST as this project sends it.
func parse(b []byte) (path string, length int) {
	at := 2
	next := func() string {
		n := int(binary.BigEndian.Uint16(b[at:]))
		s := string(b[at+2 : at+2+n])
		at += 2 + n + 1
		return s
	}
	next() // protocol
	path = next()
	next() // remote address
	next() // remote host
	next() // server name
	at += 3
	headers := int(binary.BigEndian.Uint16(b[at:]))
	at += 2
	for range headers {
		name, value := next(), next()
		if name == "content-length" {
			fmt.Sscan(value, &length)
		}
	}
	return path, length
}

func note(path string, body []byte) {
	file, err := os.OpenFile(*record, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return
	}
	defer file.Close()
	fmt.Fprintf(file, "%d %s %s\n", time.Now().UnixNano(), path, body)
}
