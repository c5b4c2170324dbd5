// Package engine is the link to the engine, which does the work. All of it runs
// in the core's goroutine, but for the parsing of what arrives.
package engine

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"go.uber.org/zap"

	"oxbowbridge/internal/proxy/exchange"
	"oxbowbridge/internal/proxy/timerqueue"
	"oxbowbridge/internal/transport/eventloop"
	"oxbowbridge/internal/transport/lineproto"
	"oxbowbridge/internal/transport/session"
)

const (
	retryFirst = time.Millisecond
	retryMost  = 500 * time.Millisecond
	syncTag    = "sync"
	quietStep  = 250 * time.Millisecond // questions that are closer count as one
	quietMost  = 20                     // of them without an answer: 5 s, after which a link counts as lost
	// helloMost is how long a link waits for HELLO before another one is opened beside it. An
	// engine that is not up yet sends none, but neither does one that has forgotten the link.
	helloMost = 2 * time.Second
	gaugeTag  = "gauges"
)

var errQuiet = errors.New("nothing heard")

// run is a run that was ordered and has not ended.
type run struct {
	attempt exchange.Attempt
	sent    int  // link that RUN went out on, 0 if on none
	seen    bool // a notice told that it runs
	halted  bool // HALT was sent, and nothing tells that it was carried out
	over    bool // its answer is given: it is not resumed
	resumed int  // link that RESUME went out on, 0 if there is nothing to resume
	feed    []byte
	fed     int // link that FEED went out on, -1 if on none yet, 0 if there is nothing to feed
}

// Session is the exchange.Runner that speaks to the engine. Its connections are
// numbered: what older ones than the present one report is skipped.
type Session struct {
	session.Dependencies
	addr    string
	conn    *eventloop.Conn
	present int // number of conn, 0 without one
	dialed  int // number of the latest attempt
	again   *timerqueue.Timer
	up      bool
	ready   bool // said so once
	last    uint64
	gap     bool // notices are missing before the first one on this link
	retry   time.Duration
	quiet   int           // questions asked since the engine last said anything
	asked   time.Duration // when the latest of them was
	pauses  bool          // HALT pauses a run, and RESUME goes on with it
	runs    map[string]*run
}

// New returns a Link that isn't connected. pauses tells what HALT does to a run.
func New(addr string, pauses bool, env session.Dependencies) *Session {
	return &Session{Dependencies: env, addr: addr, pauses: pauses, retry: retryFirst, runs: map[string]*run{}}
}

// Open connects, and connects again whenever the link is lost. A link that is
// there goes on until the new one takes its place.
func (l *Session) Open() {
	l.Timers.Cancel(l.again)
	l.dialed++
	n := l.dialed
	l.Dial(l.addr, &session.LineHandler{Dependencies: l.Dependencies, Parser: lineproto.Parser{HasPayload: long}, OnMessage: l.read,
		OnLost:  func(err error) { l.lost(n, err) },
		Current: func() bool { return n == l.present || n == l.dialed }},
		func(c *eventloop.Conn, err error) { l.opened(n, c, err) })
}

// SetAddress goes on at another address. Runs and numbers of notices stay as they are:
// it is the same engine.
func (l *Session) SetAddress(addr string) {
	if addr == l.addr {
		return
	}
	l.addr, l.retry = addr, retryFirst
	l.Open()
}

func (l *Session) opened(n int, c *eventloop.Conn, err error) {
	switch {
	case err != nil:
		l.lost(n, err)
		return
	case n != l.dialed: // another attempt is on its way, or this one was lost already
		c.Abort()
		return
	}
	if l.conn != nil {
		l.conn.Abort()
	}
	l.conn, l.present, l.up, l.gap, l.quiet = c, n, false, false, 0
	l.write(fmt.Sprintf("ATTACH %d", l.last), nil, false)
	l.Timers.Schedule(l.Now()+helloMost, func() { l.attachAgain(n) })
}

// attachAgain opens another link if the given one is the latest and had no HELLO so far.
func (l *Session) attachAgain(n int) {
	if n == l.present && n == l.dialed && !l.up {
		l.Open()
	}
}

// lost connects once more if the link or the latest attempt at one has failed,
// at once at first and then after a while that grows.
func (l *Session) lost(n int, err error) {
	if n == l.present {
		l.conn.Abort()
		l.conn, l.present, l.up = nil, 0, false
	}
	if n != l.dialed {
		return
	}
	l.dialed++ // what was attempted counts no more
	l.Log.Warn("engine link lost", zap.Error(err), zap.Duration("again_in", l.retry))
	l.again = l.Timers.Schedule(l.Now()+l.retry, l.Open)
	l.retry = min(2*l.retry, retryMost)
}

func (l *Session) write(line string, payload []byte, long bool) {
	if l.conn != nil {
		l.conn.Write(lineproto.AppendMessage(nil, line, payload, long))
	}
}

// Run orders a run. While no link is up it waits for one: what was never sent
// can't have run.
func (l *Session) Run(a exchange.Attempt) {
	r := &run{attempt: a}
	l.runs[a.TraceID] = r
	if l.up {
		l.send(r)
	}
}

func (l *Session) send(r *run) {
	r.sent = l.present
	l.write(fmt.Sprintf("RUN %s %s %d", r.attempt.TraceID, r.attempt.Class, len(r.attempt.Body)), r.attempt.Body, true)
}

