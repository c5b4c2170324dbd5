package delivery

import (
	"flag"
	"os"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"oxbowbridge/internal/testrig/rapidseed"
)

func TestMain(m *testing.M) {
	flag.Parse()
	rapidseed.Fix()
	os.Exit(m.Run())
}

func TestResync(t *testing.T) {
	neverSent, unconfirmed := Command{}, Command{}
	var on ConnectionPolls
	unconfirmed.MarkSent(&on)
	on.PollSent()
	started := unconfirmed
	started.MarkStarted()
	neverSent.MarkConnectionLost(&on)
	read := unconfirmed
	unconfirmed.MarkConnectionLost(&on)
	started.MarkConnectionLost(&on)
	on.PollAnswered()
	read.MarkConnectionLost(&on)
	var sent Command
	sent.MarkSent(&on)
	for _, tt := range []struct {
		command Command
		notices NotificationHistory
		effect  Idempotency
		want    Action
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
		{read, HistoryComplete, NotIdempotent, AwaitAcknowledged},
		{read, HistoryComplete, Idempotent, AwaitAcknowledged},
		{started, HistoryComplete, NotIdempotent, NoAction},
		{started, HistoryComplete, Idempotent, NoAction},
		{started, HistoryIncomplete, NotIdempotent, GiveUp},
		{started, HistoryIncomplete, Idempotent, Send},
		{read, HistoryIncomplete, NotIdempotent, GiveUp},
		{read, HistoryIncomplete, Idempotent, Send},
	} {
		assert.Equal(t, tt.want, tt.command.Resync(tt.notices, tt.effect), "%v, notices %d, effect %d", tt.command.State(), tt.notices, tt.effect)
	}
}

// model is a service that orders one run after the other, and an engine. Bytes of a connection are
// lists of messages; whichever is moved next is drawn.
type model struct {
	effect Idempotency

	// The service's side.
	run        int     // the current one, from 1
	command    Command // of the current run
	wanted     bool    // the current run has not ended, and is not given up
	awaits     bool    // it fails when its request is due
	conn       ConnectionPolls
	connected  bool
	greeted    bool
	synced     bool
	missing    bool // notices are missing
	noticeRead int  // number of the last notice that was read

	// The engine's side.
	toEngine  []message
	old       []message // of lost connections, that the engine may still read
	toService []message
	ends      []int // the run of each notice, by its number less 1
	kept      int   // how many notices the engine has dropped
	running   map[int]bool
	runs      map[int]int // how often each has run
}

type message struct {
	kind   messageKind
	number int // of a notice, or of a run in runCommand
}

type messageKind uint8

const (
	runCommand messageKind = iota
	poll
	pollAnswer
	attach
	hello
	end
)

var steps = []string{"order", "cut", "connect", "poll", "engine reads", "engine reads", "engine reads", "engine reads a lost connection",
	"run ends", "service reads", "service reads", "service reads", "engine drops its notices"}

// maxSteps: a run takes some ten steps, and a new connection some five.
const maxSteps = 400

// step does the one thing that was drawn, if it can be done.
func (m *model) step(what string) {
	switch what {
	case "order":
		m.order()
	case "cut":
		m.cut()
	case "connect":
		m.connect()
	case "poll":
		if m.greeted {
			m.sendPoll()
		}
	case "engine reads":
		m.engineReads(&m.toEngine)
	case "engine reads a lost connection":
		m.engineReads(&m.old)
	case "run ends":
		m.runEnds()
	case "service reads":
		m.serviceReads()
	case "engine drops its notices":
		if !m.connected {
			m.kept = len(m.ends)
		}
	}
}

// order begins another run, if there is none.
func (m *model) order() {
	if m.wanted {
		return
	}
	m.run++
	m.command = Command{}
	m.wanted = true
	m.awaits = false
	if m.greeted {
		m.sendRun()
	}
}

func (m *model) sendRun() {
	m.command.MarkSent(&m.conn)
	m.toEngine = append(m.toEngine, message{runCommand, m.run})
}

func (m *model) sendPoll() {
	m.conn.PollSent()
	m.toEngine = append(m.toEngine, message{kind: poll})
}

