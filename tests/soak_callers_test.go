package tests

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// drawnClasses are the classes from which callers draw; most are at-most-once.
var drawnClasses = slices.Concat(classNames, []string{"nom-submit", "nom-submit", "nom-update"})

// soakCaller sends requests one after the other on a connection that it reuses until the service or the caller
// closes it.
type soakCaller struct {
	*soakRun
	rng    *rand.Rand
	number int
	sent   int
	conn   messageConn
}

// protocol returns the protocol of all connections of the caller.
func (c *soakCaller) protocol() string {
	if c.number%2 == 0 {
		return "fastcgi"
	}
	return "ajp"
}

func (c *soakCaller) dial() (messageConn, error) {
	if c.protocol() == "fastcgi" {
		return dialFCGI(c.fcgiAddr)
	}
	return dialAJP(c.ajpAddr)
}

const reconnectDelay = 5 * time.Millisecond

// run sends requests until the process has exited.
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

// request sends one request, sometimes slowly, incompletely, with a duplicate, or closing the connection early.
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

// encoded returns the bytes of an attempt. Attempts with the same identity have the same idempotency key.
func (c *soakCaller) encoded(a *soakAttempt) []byte {
	a.trace = newTraceID()
	fields := requestHeaders(a.trace)
	a.acceptedAt = time.Now()
	if a.class == "nom-update" {
		fields["Replay-Key"] = fmt.Sprintf("key-%d-%d", c.number, c.sent)
	}
	return c.conn.encode(a.class, fields, a.identity)
}

// exchange writes a request and reads its response.
func (c *soakCaller) exchange(a *soakAttempt) {
	request := c.encoded(a)
	a.sentAt = time.Now()
	_, a.err = c.conn.Write(request)
	c.await(a)
}

// await reads the response to a request that was written.
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

// writeInPieces writes a request slowly, within most of the deadline. Together its pauses may be longer than the time after
// which a silent caller is dropped, but none of them is.
func (c *soakCaller) writeInPieces(a *soakAttempt) {
	request := c.encoded(a)
	for range 3 {
		n := c.rng.IntN(len(request))
		if _, a.err = c.conn.Write(request[:n]); a.err != nil {
			break
		}
		request = request[n:]
		time.Sleep(time.Duration(c.rng.IntN(int(soakDeadline * 3 / 10))))
	}
	a.sentAt = time.Now()
	if a.err == nil {
		_, a.err = c.conn.Write(request)
	}
	c.await(a)
}

// writeAndClose closes the connection up to 20 ms after it wrote the request.
func (c *soakCaller) writeAndClose(a *soakAttempt) {
	request := c.encoded(a)
	a.abandoned = true
	a.sentAt = time.Now()
	_, a.err = c.conn.Write(request)
	a.sentCompletely = a.err == nil
	time.Sleep(time.Duration(c.rng.IntN(20)) * time.Millisecond)
	c.close()
}

// writePartAndClose closes the connection within a request. Such a request must not run.
func (c *soakCaller) writePartAndClose(a *soakAttempt) {
	request := c.encoded(a)
	a.abandoned = true
	a.sentAt = time.Now()
	c.conn.Write(request[:c.rng.IntN(len(request))])
	c.close()
}

// sendWithDuplicate sends a request with an idempotency key and, up to 30 ms later, a second attempt on another
// connection. The second attempt may arrive before the first is answered.
func (c *soakCaller) sendWithDuplicate(a *soakAttempt) {
	duplicate := *a
	request := c.encoded(&duplicate)
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
		duplicate.sentAt = time.Now()
		if _, duplicate.err = conn.Write(request); duplicate.err == nil {
			duplicate.sentCompletely = true
			duplicate.response, duplicate.err = conn.receive()
		}
		duplicate.endedAt = time.Now()
		c.record(&duplicate)
	}()
	c.exchange(a)
	<-done
}
