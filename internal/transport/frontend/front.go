// Package frontend holds what the fronts share: how a request's fields are read
// and its answer is worded, whatever protocol carried them, and the set of
// connections that a front has open.
package frontend

import (
	"errors"
	"fmt"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"oxbowbridge/internal/proxy/exchange"
	"oxbowbridge/internal/proxy/fdquota"
	"oxbowbridge/internal/transport/eventloop"
)

// MaxBodyBytes is the longest body of a request.
const MaxBodyBytes = 2 << 10

const (
	callPath = "/call/"
	pingPath = "/ping"

	stampOldest = 2 * time.Minute // a request that came earlier is not waited for
	stampAhead  = time.Minute     // clocks of one machine don't differ by more
	replayMost  = 128             // characters of a Replay-Key, four times those of the platform's
)

// Limits on callers, none of which a balancer comes near.
const (
	overdueMost = 9         // sweeps that a connection may owe its next step: some 2 s
	faultsMost  = 16        // faulty requests of one connection, one after the other
	skipMost    = 64 << 10  // bytes that belong to no request, between two that do
	unsentMost  = 192 << 10 // bytes of answers that wait to be read: 32 of the longest
	floodMost   = 1 << 20   // bytes after a fault, while answers to what came before it are owed
	// firstWords is how long a new connection may take to send its first bytes before others
	// take its place: a request may take 50 ms to cross a close, by the protocol.
	firstWords = 50 * time.Millisecond
)

// Faults of a connection, which end it.
var (
	errFaults = fmt.Errorf("%d faulty requests", faultsMost)
	errSkip   = fmt.Errorf("more than %d bytes that belong to no request", skipMost)
	errUnsent = fmt.Errorf("more than %d bytes of answers not read", unsentMost)
)

// RawRequest are a request's fields, by their names on the wire.
type RawRequest struct {
	Path   string
	Method string
	Header func(name string) string // by header name, "" if absent
}

// IsHealthCheck tells whether the request is a health check.
func (f RawRequest) IsHealthCheck() bool { return f.Path == pingPath }

// Class is what a front knows of a class of requests.
type Class struct {
	Index               int
	NeedsIdempotencyKey bool // its requests carry a Replay-Key
}

// Decode reads the fields. Its error names the field at fault.
func (f RawRequest) Decode(classes map[string]Class, now time.Time) (*exchange.Request, error) {
	name, ok := strings.CutPrefix(f.Path, callPath)
	class, known := classes[name]
	switch {
	case !ok || !known:
		return nil, fmt.Errorf("path %q: no such class", f.Path)
	case f.Method != "POST":
		return nil, fmt.Errorf("method %q: want POST", f.Method)
	}
	r := &exchange.Request{TraceID: f.Header("Trace-Id"), Class: class.Index, Arrived: now,
		Tenant: f.Header("Project"), HasSubject: f.Header("Lookup-Key") != "", IsRetry: f.Header("Is-Retry") == "1"}
	if !exchange.IsTraceID(r.TraceID) {
		return nil, fmt.Errorf("Trace-Id %q: want 16 hex digits", r.TraceID)
	}
	if class.NeedsIdempotencyKey {
		r.IdempotencyKey = f.Header("Replay-Key")
		if r.IdempotencyKey == "" || len(r.IdempotencyKey) > replayMost || strings.ContainsFunc(r.IdempotencyKey, func(c rune) bool { return c <= ' ' || c > '~' || c == ',' }) {
			return nil, fmt.Errorf("Replay-Key %.80q: want 1 to %d plain characters", r.IdempotencyKey, replayMost)
		}
	}
	if t := f.Header("Is-Retry"); t != "" && t != "1" {
		return nil, fmt.Errorf("Is-Retry %q: want 1 or nothing", t)
	}
	if t := f.Header("Client-No"); t != "" {
		if _, err := strconv.ParseUint(t, 10, 31); err != nil {
			return nil, fmt.Errorf("Client-No %q: want a number", t)
		}
	}
	// Guards the module against stamps that no clock here made: a wait beyond any
	// deadline would pass for a service that can't keep up with its reading.
	t := f.Header("Accepted-At-Ms")
	ms, err := strconv.ParseInt(t, 10, 64)
	if err != nil || ms < now.Add(-stampOldest).UnixMilli() || ms > now.Add(stampAhead).UnixMilli() {
		return nil, fmt.Errorf("Accepted-At-Ms %q: want Unix milliseconds of late", t)
	}
	// The wire's clock is Unix time; what is kept is monotonic. A stamp from the
	// future counts as now.
	if waited := now.Sub(time.UnixMilli(ms)); waited > 0 {
		r.Arrived = now.Add(-waited)
	}
	for _, n := range []struct {
		name   string
		ok     func(float64) bool
		needed bool
		set    func(float64)
	}{
		{"Expected-Ms", func(x float64) bool { return x <= 1e6 }, false, func(x float64) { r.ExpectedWork = ofMs(x) }},
		{"Max-Wait-Ms", func(x float64) bool { return x <= 1e9 }, false, func(x float64) { r.Timeout = ofMs(x) }},
		{"Reserve-Kb", func(x float64) bool { return x > 0 && x < 2000 }, true, func(x float64) { r.ReservedKB = x }},
		{"Standing", func(x float64) bool { return x < 1 }, false, func(x float64) { r.Rank = x }},
	} {
		t := f.Header(n.name)
		if t == "" && !n.needed {
			continue
		}
		// Digits and a point, no sign: ParseFloat knows more than the protocol does.
		x, err := strconv.ParseFloat(t, 64)
		if err != nil || strings.Trim(t, "0123456789.") != "" || !n.ok(x) {
			return nil, fmt.Errorf("%s %q: not a number in its range", n.name, t)
		}
		n.set(x)
	}
	return r, nil
}

