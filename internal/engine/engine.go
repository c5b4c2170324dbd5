// Package engine is the link to the engine, which does the work. All of it runs
// in the core's goroutine, but for the parsing of what arrives.
package engine

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"go.uber.org/zap"

	"oxbowbridge/internal/exchange"
	"oxbowbridge/internal/lines"
	"oxbowbridge/internal/link"
	"oxbowbridge/internal/socket"
)

const (
	retryFirst = 20 * time.Millisecond
	retryMost  = 500 * time.Millisecond
	syncTag    = "sync"
	gaugeTag   = "gauges"
)

// run is a run that was ordered and has not ended.
type run struct {
	attempt exchange.Attempt
	sent    int  // epoch of the link that RUN went out on, 0 if on none
	seen    bool // a notice told that it runs
	halted  bool
	feed    []byte
	fed     int // epoch of the link that FEED went out on, -1 if on none yet, 0 if there is nothing to feed
}

// Link is the exchange.Runner that speaks to the engine.
type Link struct {
	link.Env
	addr  string
	conn  *socket.Conn
	epoch int // of the connection: what older ones report is skipped
	up    bool
	ready bool // said so once
	last  uint64
	retry time.Duration
	runs  map[string]*run
}

// New returns a Link that isn't connected.
func New(addr string, env link.Env) *Link {
	return &Link{Env: env, addr: addr, retry: retryFirst, runs: map[string]*run{}}
}

// Open connects, and connects again whenever the link is lost.
func (l *Link) Open() {
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
	if err != nil {
		l.again(err)
		return
	}
	l.conn = c
	l.write(fmt.Sprintf("ATTACH %d", l.last), nil, false)
}

// again connects once more, after a while that grows.
func (l *Link) again(err error) {
	l.Log.Warn("engine link lost", zap.Error(err), zap.Duration("again_in", l.retry))
	l.conn, l.up = nil, false
	l.epoch++ // nothing of the lost link counts any more
	l.Due.At(l.Now()+l.retry, l.Open)
	l.retry = min(2*l.retry, retryMost)
}

func (l *Link) write(line string, payload []byte, long bool) {
	if l.conn != nil {
		l.conn.Write(lines.Append(nil, line, payload, long))
	}
}

// Run orders a run. While no link is up it waits for one: what was never sent
// can't have run.
func (l *Link) Run(a exchange.Attempt) {
	r := &run{attempt: a}
	l.runs[a.Trace] = r
	if l.up {
		l.send(r)
	}
}

func (l *Link) send(r *run) {
	r.sent = l.epoch
	l.write(fmt.Sprintf("RUN %s %s %d", r.attempt.Trace, r.attempt.Class, len(r.attempt.Body)), r.attempt.Body, true)
}

// Halt stops a run.
func (l *Link) Halt(trace string) {
	r := l.runs[trace]
	if r == nil {
		return
	}
	r.halted = true
	if r.sent == 0 { // the engine never heard of it
		delete(l.runs, trace)
		l.Exchange.Post(exchange.Outcome{Trace: trace, Stage: exchange.Ran, End: exchange.Stopped})
		return
	}
	if l.up {
		l.write("HALT "+trace, nil, false)
	}
}

// Feed gives a run the reply to its call.
func (l *Link) Feed(trace string, body []byte) {
	r := l.runs[trace]
	if r == nil {
		return
	}
	r.feed, r.fed = body, -1
	if l.up {
		l.sendFeed(r)
	}
}

func (l *Link) sendFeed(r *run) {
	r.fed = l.epoch
	l.write(fmt.Sprintf("FEED %s %d", r.attempt.Trace, len(r.feed)), r.feed, true)
}

// AskGauges asks for the gauges.
func (l *Link) AskGauges() {
	if l.up {
		l.write("STAT "+gaugeTag, nil, false)
	}
}

func long(words []string) bool { return words[0] == "DONE" || words[0] == "NEED" }

func (l *Link) lost(err error) {
	if l.conn != nil {
		l.conn.Abandon()
	}
	l.again(err)
}

