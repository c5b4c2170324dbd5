package engine

import (
	"errors"
	"strconv"
	"time"

	"go.uber.org/zap"

	"oxbowbridge/internal/proxy/timerqueue"
	"oxbowbridge/internal/transport/engine/delivery"
	"oxbowbridge/internal/transport/eventloop"
	"oxbowbridge/internal/transport/lineproto"
	"oxbowbridge/internal/transport/session"
)

const (
	// Delay before a connection is dialed again, which doubles with each failure.
	minReconnectDelay = time.Millisecond
	maxReconnectDelay = 500 * time.Millisecond

	// greetingTimeout is how long a connection waits for HELLO before another one is opened beside
	// it. An engine that is not up yet sends none, but neither does one that has lost the connection.
	greetingTimeout = 2 * time.Second

	// The engine counts as lost after more than maxUnansweredPolls polls without a message. Polls
	// that are closer than minPollInterval count as one: that takes at least 5 s, and longer where
	// RequestGauges is called less often.
	minPollInterval    = 250 * time.Millisecond
	maxUnansweredPolls = 20
)

var errEngineSilent = errors.New("no message from the engine")

// connNumber numbers connections, and dials of them, from 1.
type connNumber int

// noConn stands for no connection.
const noConn connNumber = 0

// Session is the exchange.Runner that speaks to the engine.
type Session struct {
	session.Config
	addr                 string
	pausesOnStop         bool // a stopped run is paused, and can be resumed
	conn                 *eventloop.Conn
	currentConn          connNumber // number of conn, or noConn
	latestDial           connNumber
	greetingReceived     bool                     // HELLO has arrived on the current connection
	resynced             bool                     // resync was done on the current connection
	polls                delivery.ConnectionPolls // what the current connection shows to be read
	readyPosted          bool                     // HELLO has arrived once
	engineUptime         time.Duration            // at the latest HELLO
	lastNotification     uint64
	notificationsMissing bool // notices are missing before the first one on the current connection
	reconnectDelay       time.Duration
	reconnectTimer       *timerqueue.Timer
	unansweredPolls      int           // since the latest message of the engine
	lastCountedPollAt    time.Duration // when the latest of them was
	runs                 map[string]*run
	runDurations         map[string]*session.LatencyEstimator // of runs, by class
	lastEndedSubmittedAt time.Duration                        // when the latest run that has ended was ordered
}

// New returns a Session that is not connected. pausesOnStop tells what HALT does to a run.
func New(addr string, pausesOnStop bool, deps session.Config) *Session {
	return &Session{
		Config:         deps,
		addr:           addr,
		pausesOnStop:   pausesOnStop,
		reconnectDelay: minReconnectDelay,
		runs:           map[string]*run{},
		runDurations:   map[string]*session.LatencyEstimator{},
	}
}

// Open connects, and connects again whenever the connection is lost. A current connection is
// used until the new one takes its place.
func (s *Session) Open() {
	s.Timers.Cancel(s.reconnectTimer)
	s.latestDial++
	n := s.latestDial
	s.Dial(s.addr, &session.LineHandler{
		Config:  s.Config,
		Parser:  lineproto.Parser{HasPayload: hasPayload},
		Current: func() bool { return n == s.currentConn || n == s.latestDial },
		OnMessage: func(m lineproto.Message) {
			if n == s.currentConn { // one that is not open yet has had no ATTACH to answer
				s.receive(m)
			}
		},
		OnLost: func(err error) { s.connectionLost(n, err) },
	}, func(c *eventloop.Conn, err error) { s.dialCompleted(n, c, err) })
}

// SetAddress goes on at another address. Runs and numbers of notices stay as they are: it is the
// same engine.
func (s *Session) SetAddress(addr string) {
	if addr == s.addr {
		return
	}
	s.addr = addr
	s.reconnectDelay = minReconnectDelay
	s.Open()
}

// dialCompleted makes a connection the current one, unless a later dial has taken its place.
func (s *Session) dialCompleted(n connNumber, c *eventloop.Conn, err error) {
	if err != nil {
		s.connectionLost(n, err)
		return
	}
	if n != s.latestDial { // another dial is under way, or this connection was lost already
		c.Abort()
		return
	}
	if s.conn != nil {
		s.conn.Abort()
		s.markConnectionLost()
	}
	s.conn = c
	s.currentConn = n
	s.greetingReceived = false
	s.resynced = false
	s.polls = delivery.ConnectionPolls{}
	s.notificationsMissing = false
	s.unansweredPolls = 0
	s.send(commandAttach, strconv.FormatUint(s.lastNotification, 10))
	s.Timers.Schedule(s.Now()+greetingTimeout, func() { s.checkGreeting(n) })
}

// checkGreeting opens another connection if the given one is the latest and had no HELLO so far.
func (s *Session) checkGreeting(n connNumber) {
	if n == s.currentConn && n == s.latestDial && !s.greetingReceived {
		s.Open()
	}
}

// connectionLost dials once more if the current connection or the latest dial has failed.
func (s *Session) connectionLost(n connNumber, err error) {
	if n == s.currentConn {
		s.conn.Abort()
		s.markConnectionLost()
		s.conn = nil
		s.currentConn = noConn
		s.greetingReceived = false
	}
	if n != s.latestDial {
		return
	}
	s.latestDial++ // nothing more is expected of the dial that failed
	s.Log.Warn("engine connection lost", zap.Error(err), zap.Int64("retry_in_ms", s.reconnectDelay.Milliseconds()))
	s.reconnectTimer = s.Timers.Schedule(s.Now()+s.reconnectDelay, s.Open)
	s.reconnectDelay = min(2*s.reconnectDelay, maxReconnectDelay)
}

// RequestGauges polls the engine for the gauges, and guards against a connection that stays open
// and silent: an engine that was up once answers, also while its work hangs. Polls are counted
// rather than time, so that a pause of this process does not count. Before the engine has been up
// no answer is expected.
func (s *Session) RequestGauges() {
	if s.greetingReceived {
		s.poll(tagGauges)
	}
	if s.conn == nil || !s.readyPosted {
		return
	}
	now := s.Now()
	if now-s.lastCountedPollAt < minPollInterval {
		return
	}
	s.lastCountedPollAt = now
	s.unansweredPolls++
	if s.unansweredPolls > maxUnansweredPolls {
		s.connectionLost(s.currentConn, errEngineSilent)
	}
}

// poll asks the engine for its gauges. Its answer also shows that all commands before it on the
// connection were read.
func (s *Session) poll(tag string) {
	s.polls.PollSent()
	s.send(commandStats, tag)
}

// send sends a command, if there is a connection.
func (s *Session) send(words ...string) {
	if s.conn != nil {
		s.conn.Write(lineproto.AppendLine(nil, words...))
	}
}

// sendPayload sends a command with a payload, if there is a connection.
func (s *Session) sendPayload(payload []byte, words ...string) {
	if s.conn != nil {
		s.conn.Write(lineproto.AppendWithPayload(nil, payload, words...))
	}
}
