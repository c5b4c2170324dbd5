// Package records is the link to the records service, which takes the calls
// that runs make below. All of it runs in the core's goroutine, but for the
// parsing of what arrives.
package records

import (
	"fmt"
	"time"

	"go.uber.org/zap"

	"oxbowbridge/internal/deadline"
	"oxbowbridge/internal/exchange"
	"oxbowbridge/internal/lines"
	"oxbowbridge/internal/socket"
)

const (
	dialTimeout = time.Second
	// The service closes what is idle for 10 s. The link does so earlier: a call
	// that crosses the service's close would end with no proof of anything.
	idleMost = 8 * time.Second
)

// Link is the exchange.Caller that speaks to the records service.
type Link struct {
	addr    string
	x       *exchange.Exchange
	loop    *socket.Loop
	due     *deadline.Set
	now     func() time.Duration
	log     *zap.Logger
	conn    *socket.Conn
	epoch   int  // of the connection: what older ones report is skipped
	dialing bool // calls wait for the connection
	calls   map[string]exchange.Attempt
	waiting []string // traces of calls that are not sent, oldest first
	idle    *deadline.Entry
}

// New returns a Link that connects with its first call.
func New(addr string, x *exchange.Exchange, loop *socket.Loop, due *deadline.Set, now func() time.Duration, log *zap.Logger) *Link {
	return &Link{addr: addr, x: x, loop: loop, due: due, now: now, log: log, calls: map[string]exchange.Attempt{}}
}

// Call makes a call; the Outcome comes from the exchange.
func (l *Link) Call(a exchange.Attempt) {
	l.due.Cancel(l.idle)
	l.calls[a.Trace] = a
	if l.conn != nil {
		l.send(a)
		return
	}
	l.waiting = append(l.waiting, a.Trace)
	if !l.dialing {
		l.dial()
	}
}

func (l *Link) send(a exchange.Attempt) {
	line := fmt.Sprintf("OP %s %d %d", a.Trace, max(1, a.Wait.Milliseconds()), len(a.Body))
	l.conn.Write(lines.Append(nil, line, a.Body, true))
}

// GiveUp ends a call that nobody waits for. No outcome follows.
func (l *Link) GiveUp(trace string) {
	if _, ok := l.calls[trace]; !ok {
		return
	}
	delete(l.calls, trace)
	if l.conn != nil {
		l.conn.Write(lines.Append(nil, "UNOP "+trace, nil, false))
	}
	l.rest()
}

// rest closes the connection when it has been idle for long.
func (l *Link) rest() {
	if len(l.calls) > 0 || l.conn == nil {
		return
	}
	l.due.Cancel(l.idle)
	l.idle = l.due.At(l.now()+idleMost, func() {
		if len(l.calls) == 0 && l.conn != nil {
			l.conn.Close()
			l.conn, l.epoch = nil, l.epoch+1
		}
	})
}

func (l *Link) dial() {
	l.dialing = true
	l.epoch++
	epoch := l.epoch
	l.loop.Dial("tcp", l.addr, dialTimeout, func(*socket.Conn) socket.Handler {
		return &reader{link: l, epoch: epoch, parser: lines.Parser{Long: long}}
	}, func(c *socket.Conn, err error) {
		l.x.Post(exchange.Step(func() { l.opened(epoch, c, err) }))
	})
}

func (l *Link) opened(epoch int, c *socket.Conn, err error) {
	if epoch != l.epoch {
		if c != nil {
			c.Abandon()
		}
		return
	}
	l.dialing = false
	if err != nil {
		l.log.Warn("records service not reached", zap.Error(err), zap.Int("calls", len(l.calls)))
		l.end(exchange.Unreachable) // nothing was ever sent
		return
	}
	l.conn = c
	for _, trace := range l.waiting {
		if a, ok := l.calls[trace]; ok {
			l.send(a)
		}
	}
	l.waiting = nil
	l.rest()
}

// end settles all calls.
func (l *Link) end(end exchange.End) {
	for trace := range l.calls {
		l.x.Post(exchange.Outcome{Trace: trace, Stage: exchange.Called, End: end})
	}
	clear(l.calls)
	l.waiting = nil
}

func (l *Link) lost(err error) {
	l.due.Cancel(l.idle)
	if len(l.calls) > 0 {
		l.log.Warn("records link lost", zap.Error(err), zap.Int("calls", len(l.calls)))
	}
	end := exchange.Broken
	if l.conn == nil { // closed before a call was sent
		end = exchange.Unreachable
	} else {
		l.conn.Abandon()
	}
	l.conn, l.dialing, l.epoch = nil, false, l.epoch+1
	l.end(end)
}

// reader parses one connection.
type reader struct {
	link   *Link
	epoch  int
	parser lines.Parser
	bad    bool
}

func long(words []string) bool { return len(words) == 3 && words[1] == "DONE" }

func (r *reader) Data(b []byte) {
	if r.bad {
		return
	}
	err := r.parser.Feed(b, func(m lines.Message) {
		r.link.x.Post(exchange.Step(func() {
			if r.epoch == r.link.epoch {
				r.link.read(m)
			}
		}))
	})
	if err != nil {
		r.bad = true
		r.Closed(err)
	}
}

func (r *reader) Closed(err error) {
	r.link.x.Post(exchange.Step(func() {
		if r.epoch == r.link.epoch {
			r.link.lost(err)
		}
	}))
}

func (l *Link) read(m lines.Message) {
	ends := map[string]exchange.End{"DONE": exchange.OK, "WAIT": exchange.NotBegun, "ERROR": exchange.Error,
		"PAST": exchange.OutOfTime, "EMPTY": exchange.NotBegun}
	end, ok := exchange.Error, false
	if len(m.Words) >= 2 {
		end, ok = ends[m.Words[1]]
	}
	if !ok {
		l.log.Warn("records line not understood", zap.Strings("words", m.Words))
		return
	}
	trace := m.Words[0]
	if _, open := l.calls[trace]; !open {
		return // given up
	}
	delete(l.calls, trace)
	l.x.Post(exchange.Outcome{Trace: trace, Stage: exchange.Called, End: end, Body: m.Payload})
	l.rest()
}
