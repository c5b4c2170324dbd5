package tests

import (
	"bufio"
	"encoding/binary"
	"math/rand/v2"
	"net"
	"strings"
	"testing"
	"time"
)

// AJP13 codes that an upstream reads and writes
const (
	ajpCodeForward   = 2
	ajpCodeBodyChunk = 3
	ajpCodeHeaders   = 4
	ajpCodeEnd       = 5
	ajpCodeCPong     = 9
	ajpCodeCPing     = 10
)

// newSoakUpstreams starts AJP upstreams, which take the place of an engine.
func newSoakUpstreams(t *testing.T, rng *rand.Rand) *soakRunner {
	r := newSoakRunner(t, rng, upstreamsInUse)
	r.malformedMessages = []string{"\r\n\r\n", "\x12\x34\x00\x01\x09", "AB\x00\x00", "AB\x00\x01\x63", "AB\xff\xff"}
	r.configure = func(cfg object) { cfg["ajp"].(object)["upstreams"] = r.addrs() }
	go func() {
		for {
			conn, err := r.listener.Accept()
			if err != nil {
				return
			}
			go r.serveUpstream(conn)
		}
	}()
	return r
}

func (r *soakRunner) serveUpstream(conn net.Conn) {
	defer conn.Close()
	c := &ajpConn{Conn: conn, r: bufio.NewReader(conn)}
	for r.serveUpstreamPacket(c) {
	}
}

// serveUpstreamPacket handles one packet and reports whether the connection stays open. The program sends the
// body right after its request.
func (r *soakRunner) serveUpstreamPacket(c *ajpConn) bool {
	packet, err := c.readPacket()
	if err != nil || len(packet) == 0 {
		return false
	}
	time.Sleep(r.drawDelay())
	switch packet[0] {
	case ajpCodeCPing:
		_, err = c.Write(ajpPacket("AB", []byte{ajpCodeCPong}))
		return err == nil
	case ajpCodeForward:
	default:
		return false
	}
	chunk, err := c.readPacket()
	if err != nil || len(chunk) < 2 {
		return false
	}
	body := string(chunk[2:])
	class, _, _ := strings.Cut(body, " ")
	r.recordRun(class, body)
	time.Sleep(r.drawDuration(maxRunTime))
	_, err = c.Write(upstreamResult("done: " + body))
	return err == nil
}

// upstreamResult encodes a successful response.
func upstreamResult(result string) []byte {
	headers := ajpPacket("AB", append(appendAJPString([]byte{ajpCodeHeaders, 0, 200}, "OK"), 0, 0))
	chunk := binary.BigEndian.AppendUint16([]byte{ajpCodeBodyChunk}, uint16(len(result)))
	body := ajpPacket("AB", append(append(chunk, result...), 0))
	end := ajpPacket("AB", []byte{ajpCodeEnd, 1})
	return append(append(headers, body...), end...)
}
