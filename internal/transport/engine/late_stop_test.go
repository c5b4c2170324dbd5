package engine

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"oxbowbridge/internal/proxy/exchange"
)

// newFixtureWithLostHalt returns a fixture, and engineSends and engineReads for its second connection.
// The engine did not read RUN and HALT of traceID1 on the first connection. On the second one both were
// sent again, and the run was stopped.
func newFixtureWithLostHalt(t *testing.T) (*sessionFixture, func(text string, events int) []exchange.Event, func(want string)) {
	t.Helper()
	f := newSessionFixture(t, false)
	c := f.connectEngine(0, "HELLO WARM 20000", 1)
	f.engineSends(c, "STATS sync 1\r\n", 0)
	f.session.Run(exchange.Job{TraceID: traceID1, Class: "balance-view", Timeout: time.Minute, Idempotent: true})
	f.session.Stop(traceID1, false)
	f.closeFromEngine(c) // the engine has not read RUN and HALT
	c = f.connectEngine(0, "HELLO WARM 20000", 0)
	f.engineSends(c, "STATS sync 1\r\n", 0)
	f.engineReads(c, "RUN "+traceID1+" balance-view 0\r\n\r\n"+"HALT "+traceID1+"\r\n")
	require.Equal(t, runEndedEvents(exchange.ResultStopped), f.engineSends(c, "DONE 1 "+traceID1+" STOPPED 0 0\r\n\r\n", 1))
	engineSends := func(text string, events int) []exchange.Event { t.Helper(); return f.engineSends(c, text, events) }
	return f, engineSends, func(want string) { t.Helper(); f.engineReads(c, want) }
}

// runEndedEvents returns the event that reports the end of traceID1's run.
func runEndedEvents(result exchange.Result) []exchange.Event {
	return []exchange.Event{exchange.Outcome{TraceID: traceID1, Stage: exchange.RunEnded, Result: result, Body: []byte{}}}
}

const (
	runLine       = "RUN " + traceID1 + " balance-view 0\r\n\r\n"
	stoppedFields = " " + traceID1 + " STOPPED 0 0\r\n\r\n"
)

func (f *sessionFixture) submitRestartedRun() {
	f.session.Run(exchange.Job{TraceID: traceID1, Class: "balance-view", Timeout: time.Minute, Idempotent: true, Restarted: true})
}

// TestLateStopMeetsRestartedRun guards against a request that fails because the engine reads the HALT of
// a lost connection after RUN was sent for the restarted run.
func TestLateStopMeetsRestartedRun(t *testing.T) {
	f, engineSends, engineReads := newFixtureWithLostHalt(t)
	f.submitRestartedRun()
	engineReads(runLine)
	engineSends("DONE 2"+stoppedFields, 0) // caused by the HALT of the first connection
	engineReads(runLine)
	require.Equal(t, runEndedEvents(exchange.ResultOK), engineSends("DONE 3 "+traceID1+" OK 0 0\r\n\r\n", 1))
	require.Empty(t, f.session.runs)
}

// TestLateStopRepeatsOnce guards against a run that is sent again without end if the engine stops it each
// time.
func TestLateStopRepeatsOnce(t *testing.T) {
	f, engineSends, engineReads := newFixtureWithLostHalt(t)
	f.submitRestartedRun()
	engineReads(runLine)
	engineSends("DONE 2"+stoppedFields, 0)
	engineReads(runLine)
	require.Equal(t, runEndedEvents(exchange.ResultStopped), engineSends("DONE 3"+stoppedFields, 1))
}

// TestWantedStopOfRestartedRun guards against sending a run again whose stop was requested.
func TestWantedStopOfRestartedRun(t *testing.T) {
	f, engineSends, engineReads := newFixtureWithLostHalt(t)
	f.submitRestartedRun()
	engineReads(runLine)
	f.session.Stop(traceID1, true)
	engineReads("HALT " + traceID1 + "\r\n")
	require.Equal(t, runEndedEvents(exchange.ResultStopped), engineSends("DONE 2"+stoppedFields, 1))
}

// TestLateStopDuringCall guards against a run that is sent again and receives the reply to the stopped
// run's call.
func TestLateStopDuringCall(t *testing.T) {
	f, engineSends, engineReads := newFixtureWithLostHalt(t)
	f.submitRestartedRun()
	engineReads(runLine)
	engineSends("NEED 2 "+traceID1+" 1\r\nc\r\n", 1)
	require.Equal(t, runEndedEvents(exchange.ResultStopped), engineSends("DONE 3"+stoppedFields, 1))
}

// TestFirstRunEndedAtCall guards against sending a run again that was not restarted. The engine stops such
// a run only because its request has ended.
func TestFirstRunEndedAtCall(t *testing.T) {
	f, engineSends, engineReads := newFixtureWithLostHalt(t)
	f.session.Run(exchange.Job{TraceID: traceID1, Class: "balance-view", Timeout: time.Minute, Idempotent: true})
	engineReads(runLine)
	require.Equal(t, runEndedEvents(exchange.ResultStopped), engineSends("DONE 2"+stoppedFields, 1))
}
