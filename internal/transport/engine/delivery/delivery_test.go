package delivery

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"oxbowbridge/internal/testrig/rapidseed"
)

func TestMain(m *testing.M) { rapidseed.RunTests(m) }

func TestResync(t *testing.T) {
	neverSent, unconfirmed := Command{}, Command{}
	var polls ConnectionPolls
	unconfirmed.MarkSent(&polls)
	polls.PollSent()
	started := unconfirmed
	started.MarkStarted()
	neverSent.MarkConnectionLost(&polls)
	readByEngine := unconfirmed
	unconfirmed.MarkConnectionLost(&polls)
	started.MarkConnectionLost(&polls)
	polls.PollAnswered()
	readByEngine.MarkConnectionLost(&polls)
	var sent Command
	sent.MarkSent(&polls)
	for _, tt := range []struct {
		command     Command
		history     NotificationHistory
		idempotency Idempotency
		want        Action
	}{
		{Command{}, HistoryComplete, NotIdempotent, Send},
		{neverSent, HistoryComplete, NotIdempotent, Send},
		{neverSent, HistoryIncomplete, NotIdempotent, Send},
		{sent, HistoryComplete, NotIdempotent, NoAction},
		{sent, HistoryIncomplete, Idempotent, NoAction},
		{unconfirmed, HistoryComplete, NotIdempotent, AwaitUnconfirmed},
		{unconfirmed, HistoryComplete, Idempotent, Send},
		{unconfirmed, HistoryIncomplete, NotIdempotent, GiveUp},
		{unconfirmed, HistoryIncomplete, Idempotent, Send},
		{readByEngine, HistoryComplete, NotIdempotent, AwaitAcknowledged},
		{readByEngine, HistoryComplete, Idempotent, AwaitAcknowledged},
		{started, HistoryComplete, NotIdempotent, NoAction},
		{started, HistoryComplete, Idempotent, NoAction},
		{started, HistoryIncomplete, NotIdempotent, GiveUp},
		{started, HistoryIncomplete, Idempotent, Send},
		{readByEngine, HistoryIncomplete, NotIdempotent, GiveUp},
		{readByEngine, HistoryIncomplete, Idempotent, Send},
	} {
		assert.Equal(t, tt.want, tt.command.Resync(tt.history, tt.idempotency), "state %v, history %d, idempotency %d", tt.command.State(), tt.history, tt.idempotency)
	}
}

// model simulates the service, which submits one run after another, and the engine. A connection is a
// list of messages in each direction. rapid draws the step that is executed next.
type model struct {
	idempotency Idempotency

	// State of the service.
	run                  int     // number of the current run, from 1
	command              Command // RUN for the current run
	runPending           bool    // the current run has neither ended nor been given up
	awaitingTimeout      bool    // the current run fails at its request's deadline unless a notification arrives
	polls                ConnectionPolls
	connected            bool
	greetingReceived     bool
	resynced             bool
	notificationsMissing bool // the engine has dropped notifications that were not received
	lastNotification     int  // number of the last notification received

	// State of the engine, and messages in transit.
	toEngine             []message
	lostMessages         []message // unread messages of lost connections, which the engine may still read
	toService            []message
	endedRuns            []int // run of each notification, at the index of the notification's number minus 1
	droppedNotifications int   // how many notifications the engine has dropped, the oldest first
	running              map[int]bool
	runCounts            map[int]int // how often each run was executed
}

type message struct {
	kind   messageKind
	number int // of the notification; of the run in runCommand
}

type messageKind uint8

const (
	runCommand messageKind = iota
	poll
	pollAnswer
	attach
	hello
	runEnd
)

var steps = []string{"submit run", "lose connection", "connect", "poll", "engine reads", "engine reads", "engine reads", "engine reads a lost connection",
	"run ends", "service reads", "service reads", "service reads", "engine drops its notifications"}

// maxSteps is the length of a test run. One run takes about ten steps, and a reconnect about five.
const maxSteps = 400

// step executes a step of the model, if the model's state allows it.
func (m *model) step(name string) {
	switch name {
	case "submit run":
		m.submitRun()
	case "lose connection":
		m.loseConnection()
	case "connect":
		m.connect()
	case "poll":
		if m.greetingReceived {
			m.sendPoll()
		}
	case "engine reads":
		m.engineReads(&m.toEngine)
	case "engine reads a lost connection":
		m.engineReads(&m.lostMessages)
	case "run ends":
		m.runEnds()
	case "service reads":
		m.serviceReads()
	case "engine drops its notifications":
		if !m.connected {
			m.droppedNotifications = len(m.endedRuns)
		}
	}
}

// submitRun submits the next run, unless one is pending.
func (m *model) submitRun() {
	if m.runPending {
		return
	}
	m.run++
	m.command = Command{}
	m.runPending = true
	m.awaitingTimeout = false
	if m.greetingReceived {
		m.sendRun()
	}
}

func (m *model) sendRun() {
	m.command.MarkSent(&m.polls)
	m.toEngine = append(m.toEngine, message{runCommand, m.run})
}

func (m *model) sendPoll() {
	m.polls.PollSent()
	m.toEngine = append(m.toEngine, message{kind: poll})
}