// Halt stops a run. One that is over is not resumed.
func (l *Session) Stop(trace string, over bool) {
	r := l.runs[trace]
	if r == nil {
		return
	}
	r.halted, r.over, r.resumed = true, r.over || over, 0
	if r.sent == 0 { // the engine never heard of it
		l.end(trace, exchange.ResultStopped)
		return
	}
	if l.up {
		l.write("HALT "+trace, nil, false)
	}
}

// Resume goes on with a run that is paused.
func (l *Session) Resume(trace string) {
	r := l.runs[trace]
	if r == nil {
		return
	}
	r.resumed = -1
	if l.up {
		l.sendResume(r)
	}
}

func (l *Session) sendResume(r *run) {
	r.resumed = l.present
	l.write("RESUME "+r.attempt.TraceID, nil, false)
}

// Drop forgets a run that is paused: its request is over.
func (l *Session) Discard(trace string) { delete(l.runs, trace) }

// Feed gives a run the reply to its call.
func (l *Session) DeliverReply(trace string, body []byte) {
	r := l.runs[trace]
	if r == nil {
		return
	}
	r.feed, r.fed = body, -1
	if l.up {
		l.sendFeed(r)
	}
}

func (l *Session) sendFeed(r *run) {
	r.fed = l.present
	l.write(fmt.Sprintf("FEED %s %d", r.attempt.TraceID, len(r.feed)), r.feed, true)
}

// AskGauges asks for the gauges. Guards against a link that stays open and silent: an
// engine that was up once answers, also while its work hangs. What is asked is counted,
// not time, so that a pause of this process is held against nobody. A link that waits
// for an engine's start is silent by right.
func (l *Session) RequestGauges() {
	if l.up {
		l.write("STAT "+gaugeTag, nil, false)
	}
	if l.conn == nil || !l.ready {
		return
	}
	now := l.Now()
	if now-l.asked < quietStep {
		return
	}
	l.asked = now
	if l.quiet++; l.quiet > quietMost {
		l.lost(l.present, errQuiet)
	}
}

func long(words []string) bool { return words[0] == "DONE" || words[0] == "NEED" }

// read handles one message of the engine.
func (l *Session) read(m lineproto.Message) {
	w := m.Words
	l.quiet = 0
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
		l.gap = l.gap || n != l.last+1
		l.last = n
		switch {
		case w[0] == "NEED" && len(w) == 4:
			if r := l.runs[w[2]]; r != nil {
				r.seen, r.fed, r.feed, r.resumed = true, 0, nil, 0
			}
			l.Exchange.Post(exchange.Outcome{TraceID: w[2], Stage: exchange.CallNeeded, Body: m.Payload})
		case w[0] == "DONE" && len(w) == 6:
			l.done(w, m.Payload)
		case w[0] != "NOTE":
			l.odd(w)
		}
	default:
		l.odd(w)
	}
}

func (l *Session) odd(w []string) { l.Log.Warn("engine line not understood", zap.Strings("words", w)) }

func (l *Session) hello(w []string) {
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
		l.Exchange.Post(exchange.RunnerReady{ColdStart: w[1] == "COLD", Uptime: time.Duration(ms) * time.Millisecond})
	}
}

func (l *Session) stats(w []string) {
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
// the notices that were missed are read: by then a run of which nothing was told
// has not ended. Either it runs, and nothing happens, or RUN was lost and it
// begins now. Where notices are missing it may have ended: then only what is safe
// to repeat is, and the rest is given up.
func (l *Session) resend() {
	for trace, r := range l.runs {
		switch {
		case r.sent == l.present:
		case l.gap && !r.attempt.Idempotent:
			l.write("HALT "+trace, nil, false)
			l.end(trace, exchange.ResultError)
			continue
		case !r.seen || l.gap:
			l.send(r)
		}
		if r.fed != 0 && r.fed != l.present {
			l.sendFeed(r)
		}
		if r.resumed != 0 && r.resumed != l.present {
			l.sendResume(r)
		}
		if r.halted {
			l.write("HALT "+trace, nil, false)
		}
	}
}

// end reports a run as over, on no word of the engine.
func (l *Session) end(trace string, end exchange.Result) {
	delete(l.runs, trace)
	l.Exchange.Post(exchange.Outcome{TraceID: trace, Stage: exchange.RunEnded, Result: end})
}

func (l *Session) done(w []string, result []byte) {
	ms, err := strconv.ParseFloat(w[4], 64)
	ends := map[string]exchange.Result{"OK": exchange.ResultOK, "ERROR": exchange.ResultError, "STOPPED": exchange.ResultStopped, "MOOT": exchange.ResultObsolete}
	end, ok := ends[w[3]]
	if err != nil || !ok {
		l.odd(w)
		end = exchange.ResultError
	}
	if r := l.runs[w[2]]; end == exchange.ResultStopped && l.pauses && r != nil && r.halted && !r.over {
		r.seen, r.halted = true, false
	} else {
		delete(l.runs, w[2])
	}
	l.Exchange.Post(exchange.Outcome{TraceID: w[2], Stage: exchange.RunEnded, Result: end,
		Duration: time.Duration(ms * float64(time.Millisecond)), Body: result})
}

// refused handles a command that was not carried out. A RUN that the engine
// won't take is of no request that came here from a balancer.
func (l *Session) refused(w []string) {
	l.Log.Warn("engine refused a command", zap.String("command", strings.Join(w[1:], " ")))
	if len(w) < 3 || w[1] != "RUN" || l.runs[w[2]] == nil {
		return
	}
	l.end(w[2], exchange.ResultNotStarted)
}
