// Package records is the link to the records service, which takes the calls
// that runs make below. All of it runs in the core's goroutine, but for the
// parsing of what arrives.
package records

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"go.uber.org/zap"

	"oxbowbridge/internal/proxy/exchange"
	"oxbowbridge/internal/proxy/fdquota"
	"oxbowbridge/internal/proxy/timerqueue"
	"oxbowbridge/internal/transport/eventloop"
	"oxbowbridge/internal/transport/lineproto"
	"oxbowbridge/internal/transport/session"
)

const (
	// The service closes what is idle for 10 s, and some hops on the way forget
	// idle connections earlier. A call that meets such an end proves nothing.
	idleMost  = time.Second
	freeMost  = 16 // unused connections that are kept
	strayMost = 16 // replies to nobody's call that one call may bring

	dialsMost     = 5                     // of a call: the service may be on the move
	dialAgain     = 20 * time.Millisecond // after the first, then twice as long each time
	sendsMost     = 3                     // of a call that is safe to repeat
	memory        = 0.1                   // weight of one reply in the means kept of them
	patience      = 2.0                   // of the time that replies take: what takes longer counts as lost
	deviations    = 4.0                   // mean deviations that belong to that time
	firstGuess    = 500 * time.Millisecond
	patienceLeast = 600 * time.Millisecond // replies of a quiet service differ by as much
)

var (
	errSpoilt = errors.New("reply not understood")
	errLate   = errors.New("no reply")
)

// call is a call that has not ended.
type call struct {
	exchange.Attempt
	conn   *conn         // nil while it waits for one
	until  time.Duration // the service need not try longer
	sends  int
	dials  int               // that were refused
	redial *timerqueue.Timer // the next one
}

// conn is a connection. It carries one call at a time: after a spoilt reply a
// connection is of no use, and must not take other calls with it.
type conn struct {
	link  *Client
	addr  string
	sock  *eventloop.Conn // nil until it is open
	call  *call           // nil while it is free
	last  string          // the trace of its latest call, of which copies may still come
	gone  bool
	stray int           // replies that belong to no call, since its latest
	sent  time.Duration // when its call was
	due   *timerqueue.Timer
}

// Client is the exchange.Caller that speaks to the records service.
type Client struct {
	session.Dependencies
	addr    string
	pool    *fdquota.Pool // of connections, as many as calls in hand; further ones wait
	lingers time.Duration
	calls   map[string]*call
	waiting []*call       // without a connection, oldest first
	free    []*conn       // the latest used last
	mean    time.Duration // of the time that replies take
	dev     time.Duration // its mean deviation
}

// New returns a Link that connects when calls come, as far as the pool has connections for
// them. Without an address no call is made. What is given up may stay in the hands of
// a service that all share for as long as lingers says, and counts there: a call is
// made again only after that, so that each request has one at a time.
func New(addr string, pool *fdquota.Pool, lingers time.Duration, env session.Dependencies) *Client {
	return &Client{Dependencies: env, addr: addr, pool: pool, lingers: lingers, calls: map[string]*call{}, mean: firstGuess, dev: firstGuess / 2}
}

// SetAddress has new calls go to another address. Those in hand stay where they are.
func (l *Client) SetAddress(addr string) {
	if addr == l.addr {
		return
	}
	l.addr = addr
	for len(l.free) > 0 {
		l.free[0].end(exchange.ResultUnreachable)
	}
}

// Call makes a call; the Outcome comes from the exchange.
func (l *Client) Call(a exchange.Attempt) {
	l.Cancel(a.TraceID)
	k := &call{Attempt: a, until: l.Now() + a.Timeout}
	l.calls[a.TraceID] = k
	l.place(k)
}

// place gives a call a connection, or has it wait for one.
func (l *Client) place(k *call) {
	if !l.placed(k) {
		l.waiting = append(l.waiting, k)
	}
}