// loseConnection closes the connection. The engine may read the unread messages of it later, or never.
func (m *model) loseConnection() {
	if !m.connected {
		return
	}
	m.connected = false
	m.greetingReceived = false
	m.lostMessages = append(m.lostMessages, m.toEngine...)
	m.toEngine = nil
	m.toService = nil
	m.command.MarkConnectionLost(&m.polls)
}

func (m *model) connect() {
	if m.connected {
		return
	}
	m.connected = true
	m.resynced = false
	m.notificationsMissing = false
	m.polls = ConnectionPolls{}
	m.toEngine = []message{{attach, m.lastNotification}}
}

func (m *model) engineReads(from *[]message) {
	if len(*from) == 0 {
		return
	}
	read := (*from)[0]
	*from = (*from)[1:]
	onCurrentConn := from == &m.toEngine
	switch {
	case read.kind == runCommand && !m.running[read.number]:
		m.running[read.number] = true
		m.runCounts[read.number]++
	case read.kind == poll && onCurrentConn:
		m.toService = append(m.toService, message{kind: pollAnswer})
	case read.kind == attach && onCurrentConn:
		m.toService = append(m.toService, message{kind: hello})
		for n := max(read.number, m.droppedNotifications) + 1; n <= len(m.endedRuns); n++ {
			m.toService = append(m.toService, message{runEnd, n})
		}
	}
}

// runEnds ends the oldest run.
func (m *model) runEnds() {
	for run := range m.run + 1 {
		if !m.running[run] {
			continue
		}
		delete(m.running, run)
		m.endedRuns = append(m.endedRuns, run)
		if m.connected {
			m.toService = append(m.toService, message{runEnd, len(m.endedRuns)})
		}
		return
	}
}

func (m *model) serviceReads() {
	if len(m.toService) == 0 {
		return
	}
	read := m.toService[0]
	m.toService = m.toService[1:]
	switch read.kind {
	case hello:
		m.greetingReceived = true
		if m.runPending && m.command.State() == NotSent {
			m.sendRun()
		}
		m.sendPoll()
	case pollAnswer:
		m.polls.PollAnswered()
		m.resync()
	case runEnd:
		m.receiveRunEnd(read.number)
	}
}

// receiveRunEnd handles a notification of the end of a run, unless it was received before.
func (m *model) receiveRunEnd(number int) {
	if number <= m.lastNotification {
		return
	}
	m.notificationsMissing = m.notificationsMissing || number != m.lastNotification+1
	m.lastNotification = number
	if m.endedRuns[number-1] == m.run {
		m.command.MarkStarted()
		m.runPending = false
	}
}

func (m *model) resync() {
	if m.resynced || !m.runPending {
		return
	}
	m.resynced = true
	history := HistoryComplete
	if m.notificationsMissing || m.lastNotification < m.droppedNotifications { // in the service, a gap in the notification numbers of other runs shows the drop
		history = HistoryIncomplete
	}
	switch m.command.Resync(history, m.idempotency) {
	case Send:
		m.sendRun()
	case AwaitUnconfirmed, AwaitAcknowledged:
		m.awaitingTimeout = true
	case GiveUp:
		m.runPending = false
	}
}

// quiesce connects and executes steps until no message is in transit and no run is active.
func (m *model) quiesce() {
	m.connect()
	for len(m.toEngine)+len(m.toService)+len(m.running) > 0 {
		m.step("engine reads")
		m.step("service reads")
		m.step("run ends")
	}
}

// TestLostConnections checks random orders of lost connections, late reads and run ends. A run that is
// not idempotent is executed at most once, and each run ends, is given up or has a timeout.
func TestLostConnections(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		idempotency := Idempotency(rapid.IntRange(int(NotIdempotent), int(Idempotent)).Draw(t, "idempotency"))
		m := &model{idempotency: idempotency, running: map[int]bool{}, runCounts: map[int]int{}}
		for _, what := range rapid.SliceOfN(rapid.SampledFrom(steps), maxSteps, maxSteps).Draw(t, "steps") {
			m.step(what)
		}
		m.quiesce()
		for run, count := range m.runCounts {
			if m.idempotency == NotIdempotent {
				require.LessOrEqual(t, count, 1, "executions of run %d", run)
			}
		}
		require.False(t, m.runPending && m.idempotency == Idempotent, "an idempotent run was not sent again until it ended")
		require.False(t, m.runPending && !m.awaitingTimeout, "a pending run has no timeout")
		require.False(t, m.runPending && m.runCounts[m.run] > 0, "the end of an executed run was not received")
	})
}

// TestConfirmedRunIsNotRepeated checks that the answer to a poll sent after RUN acknowledges RUN, and
// that the answer to a poll sent before RUN does not.
func TestConfirmedRunIsNotRepeated(t *testing.T) {
	for _, tt := range []struct {
		answers int
		want    State
	}{{0, Unconfirmed}, {1, Unconfirmed}, {2, Acknowledged}} {
		var polls ConnectionPolls
		var c Command
		polls.PollSent()
		c.MarkSent(&polls)
		polls.PollSent()
		for range tt.answers {
			polls.PollAnswered()
		}
		c.MarkConnectionLost(&polls)
		assert.Equal(t, tt.want, c.State(), "after %d poll answers", tt.answers)
	}
}