func ofMs(x float64) time.Duration { return time.Duration(x * float64(time.Millisecond)) }

// Response is an answer in the words of HTTP, which all fronts speak.
type Response struct {
	Status  int
	Headers [][2]string
	Body    []byte
}

// ResponseTo puts an answer into words.
func ResponseTo(a exchange.Response) Response {
	switch a.Kind {
	case exchange.Succeeded:
		return Response{Status: 200, Body: a.Body}
	case exchange.Failed:
		return Response{Status: 500}
	}
	r := Response{Status: 503}
	if a.RetryAfter > 0 {
		ms := (a.RetryAfter + time.Millisecond - 1) / time.Millisecond
		r.Headers = append(r.Headers, [2]string{"Hold-Off-Ms", strconv.FormatInt(int64(ms), 10)})
	}
	if a.NoRetryElsewhere {
		r.Headers = append(r.Headers, [2]string{"No-Other-Server", "1"})
	}
	return r
}

// CommonHeaders are the headers of any answer: the free value, where the settings have one.
func CommonHeaders(x *exchange.Exchange) [][2]string {
	if v, ok := x.Feedback(); ok {
		return [][2]string{{"Feedback", strconv.FormatFloat(v, 'f', -1, 64)}}
	}
	return nil
}

// HealthResponse is the answer to a health check.
func HealthResponse(good bool) Response {
	if good {
		return Response{Status: 200}
	}
	return Response{Status: 503}
}

// Conn is one connection of a front.
type Conn interface {
	// CloseIdle closes the connection if no request has been open on it for so
	// long, and tells whether it did. No request begins on it after that.
	CloseIdle(now time.Time, idle time.Duration) bool
	// Overdue is asked at each sweep, and tells whether the caller has owed its next
	// step for so long that the connection has to be ended, and whether that step is
	// to read what was written.
	Overdue() (late, stuck bool)
	// LastUsed is when a request last began or ended, or when the connection was made, and
	// whether no whole request has come yet.
	LastActive() (at time.Time, silent bool)
	// Half tells whether part of a message has come that is not read to its end, or at all.
	HasPartialMessage() bool
	// Unread tells whether bytes have come that are not handled yet: perhaps a whole request.
	HasUnread() bool
	PendingBytes() int // bytes that wait to be sent
	// Finish has nothing begin any more, forgets what has not come whole, and ends the
	// connection once all that was read is answered.
	Drain()
	Abort()
}

// Base is what a connection of any front keeps. Its lock guards the rest of the
// connection too, but for what belongs to the loop's goroutine.
type Base struct {
	sync.Mutex
	*eventloop.Conn
	Used    time.Time // when a request last began or ended
	Open    int       // requests that have begun and are not answered
	Shut    bool      // by this side: no request begins any more
	asked   bool      // a whole request has come
	owing   int       // sweeps for which the caller has owed its next step
	unsent  int       // bytes that waited at the latest sweep
	faults  atomic.Int32
	bad     bool // of the loop's goroutine, like what follows
	skipped int
}

// EndIdle ends the connection if no request is open and none was for so long, and tells
// whether it has ended. Half a message is not idle: part says that one has come; nor are
// bytes that wait to be read, which may be a request that came long before the end. The
// caller holds the lock, as for all that follows.
func (b *Base) EndIdle(now time.Time, idle time.Duration, part bool) bool {
	if b.Shut {
		b.ShutDown()
		return b.Open == 0
	}
	if part || b.Open > 0 || now.Sub(b.Used) < idle || !b.CloseIfQuiet() {
		return false
	}
	b.Shut = true
	return true
}