// placed tells whether a call found a connection, or can't have one at all.
func (l *Client) placed(k *call) bool {
	// Guards against connections that were forgotten while they were free: the
	// call that finds out may not be made again unless it is safe. Copies of an
	// earlier reply under the same trace must not pass for this call's.
	i := len(l.free) - 1
	for i >= 0 && (!k.Idempotent || l.free[i].last == k.TraceID) {
		i--
	}
	if i >= 0 {
		c := l.free[i]
		l.take(c)
		c.begin(k)
		return true
	}
	if l.addr == "" {
		delete(l.calls, k.TraceID)
		l.Exchange.Post(exchange.Outcome{TraceID: k.TraceID, Stage: exchange.CallEnded, Result: exchange.ResultUnreachable})
		return true
	}
	room := l.pool.AcquireCall()
	if !room && len(l.free) > 0 {
		l.free[0].close() // its place is for this call, not for one that waits
		room = l.pool.AcquireCall()
	}
	if room {
		l.connect(k)
	}
	return room
}

// take takes a connection from the free ones.
func (l *Client) take(c *conn) {
	l.Timers.Cancel(c.due)
	l.free = slices.DeleteFunc(l.free, func(f *conn) bool { return f == c })
}

// connect connects for a call, whose place in the pool is taken.
func (l *Client) connect(k *call) {
	c := &conn{link: l, addr: l.addr, call: k}
	k.conn = c
	l.Dial(c.addr, &session.LineHandler{Dependencies: l.Dependencies, Parser: lineproto.Parser{HasPayload: long}, OnMessage: c.read, OnLost: c.lost,
		Current: func() bool { return !c.gone }}, c.opened)
}

func (c *conn) opened(s *eventloop.Conn, err error) {
	switch {
	case err != nil && !c.gone:
		c.refused(err)
	case err == nil && c.gone:
		s.Abort()
	case err == nil:
		c.sock = s
		c.begin(c.call)
	}
}

// refused tries once more: no call ran, and the service may come back or be on
// its way to another address. A call that finds none in that time fails.
func (c *conn) refused(err error) {
	l, k := c.link, c.call
	if k.dials++; k.dials >= dialsMost || l.Now() >= k.until || l.addr == "" {
		l.Log.Warn("records service not reached", zap.Error(err))
		c.end(exchange.ResultUnreachable) // nothing was ever sent
		return
	}
	c.call, k.conn = nil, nil
	k.redial = l.Timers.Schedule(l.Now()+dialAgain<<(k.dials-1), func() { l.place(k) })
	c.end(exchange.ResultUnreachable)
}

func (c *conn) begin(k *call) {
	l := c.link
	c.call, c.last, c.stray, c.sent, k.conn = k, k.TraceID, 0, l.Now(), c
	k.sends++
	line := fmt.Sprintf("OP %s %d %d", k.TraceID, max(1, (k.until-c.sent).Milliseconds()), len(k.Body))
	c.sock.Write(lineproto.AppendMessage(nil, line, k.Body, true))
	// Guards against replies that never come, or never end.
	if k.again() {
		c.due = l.Timers.Schedule(c.sent+l.patience(), func() { c.lost(errLate) })
	}
}

// again tells whether the call may be sent once more.
func (k *call) again() bool { return k.Idempotent && k.sends < sendsMost }

// patience is how long a call that may be sent again waits for its reply.
func (l *Client) patience() time.Duration {
	return max(patienceLeast, time.Duration(patience*float64(l.mean+deviations*l.dev)))
}

// took learns how long replies take; a lost one took at least so long.
func (l *Client) took(d time.Duration) {
	l.dev += time.Duration(memory * float64((d-l.mean).Abs()-l.dev))
	l.mean += time.Duration(memory * float64(d-l.mean))
}

// GiveUp ends a call that nobody waits for. No outcome follows. Its connection
// is not used again: the reply that did not come may come spoilt.
func (l *Client) Cancel(trace string) {
	k := l.calls[trace]
	if k == nil {
		return
	}
	delete(l.calls, trace)
	if k.conn == nil {
		l.Timers.Cancel(k.redial)
		l.waiting = slices.DeleteFunc(l.waiting, func(w *call) bool { return w == k })
		return
	}
	c := k.conn
	c.call = nil
	if c.sock != nil {
		c.sock.Write(lineproto.AppendMessage(nil, "UNOP "+trace, nil, false))
	}
	c.end(exchange.ResultUnreachable)
}

