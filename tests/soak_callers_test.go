package tests

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// drawnClasses are those of a caller's requests; most may run once.
var drawnClasses = slices.Concat(classNames, []string{"nom-submit", "nom-submit", "nom-update"})

// soakCaller sends one request after the other, on a connection that it keeps until the
// service or the caller itself ends it.
type soakCaller struct {
	*soakRun
	rng    *rand.Rand
	number int
	sent   int
	conn   soakConn
}

// soakConn is a connection in one of the protocols.
type soakConn interface {
	Write([]byte) (int, error)
	Close() error
	encode(class string, fields map[string]string, body string) []byte
	receive() (response, error)
}

func (c *fcgiConn) encode(class string, fields map[string]string, body string) []byte {
	return fcgiRequest(1, "/call/"+class, fields, []byte(body))
}

func (c *fcgiConn) receive() (response, error) {
	_, a, _, err := c.readResponse()
	return a, err
}

func (c *ajpConn) encode(class string, fields map[string]string, body string) []byte {
	return append(ajpForwardRequest("/call/"+class, c.secret, fields, len(body)), ajpBodyChunk([]byte(body))...)
}

func (c *ajpConn) receive() (response, error) { return c.readResponse(nil) }

// protocol is that of all the caller's connections.
func (c *soakCaller) protocol() string {
	if c.number%2 == 0 {
		return "fastcgi"
	}
	return "ajp"
}

func (c *soakCaller) dial() (soakConn, error) {
	if c.protocol() == "fastcgi" {
		return dialFCGI(c.fcgiAddr)
	}
	return dialAJP(c.ajpAddr)
}

const reconnectDelay = 5 * time.Millisecond

// run sends requests until the process has ended.
func (c *soakCaller) run(over <-chan struct{}) {
	defer c.close()
	for {
		select {
		case <-over:
			return
		default:
		}
		if !c.connect() {
			time.Sleep(reconnectDelay)
			continue
		}
		c.request()
		if c.rng.IntN(3) == 0 {
			time.Sleep(time.Duration(c.rng.IntN(20)) * time.Millisecond)
		}
	}
}

func (c *soakCaller) connect() bool {
	if c.conn != nil {
		return true
	}
	conn, err := c.dial()
	if err != nil {
		return false
	}
	c.conn = conn
	return true
}

func (c *soakCaller) close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// request sends one request in one of the ways in which callers do.
func (c *soakCaller) request() {
	class := drawnClasses[c.rng.IntN(len(drawnClasses))]
	c.sent++
	a := &soakAttempt{class: class, protocol: c.protocol(), identity: fmt.Sprintf("%s of %d-%d", class, c.number, c.sent)}
	defer c.record(a)
	switch variant := c.rng.IntN(20); {
	case variant == 0:
		c.writeAndClose(a)
	case variant == 1:
		c.writePartAndClose(a)
	case variant == 2:
		c.writeInPieces(a)
	case class == "nom-update" && variant < 8:
		c.sendWithDuplicate(a)
	default:
		c.exchange(a)
	}
}

// encoded are the bytes of an attempt; those of one identity share the key.
func (c *soakCaller) encoded(a *soakAttempt) []byte {
	a.trace = newTraceID()
	fields := requestHeaders(a.trace)
	a.acceptedAt = time.Now()
	if a.class == "nom-update" {
		fields["Replay-Key"] = fmt.Sprintf("key-%d-%d", c.number, c.sent)
	}
	return c.conn.encode(a.class, fields, a.identity)
}

// exchange writes a request and awaits its answer.
func (c *soakCaller) exchange(a *soakAttempt) {
	request := c.encoded(a)
	a.sentAt = time.Now()
	_, a.err = c.conn.Write(request)
	c.await(a)
}

// await reads the answer to a request that was written.
func (c *soakCaller) await(a *soakAttempt) {
	if a.err == nil {
		a.sentCompletely = true
		a.response, a.err = c.conn.receive()
	}
	a.endedAt = time.Now()
	if a.err != nil {
		c.close()
	}
}

// writeInPieces takes a while to write a request, at most a third of the deadline.
func (c *soakCaller) writeInPieces(a *soakAttempt) {
	request := c.encoded(a)
	for range 3 {
		n := c.rng.IntN(len(request))
		if _, a.err = c.conn.Write(request[:n]); a.err != nil {
			break
		}
		request = request[n:]
		time.Sleep(time.Duration(c.rng.IntN(int(soakDeadline / 10))))
	}
	a.sentAt = time.Now()
	if a.err == nil {
		_, a.err = c.conn.Write(request)
	}
	c.await(a)
}

// writeAndClose closes the connection at some time after the request.
func (c *soakCaller) writeAndClose(a *soakAttempt) {
	request := c.encoded(a)
	a.abandoned = true
	a.sentAt = time.Now()
	_, a.err = c.conn.Write(request)
	a.sentCompletely = a.err == nil
	time.Sleep(time.Duration(c.rng.IntN(20)) * time.Millisecond)
	c.close()
}

// writePartAndClose closes the connection within a request, which must not run then.
func (c *soakCaller) writePartAndClose(a *soakAttempt) {
	request := c.encoded(a)
	a.abandoned = true
	a.sentAt = time.Now()
	c.conn.Write(request[:c.rng.IntN(len(request))])
	c.close()
}

// sendWithDuplicate sends a keyed request, and after a while another attempt of it on a connection of
// its own, which may come before the answer to the first.
func (c *soakCaller) sendWithDuplicate(a *soakAttempt) {
	again := *a
	request := c.encoded(&again)
	conn, err := c.dial()
	if err != nil {
		c.exchange(a)
		return
	}
	done := make(chan struct{})
	delay := time.Duration(c.rng.IntN(30)) * time.Millisecond
	go func() {
		defer close(done)
		defer conn.Close()
		time.Sleep(delay)
		again.sentAt = time.Now()
		if _, again.err = conn.Write(request); again.err == nil {
			again.sentCompletely = true
			again.response, again.err = conn.receive()
		}
		again.endedAt = time.Now()
		c.record(&again)
	}()
	c.exchange(a)
	<-done
}