// ShutDown has no request begin any more, and ends the connection once those that
// are open are answered.
func (b *Base) ShutDown() {
	b.Shut = true
	if b.Open <= 0 {
		b.CloseGracefully()
	}
}

// Settled notes that an open request is answered, or will never be whole.
func (b *Base) Settled() {
	b.Open--
	b.Used = time.Now()
	if b.Shut {
		b.ShutDown()
	}
}

// Read notes that a request was read and is handed over.
func (b *Base) Read() { b.skipped = 0 }

// Came notes that a whole request has come. The caller holds the lock.
func (b *Base) Came() { b.asked, b.owing = true, 0 }

// Answered notes how a request ended, and has nothing begin on the connection any more if
// it sends too many faults. A request that could be what it says pays for those before it.
func (b *Base) Answered(a exchange.Response) {
	if !a.InvalidRequest {
		b.faults.Store(0)
		return
	}
	if b.Fault() != nil {
		b.Lock()
		defer b.Unlock()
		b.ShutDown()
	}
}

// Fault counts a faulty request. Guards against callers that send nothing else.
func (b *Base) Fault() error {
	if b.faults.Add(1) > faultsMost {
		return errFaults
	}
	return nil
}

// Skip counts input that belongs to no request, or to one that has failed. Guards
// against bodies without end: to read them would cost more than all that is useful.
func (b *Base) Skip(n int) error {
	if b.skipped += n; b.skipped > skipMost {
		return errSkip
	}
	return nil
}

// LateBy counts sweeps for which the caller owes something: its first request, the
// rest of one, or, if it is stuck, the reading of its answers. Sweeps are counted, not
// time, so that a pause of the machine is held against nobody.
func (b *Base) LateBy(unfinished bool) (late, stuck bool) {
	unsent := b.PendingBytes()
	stuck = unsent > 0 && unsent >= b.unsent
	b.unsent = unsent
	if !unfinished && (b.asked || b.Shut) && !stuck {
		b.owing = 0
		return false, false
	}
	b.owing++
	return b.owing > overdueMost, stuck && b.owing > overdueMost
}

// LastActive is when a request last began or ended, or when the connection was made, and
// whether no whole request has come yet.
func (b *Base) LastActive() (at time.Time, silent bool) {
	b.Lock()
	defer b.Unlock()
	return b.Used, !b.asked
}

// Parse feeds the connection's parser. Guards against callers that speak another
// protocol, or out of turn: nothing after the fault can be trusted, and it is dropped.
// What was read before it is answered, unless the caller floods or doesn't read.
func (b *Base) Parse(c Conn, in []byte, feed func() error, log *zap.Logger, fault string) {
	if b.bad {
		if b.skipped += len(in); b.skipped > floodMost {
			b.Abort()
		}
		return
	}
	err := feed()
	if err == nil && b.PendingBytes() > unsentMost {
		err = errUnsent
	}
	if err == nil {
		return
	}
	b.bad = true
	log.Warn(fault, zap.Error(err))
	if errors.Is(err, errUnsent) {
		b.Abort()
	} else {
		c.Drain()
	}
}

// Server are the connections that a front has open, and its listener.
type Server struct {
	mu    sync.Mutex
	conns map[Conn]struct{}
	ln    net.Listener
	most  int
	pool  *fdquota.Pool // of connections, with calls and other fronts
	log   *zap.Logger

	closing bool // the listener is, and still takes what has come
}

// Listen opens the listener. Connections beyond so many, or beyond what the pool has, take
// the place of others, which leaves descriptors for the links of the client side.
func (s *Server) Listen(loop *eventloop.Loop, addr string, most int, pool *fdquota.Pool, log *zap.Logger, handle func(*eventloop.Conn) interface {
	Conn
	eventloop.Handler
}) error {
	s.conns, s.most, s.pool, s.log = map[Conn]struct{}{}, most, pool, log
	ln, err := loop.Listen(addr, func(c *eventloop.Conn) eventloop.Handler {
		h := handle(c)
		s.mu.Lock()
		defer s.mu.Unlock()
		full := len(s.conns) >= s.most || !s.pool.HasCallerCapacity()
		if full && !s.makeRoom() {
			log.Warn("connection not taken", zap.Int("most", most))
			c.CloseGracefully() // nothing runs, and a request that is on its way is sent again elsewhere
			return h
		}
		s.conns[h] = struct{}{}
		s.pool.AddCallers(1)
		return h
	}, func(err error) { log.Warn("connection not taken", zap.Error(err)) })
	if err != nil {
		return err
	}
	s.ln = ln
	return nil
}

