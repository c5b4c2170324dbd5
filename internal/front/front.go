// Package front holds what the fronts share: how a request's fields are read
// and its answer is worded, whatever protocol carried them, and the set of
// connections that a front has open.
package front

import (
	"fmt"
	"math"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"oxbowbridge/internal/exchange"
	"oxbowbridge/internal/socket"
)

// BodyMost is the longest body of a request.
const BodyMost = 2 << 10

const (
	callPath = "/call/"
	pingPath = "/ping"
)

// Fields are a request's fields, by their names on the wire.
type Fields struct {
	Path   string
	Method string
	Get    func(name string) string // by header name, "" if absent
}

// Ping tells whether the request is a health check.
func (f Fields) Ping() bool { return f.Path == pingPath }

// Request reads the fields. Its error names the field at fault.
func (f Fields) Request(classes map[string]int, now time.Time) (*exchange.Request, error) {
	name, ok := strings.CutPrefix(f.Path, callPath)
	class, known := classes[name]
	switch {
	case !ok || !known:
		return nil, fmt.Errorf("path %q: no such class", f.Path)
	case f.Method != "POST":
		return nil, fmt.Errorf("method %q: want POST", f.Method)
	}
	r := &exchange.Request{Trace: f.Get("Trace-Id"), Class: class, Arrived: now,
		Keyed: f.Get("Lookup-Key") != "", Repeat: f.Get("Is-Retry") == "1"}
	if !exchange.IsTrace(r.Trace) {
		return nil, fmt.Errorf("Trace-Id %q: want 16 hex digits", r.Trace)
	}
	if t := f.Get("Accepted-At-Ms"); t != "" {
		ms, err := strconv.ParseInt(t, 10, 64)
		if err != nil || ms < 0 || ms > math.MaxInt64/int64(time.Millisecond) {
			return nil, fmt.Errorf("Accepted-At-Ms %q: want Unix milliseconds", t)
		}
		// The wire's clock is Unix time; what is kept is monotonic. A stamp from
		// the future counts as now.
		if waited := now.Sub(time.UnixMilli(ms)); waited > 0 {
			r.Arrived = now.Add(-waited)
		}
	}
	for _, n := range []struct {
		name string
		most float64
		set  func(float64)
	}{
		{"Expected-Ms", 1e9, func(x float64) { r.Hint = time.Duration(x * float64(time.Millisecond)) }},
		{"Reserve-Kb", 2000, func(x float64) { r.HeldKB = x }},
		{"Standing", 1, func(x float64) { r.Place = x }},
	} {
		t := f.Get(n.name)
		if t == "" {
			continue
		}
		x, err := strconv.ParseFloat(t, 64)
		if err != nil || !(x >= 0 && x <= n.most) {
			return nil, fmt.Errorf("%s %q: want a number from 0 to %g", n.name, t, n.most)
		}
		n.set(x)
	}
	return r, nil
}

// Reply is an answer in the words of HTTP, which all fronts speak.
type Reply struct {
	Status  int
	Headers [][2]string
	Body    []byte
}

// Word puts an answer into words.
func Word(a exchange.Answer) Reply {
	switch a.Result {
	case exchange.Served:
		return Reply{Status: 200, Body: a.Body}
	case exchange.Failed:
		return Reply{Status: 500}
	}
	r := Reply{Status: 503}
	if a.HoldOff > 0 {
		ms := (a.HoldOff + time.Millisecond - 1) / time.Millisecond
		r.Headers = append(r.Headers, [2]string{"Hold-Off-Ms", strconv.FormatInt(int64(ms), 10)})
	}
	if a.Stay {
		r.Headers = append(r.Headers, [2]string{"No-Other-Server", "1"})
	}
	return r
}

// Health is the answer to a health check.
func Health(good bool) Reply {
	if good {
		return Reply{Status: 200}
	}
	return Reply{Status: 503}
}

// Conn is one connection of a front.
type Conn interface {
	// CloseIdle closes the connection if no request has been open on it for so
	// long, and tells whether it did. No request begins on it after that.
	CloseIdle(now time.Time, idle time.Duration) bool
	Pending() int // bytes that wait to be sent
}

// Base is what a connection of any front keeps. Its lock guards the rest of the
// connection too, but for what belongs to the loop's goroutine.
type Base struct {
	sync.Mutex
	*socket.Conn
	Used time.Time // when a request last began or ended
	Shut bool      // by this side: no request begins any more
	bad  bool      // of the loop's goroutine
}

// ShutIdle closes the connection if it has not been used for so long. The caller
// holds the lock and has seen that no request is open.
func (b *Base) ShutIdle(now time.Time, idle time.Duration) bool {
	if b.Pending() > 0 || now.Sub(b.Used) < idle {
		return false
	}
	b.Shut = true // guards against a request that begins while this closes
	b.Close()
	return true
}

// Parse feeds the connection's parser. Guards against callers that speak another
// protocol, or out of turn: nothing after the fault can be trusted.
func (b *Base) Parse(feed func() error, log *zap.Logger, fault string) {
	if b.bad {
		return
	}
	if err := feed(); err != nil {
		b.bad = true
		log.Warn(fault, zap.Error(err))
		b.Abandon()
	}
}

// Conns are the connections that a front has open, and its listener.
type Conns struct {
	mu    sync.Mutex
	conns map[Conn]struct{}
	ln    net.Listener
	most  int
}

// Listen opens the listener. Connections beyond so many are closed at once,
// which leaves descriptors for the links of the client side.
func (s *Conns) Listen(loop *socket.Loop, addr string, most int, handle func(*socket.Conn) interface {
	Conn
	socket.Handler
}, failed func(error)) error {
	s.conns, s.most = map[Conn]struct{}{}, most
	ln, err := loop.Listen(addr, func(c *socket.Conn) socket.Handler {
		h := handle(c)
		s.mu.Lock()
		s.conns[h] = struct{}{}
		over := len(s.conns) > s.most
		s.mu.Unlock()
		if over {
			failed(fmt.Errorf("more than %d connections", most))
			c.Close()
		}
		return h
	}, failed)
	if err != nil {
		return err
	}
	s.ln = ln
	return nil
}

// Addr is where the front listens.
func (s *Conns) Addr() net.Addr { return s.ln.Addr() }

// Remove forgets a connection that is closed.
func (s *Conns) Remove(c Conn) {
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
}

// StopListening takes no more connections.
func (s *Conns) StopListening() { s.ln.Close() }

// CloseIdle closes connections that have had no open request for so long.
func (s *Conns) CloseIdle(idle time.Duration) (left, unsent int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for c := range s.conns {
		unsent += c.Pending()
		if !c.CloseIdle(now, idle) {
			left++
		}
	}
	return left, unsent
}