// cut loses the connection: what the engine has not read of it may still be read later, or never.
func (m *model) cut() {
	if !m.connected {
		return
	}
	m.connected = false
	m.greeted = false
	m.old = append(m.old, m.toEngine...)
	m.toEngine = nil
	m.toService = nil
	m.command.MarkConnectionLost(&m.conn)
}

func (m *model) connect() {
	if m.connected {
		return
	}
	m.connected = true
	m.synced = false
	m.missing = false
	m.conn = ConnectionPolls{}
	m.toEngine = []message{{attach, m.noticeRead}}
}

func (m *model) engineReads(from *[]message) {
	if len(*from) == 0 {
		return
	}
	read := (*from)[0]
	*from = (*from)[1:]
	onCurrent := from == &m.toEngine
	switch {
	case read.kind == runCommand && !m.running[read.number]:
		m.running[read.number] = true
		m.runs[read.number]++
	case read.kind == poll && onCurrent:
		m.toService = append(m.toService, message{kind: pollAnswer})
	case read.kind == attach && onCurrent:
		m.toService = append(m.toService, message{kind: hello})
		for n := max(read.number, m.kept) + 1; n <= len(m.ends); n++ {
			m.toService = append(m.toService, message{end, n})
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
		m.ends = append(m.ends, run)
		if m.connected {
			m.toService = append(m.toService, message{end, len(m.ends)})
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
		m.greeted = true
		if m.wanted && m.command.State() == NotSent {
			m.sendRun()
		}
		m.sendPoll()
	case pollAnswer:
		m.conn.PollAnswered()
		m.resync()
	case end:
		m.readEnd(read.number)
	}
}

// readEnd reads a notice, unless it is repeated.
func (m *model) readEnd(number int) {
	if number <= m.noticeRead {
		return
	}
	m.missing = m.missing || number != m.noticeRead+1
	m.noticeRead = number
	if m.ends[number-1] == m.run {
		m.command.MarkStarted()
		m.wanted = false
	}
}

func (m *model) resync() {
	if m.synced || !m.wanted {
		return
	}
	m.synced = true
	notices := HistoryComplete
	if m.missing || m.noticeRead < m.kept { // the notices of other runs show it
		notices = HistoryIncomplete
	}
	switch m.command.Resync(notices, m.effect) {
	case Send:
		m.sendRun()
	case AwaitUnconfirmed, AwaitAcknowledged:
		m.awaits = true
	case GiveUp:
		m.wanted = false
	}
}

// quiesce has a connection last until nothing is under way any more.
func (m *model) quiesce() {
	m.connect()
	for len(m.toEngine)+len(m.toService)+len(m.running) > 0 {
		m.step("engine reads")
		m.step("service reads")
		m.step("run ends")
	}
}

// TestLostConnections: whatever is lost, read late or ends at whatever moment, a run that may
// happen once does, and no run is left without an end, a wait or a failure.
func TestLostConnections(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		effect := Idempotency(rapid.IntRange(int(NotIdempotent), int(Idempotent)).Draw(t, "effect"))
		m := &model{effect: effect, running: map[int]bool{}, runs: map[int]int{}}
		for _, what := range rapid.SliceOfN(rapid.SampledFrom(steps), maxSteps, maxSteps).Draw(t, "steps") {
			m.step(what)
		}
		m.quiesce()
		for run, times := range m.runs {
			if m.effect == NotIdempotent {
				require.LessOrEqual(t, times, 1, "runs of %d", run)
			}
		}
		require.False(t, m.wanted && m.effect == Idempotent, "not repeated until it has ended")
		require.False(t, m.wanted && !m.awaits, "nobody waits for it")
		require.False(t, m.wanted && m.runs[m.run] > 0, "it ran, and its end was not heard")
	})
}

// TestConfirmedRunIsNotRepeated: an answer to a poll behind RUN shows that it was read, and one to
// a poll before it does not.
func TestConfirmedRunIsNotRepeated(t *testing.T) {
	for _, tt := range []struct {
		answers int
		want    State
	}{{0, Unconfirmed}, {1, Unconfirmed}, {2, Acknowledged}} {
		var on ConnectionPolls
		var c Command
		on.PollSent()
		c.MarkSent(&on)
		on.PollSent()
		for range tt.answers {
			on.PollAnswered()
		}
		c.MarkConnectionLost(&on)
		assert.Equal(t, tt.want, c.State(), "%d answers", tt.answers)
	}
}