// makeRoom ends a connection for a new one. In this order, of each kind the one that has
// been silent or idle for longest: those that have said nothing whole yet and had the time
// for it, those that rest, those that have come just now, and those with half a message.
// One with bytes that are not handled yet is never ended: the new one is, if need be.
// Guards balancers against callers that connect by the hundred, or keep what they use no more.
func (s *Server) makeRoom() bool {
	now := time.Now()
	silent, rest := s.longestIdle()
	switch {
	case silent != nil && outOfTime(silent, now) && silent.CloseIdle(now, 0):
		s.forget(silent)
		return true
	case rest != nil && rest.CloseIdle(now, 0):
		s.forget(rest)
		return true
	}
	return s.makeRoomAnyhow(now)
}

// longestIdle are the connections used longest ago, of those that have said nothing whole
// yet and of the others; nil without any. It is asked for each new connection of a crowd.
func (s *Server) longestIdle() (silent, rest Conn) {
	var silentAt, restAt time.Time
	for c := range s.conns {
		at, isSilent := c.LastActive()
		switch {
		case isSilent && (silent == nil || at.Before(silentAt)):
			silent, silentAt = c, at
		case !isSilent && (rest == nil || at.Before(restAt)):
			rest, restAt = c, at
		}
	}
	return silent, rest
}

// outOfTime tells whether a connection has had the time for its first bytes.
func outOfTime(c Conn, now time.Time) bool {
	at, _ := c.LastActive()
	return now.Sub(at) >= firstWords
}

// makeRoomAnyhow looks at all connections, where those idle for longest are in use after all.
func (s *Server) makeRoomAnyhow(now time.Time) bool {
	silent, rest := s.byUse()
	young := slices.IndexFunc(silent, func(c Conn) bool { return !outOfTime(c, now) })
	if young < 0 {
		young = len(silent)
	}
	for _, c := range slices.Concat(silent[:young], rest, silent[young:]) {
		if c.CloseIdle(now, 0) {
			s.forget(c)
			return true
		}
	}
	for _, c := range silent {
		if !c.HasUnread() { // else a whole request may lie there: its caller can't know that nothing ran
			c.Drain()
			s.forget(c)
			return true
		}
	}
	return false
}

// byUse lists the connections that have said nothing whole yet, and the others, those
// used longest ago first.
func (s *Server) byUse() (silent, rest []Conn) {
	lastUsed := make(map[Conn]time.Time, len(s.conns))
	for c := range s.conns {
		at, isSilent := c.LastActive()
		lastUsed[c] = at
		if isSilent {
			silent = append(silent, c)
		} else {
			rest = append(rest, c)
		}
	}
	longest := func(a, b Conn) int { return lastUsed[a].Compare(lastUsed[b]) }
	slices.SortFunc(silent, longest)
	slices.SortFunc(rest, longest)
	return silent, rest
}

// Sweep ends the connections of callers that owe their next step for too long,
// and closes those that have been idle for so long.
func (s *Server) Reap(idle time.Duration) {
	s.mu.Lock()
	late, now := 0, time.Now()
	for c := range s.conns {
		switch owes, stuck := c.Overdue(); {
		case stuck: // it doesn't read its answers
			late++
			c.Abort()
		case owes && c.CloseIdle(now, 0):
			late++
		case owes && !c.HasUnread(): // what it owes may have come
			late++
			c.Drain()
		}
	}
	s.mu.Unlock()
	if late > 0 {
		s.log.Warn("nothing came, connections closed", zap.Int("connections", late))
	}
	s.CloseIdle(idle)
}

// DrainConnections ends all connections, once what was read on them is answered.
func (s *Server) DrainConnections() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.Drain()
	}
}

// Addr is where the front listens.
func (s *Server) Addr() net.Addr { return s.ln.Addr() }

// Remove forgets a connection that is closed.
func (s *Server) Remove(c Conn) {
	s.mu.Lock()
	s.forget(c)
	s.mu.Unlock()
}

// forget counts a connection no more. The lock is held.
func (s *Server) forget(c Conn) {
	if _, ok := s.conns[c]; ok {
		delete(s.conns, c)
		s.pool.AddCallers(-1)
	}
}

// StopListening takes what has come by now, and no more connections. It does not wait for
// that: until it is done CloseIdle counts the listener as left.
func (s *Server) StopListening() {
	s.mu.Lock()
	s.closing = true
	s.mu.Unlock()
	go func() {
		s.ln.Close()
		s.mu.Lock()
		s.closing = false
		s.mu.Unlock()
	}()
}

// CloseIdle closes connections that have had no open request for so long, and tells how
// many are left, with a listener that is still closing, and how many bytes wait to leave.
func (s *Server) CloseIdle(idle time.Duration) (left, unsent int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closing {
		left++
	}
	now := time.Now()
	for c := range s.conns {
		unsent += c.PendingBytes()
		if !c.CloseIdle(now, idle) {
			left++
		}
	}
	return left, unsent
}