// close closes the connection and frees its place.
func (c *conn) close() {
	c.gone = true
	c.link.pool.ReleaseCall()
	c.link.take(c)
	if c.sock != nil {
		c.sock.CloseGracefully()
	}
}

// end closes the connection, ends the call on it and lets the next one connect.
func (c *conn) end(end exchange.Result) {
	l := c.link
	c.close()
	switch k := c.call; {
	case k == nil:
	case end == exchange.ResultConnectionLost && k.again() && l.Now()+l.lingers < k.until:
		c.call, k.conn = nil, nil
		if l.lingers == 0 {
			l.place(k)
		} else {
			k.redial = l.Timers.Schedule(l.Now()+l.lingers, func() { l.place(k) })
		}
	default:
		c.finish(end, nil)
	}
	l.next()
}

// next places the call that waits for longest, if there is room.
func (l *Client) next() {
	if len(l.waiting) > 0 && l.placed(l.waiting[0]) {
		l.waiting = l.waiting[1:]
	}
}

// finish reports how the connection's call ended.
func (c *conn) finish(end exchange.Result, reply []byte) {
	k := c.call
	c.call = nil
	delete(c.link.calls, k.TraceID)
	c.link.Exchange.Post(exchange.Outcome{TraceID: k.TraceID, Stage: exchange.CallEnded, Result: end, Body: reply})
}

func (c *conn) lost(err error) {
	end := exchange.ResultUnreachable // closed before a call was sent
	if c.sock != nil {
		end = exchange.ResultConnectionLost
	} else if c.call != nil {
		c.refused(err)
		return
	}
	if c.call != nil {
		if errors.Is(err, errLate) {
			c.link.took(c.link.Now() - c.sent)
		}
		c.link.Log.Warn("records link lost", zap.String("trace", c.call.TraceID), zap.Error(err))
	}
	c.end(end)
}

func long(words []string) bool { return len(words) == 3 && words[1] == "DONE" }

func (c *conn) read(m lineproto.Message) {
	ends := map[string]exchange.Result{"DONE": exchange.ResultOK, "WAIT": exchange.ResultNotStarted, "ERROR": exchange.ResultError,
		"PAST": exchange.ResultTimedOut, "EMPTY": exchange.ResultNotStarted}
	w := m.Words
	if len(w) < 2 || !exchange.IsTraceID(w[0]) || long(w) != (w[1] == "DONE") || !long(w) && len(w) != 2 {
		c.lost(fmt.Errorf("%w: %q", errSpoilt, w)) // nothing after it can be trusted
		return
	}
	end, ok := ends[w[1]]
	switch {
	case !ok:
		c.lost(fmt.Errorf("%w: %q", errSpoilt, w))
	case c.call == nil || c.call.TraceID != w[0]:
		// A copy, or the reply to what was never asked: it belongs to no call. Guards
		// against a service that has no end of them.
		if c.stray++; c.stray > strayMost {
			c.lost(fmt.Errorf("%w: %d that belong to no call", errSpoilt, c.stray))
		}
	default:
		if end == exchange.ResultOK { // a refusal comes sooner
			c.link.took(c.link.Now() - c.sent)
		}
		c.finish(end, m.Payload)
		c.rest()
	}
}

// rest keeps the connection for a call that comes soon.
func (c *conn) rest() {
	l := c.link
	if c.addr != l.addr {
		c.end(exchange.ResultUnreachable)
		return
	}
	l.free = append(l.free, c)
	l.Timers.Cancel(c.due)
	c.due = l.Timers.Schedule(l.Now()+idleMost, func() { c.end(exchange.ResultUnreachable) })
	if len(l.free) > freeMost {
		l.free[0].end(exchange.ResultUnreachable)
	}
	l.next()
}