// read handles one message of the engine.
func (l *Link) read(m lines.Message) {
	w := m.Words
	switch {
	case w[0] == "HELLO" && len(w) == 3:
		l.hello(w)
	case w[0] == "STATS" && len(w) >= 2:
		l.stats(w)
	case w[0] == "NO" && len(w) >= 2:
		l.refused(w)
	case (w[0] == "NOTE" || w[0] == "NEED" || w[0] == "DONE") && len(w) >= 2:
		n, err := strconv.ParseUint(w[1], 10, 64)
		if err != nil {
			l.odd(w)
			return
		}
		if n <= l.last {
			return // told again after a new ATTACH
		}
		l.last = n
		switch {
		case w[0] == "NEED" && len(w) == 4:
			if r := l.runs[w[2]]; r != nil {
				r.seen, r.fed, r.feed = true, 0, nil
			}
			l.Exchange.Post(exchange.Outcome{Trace: w[2], Stage: exchange.Needs, Body: m.Payload})
		case w[0] == "DONE" && len(w) == 6:
			l.done(w, m.Payload)
		case w[0] != "NOTE":
			l.odd(w)
		}
	default:
		l.odd(w)
	}
}

func (l *Link) odd(w []string) { l.Log.Warn("engine line not understood", zap.Strings("words", w)) }

func (l *Link) hello(w []string) {
	ms, err := strconv.ParseInt(w[2], 10, 64)
	if err != nil {
		l.odd(w)
		return
	}
	l.up, l.retry = true, retryFirst
	for _, r := range l.runs {
		if r.sent == 0 {
			l.send(r)
		}
	}
	l.write("STAT "+syncTag, nil, false)
	if !l.ready {
		l.ready = true
		l.Log.Info("engine up", zap.String("state", w[1]), zap.Int64("since_ms", ms))
		l.Exchange.Post(exchange.Ready{Cold: w[1] == "COLD", Since: time.Duration(ms) * time.Millisecond})
	}
}

func (l *Link) stats(w []string) {
	if w[1] == syncTag {
		l.resend()
		return
	}
	var values exchange.Gauges
	for _, t := range w[2:] {
		x, err := strconv.ParseFloat(t, 64)
		if err != nil {
			l.odd(w)
			return
		}
		values = append(values, x)
	}
	l.Exchange.Post(values)
}

// resend repeats the commands that an earlier link may have lost. It waits until
// the notices that were missed are read: a run that ended meanwhile must not be
// started again, and one that may have run is not, unless its class is safe.
func (l *Link) resend() {
	for trace, r := range l.runs {
		if r.sent != l.epoch && !r.seen && r.attempt.Safe && !r.halted {
			l.send(r) // nothing happens if it runs
		}
		if r.fed != 0 && r.fed != l.epoch {
			l.sendFeed(r)
		}
		if r.halted {
			l.write("HALT "+trace, nil, false)
		}
	}
}

func (l *Link) done(w []string, result []byte) {
	ms, err := strconv.ParseFloat(w[4], 64)
	ends := map[string]exchange.End{"OK": exchange.OK, "ERROR": exchange.Error, "STOPPED": exchange.Stopped, "MOOT": exchange.Moot}
	end, ok := ends[w[3]]
	if err != nil || !ok {
		l.odd(w)
		end = exchange.Error
	}
	delete(l.runs, w[2])
	l.Exchange.Post(exchange.Outcome{Trace: w[2], Stage: exchange.Ran, End: end,
		Took: time.Duration(ms * float64(time.Millisecond)), Body: result})
}

// refused handles a command that was not carried out. A RUN that the engine
// won't take never ends by itself.
func (l *Link) refused(w []string) {
	l.Log.Warn("engine refused a command", zap.String("command", strings.Join(w[1:], " ")))
	if len(w) < 3 || w[1] != "RUN" || l.runs[w[2]] == nil {
		return
	}
	delete(l.runs, w[2])
	l.Exchange.Post(exchange.Outcome{Trace: w[2], Stage: exchange.Ran, End: exchange.Error})
}
