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
	// Backoff before the next dial. The delay doubles with each failure.
	minReconnectDelay = time.Millisecond
	maxReconnectDelay = 500 * time.Millisecond

	// greetingTimeout is how long a connection may wait for HELLO before another one is dialed in
	// parallel. An engine that is still starting sends no HELLO, but neither does one that has lost
	// the connection.
	greetingTimeout = 2 * time.Second

	// The connection counts as lost after more than maxUnansweredPolls polls without a message from
	// the engine. Polls that are closer together than minPollInterval count as one, so detecting the
	// loss takes at least 5 s, and longer if RequestGauges is called less often.
	minPollInterval    = 250 * time.Millisecond
	maxUnansweredPolls = 20
)

var errEngineSilent = errors.New("no message from the engine")

// connNumber is the number of a dial, from 1, and of the connection that it opens.
type connNumber int

// noConn is the value of currentConn without a connection.
const noConn connNumber = 0

// Session is the exchange.Runner that runs requests at the engine.
type Session struct {
	session.Config
	addr                 string
	pausesOnStop         bool // HALT pauses a run, which can then be resumed
	conn                 *eventloop.Conn
	currentConn          connNumber // number of conn, or noConn
	latestDial           connNumber
	greetingReceived     bool                     // HELLO was received on the current connection
	resynced             bool                     // resync has run on the current connection
	polls                delivery.ConnectionPolls // on the current connection
	readyPosted          bool                     // exchange.RunnerReady was posted, after the first HELLO
	engineUptime         time.Duration            // at the latest HELLO
	lastNotification     uint64                   // number of the last notification received
	notificationsMissing bool                     // the engine has dropped notifications that were not received, or has restarted
	reconnectDelay       time.Duration
	reconnectTimer       *timerqueue.Timer
	unansweredPolls      int           // since the latest message from the engine
	lastCountedPollAt    time.Duration // when unansweredPolls was last increased
	runs                 map[string]*run
	runDurations         map[string]*session.LatencyEstimator // by class
	lastEndedSubmittedAt time.Duration                        // latest submission time of the runs that have ended
}

// New returns a Session that is not connected. With pausesOnStop, HALT pauses a run instead of ending
// it.
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

// Open dials the engine, and reconnects whenever the connection is lost. An existing connection stays
// in use until the new one replaces it.
func (s *Session) Open() {
	s.Timers.Cancel(s.reconnectTimer)
	s.latestDial++
	n := s.latestDial
	s.Dial(s.addr, &session.LineHandler{
		Config:    s.Config,
		Parser:    lineproto.Parser{HasPayload: hasPayload},
		IsCurrent: func() bool { return n == s.currentConn || n == s.latestDial },
		OnMessage: func(m lineproto.Message) {
			if n == s.currentConn { // before that, ATTACH was not sent and no message is expected
				s.receive(m)
			}
		},
		OnLost: func(err error) { s.connectionLost(n, err) },
	}, func(c *eventloop.Conn, err error) { s.dialCompleted(n, c, err) })
}

// SetAddress reconnects at another address of the same engine. Runs and notification numbers are
// retained.
func (s *Session) SetAddress(addr string) {
	if addr == s.addr {
		return
	}
	s.addr = addr
	s.reconnectDelay = minReconnectDelay
	s.Open()
}

// dialCompleted makes a connection the current one, unless another dial was started since.
func (s *Session) dialCompleted(n connNumber, c *eventloop.Conn, err error) {
	if err != nil {
		s.connectionLost(n, err)
		return
	}
	if n != s.latestDial { // another dial is in progress, or this connection is already lost
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

// checkGreeting opens another connection if connection n is the latest and has received no HELLO.
func (s *Session) checkGreeting(n connNumber) {
	if n == s.currentConn && n == s.latestDial && !s.greetingReceived {
		s.Open()
	}
}

// connectionLost handles the failure of connection or dial n. If n is the latest dial, it schedules
// another one.
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
	s.latestDial++ // later events of the failed dial are ignored
	s.Log.Warn("engine connection lost", zap.Error(err), zap.Int64("retry_in_ms", s.reconnectDelay.Milliseconds()))
	s.reconnectTimer = s.Timers.Schedule(s.Now()+s.reconnectDelay, s.Open)
	s.reconnectDelay = min(2*s.reconnectDelay, maxReconnectDelay)
}

// RequestGauges polls the engine for the gauges. It also detects a connection that stays open without
// any message: a started engine answers polls even while its runs hang. It counts polls and
// not elapsed time, so that a pause of this process does not look like a silent engine. Polls count
// only after the first HELLO, since an engine that is still starting does not answer.
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

// poll requests the engine's gauges. The answer also shows that the engine has read all earlier
// commands on the connection.
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
