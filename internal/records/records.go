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
	"oxbowbridge/internal/link"
	"oxbowbridge/internal/socket"
)

// The service closes what is idle for 10 s. The link does so earlier: a call
// that crosses the service's close would end with no proof of anything.
const idleMost = 8 * time.Second

// Link is the exchange.Caller that speaks to the records service.
type Link struct {
	link.Env
	addr    string
	conn    *socket.Conn
	epoch   int  // of the connection: what older ones report is skipped
	dialing bool // calls wait for the connection
	calls   map[string]exchange.Attempt
	waiting []string // traces of calls that are not sent, oldest first
	idle    *deadline.Entry
}

// New returns a Link that connects with its first call.
func New(addr string, env link.Env) *Link {
	return &Link{Env: env, addr: addr, calls: map[string]exchange.Attempt{}}
}

// Call makes a call; the Outcome comes from the exchange.
func (l *Link) Call(a exchange.Attempt) {
	l.Due.Cancel(l.idle)
	l.calls[a.Trace] = a
	if l.conn != nil {
		l.send(a)
		return
	}
	l.waiting = append(l.waiting, a.Trace)
	if !l.dialing {
		l.connect()
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
	l.Due.Cancel(l.idle)
	l.idle = l.Due.At(l.Now()+idleMost, func() {
		if len(l.calls) == 0 && l.conn != nil {
			l.conn.Close()
			l.conn, l.epoch = nil, l.epoch+1
		}
	})
}

func (l *Link) connect() {
	l.dialing = true
	l.epoch++
	epoch := l.epoch
	l.Dial("tcp", l.addr, &link.Lines{Env: l.Env, Parser: lines.Parser{Long: long}, Read: l.read, Lost: l.lost,
		Live: func() bool { return epoch == l.epoch }},
		func(c *socket.Conn, err error) { l.opened(epoch, c, err) })
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
		l.Log.Warn("records service not reached", zap.Error(err), zap.Int("calls", len(l.calls)))
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
		l.Exchange.Post(exchange.Outcome{Trace: trace, Stage: exchange.Called, End: end})
	}
	clear(l.calls)
	l.waiting = nil
}

func (l *Link) lost(err error) {
	l.Due.Cancel(l.idle)
	if len(l.calls) > 0 {
		l.Log.Warn("records link lost", zap.Error(err), zap.Int("calls", len(l.calls)))
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

func long(words []string) bool { return len(words) == 3 && words[1] == "DONE" }

func (l *Link) read(m lines.Message) {
	ends := map[string]exchange.End{"DONE": exchange.OK, "WAIT": exchange.NotBegun, "ERROR": exchange.Error,
		"PAST": exchange.OutOfTime, "EMPTY": exchange.NotBegun}
	end, ok := exchange.Error, false
	if len(m.Words) >= 2 {
		end, ok = ends[m.Words[1]]
	}
	if !ok {
		l.Log.Warn("records line not understood", zap.Strings("words", m.Words))
		return
	}
	trace := m.Words[0]
	if _, open := l.calls[trace]; !open {
		return // given up
	}
	delete(l.calls, trace)
	l.Exchange.Post(exchange.Outcome{Trace: trace, Stage: exchange.Called, End: end, Body: m.Payload})
	l.rest()
}
