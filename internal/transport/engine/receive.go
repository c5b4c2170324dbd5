package engine

import (
	"strconv"
	"strings"
	"time"

	"go.uber.org/zap"

	"oxbowbridge/internal/proxy/exchange"
	"oxbowbridge/internal/transport/engine/delivery"
	"oxbowbridge/internal/transport/lineproto"
)

// receive handles one message from the engine.
func (s *Session) receive(m lineproto.Message) {
	s.unansweredPolls = 0
	words := m.Words
	switch kind := words[0]; {
	case kind == messageHello && len(words) == 3:
		s.receiveGreeting(words)
	case kind == messageStats && len(words) >= 2:
		s.receiveStats(words)
	case kind == messageRejected && len(words) >= 2:
		s.receiveRejection(words)
	case isNotification(kind) && len(words) >= 2:
		s.receiveNotification(m)
	default:
		s.logInvalidLine(words)
	}
}

func (s *Session) logInvalidLine(words []string) {
	s.Log.Warn("invalid line from the engine", zap.Strings("words", words))
}

// receiveGreeting handles a HELLO. It sends the runs that were submitted without a connection, and a
// poll that the engine answers after all missed notifications (see resync).
func (s *Session) receiveGreeting(words []string) {
	hello, err := parseGreeting(words)
	if err != nil {
		s.logInvalidLine(words)
		return
	}
	s.checkForRestart(hello.uptime())
	s.greetingReceived = true
	s.reconnectDelay = minReconnectDelay
	for _, r := range s.runs {
		if r.runCommand.State() == delivery.NotSent {
			s.sendRun(r)
		}
	}
	s.poll(tagSync)
	if s.readyPosted {
		return
	}
	s.readyPosted = true
	s.Log.Info("engine connected for the first time", zap.String("state", hello.state), zap.Int64("uptime_ms", hello.uptimeMs))
	s.Exchange.Post(exchange.RunnerReady{WarmingUp: hello.state == stateColdStart, Uptime: hello.uptime()})
}

// checkForRestart detects an engine that has restarted since an earlier connection. Such an engine
// numbers its notifications from 1 again, and sends none about runs of the earlier process.
func (s *Session) checkForRestart(uptime time.Duration) {
	if s.readyPosted && uptime < s.engineUptime {
		s.Log.Warn("engine restarted", zap.Int64("uptime_ms", uptime.Milliseconds()), zap.Int("runs", len(s.runs)))
		s.lastNotification = 0
		s.notificationsMissing = true
	}
	s.engineUptime = uptime
}

func (s *Session) receiveStats(words []string) {
	s.polls.PollAnswered()
	if words[1] == tagSync {
		s.resync()
		return
	}
	gauges, err := parseGauges(words[2:])
	if err != nil {
		s.logInvalidLine(words)
		return
	}
	s.Exchange.Post(gauges)
}

// receiveNotification handles a notification. One that was received before is ignored, as the engine
// may repeat notifications after an ATTACH.
func (s *Session) receiveNotification(m lineproto.Message) {
	words := m.Words
	number, err := strconv.ParseUint(words[1], 10, 64)
	if err != nil {
		s.logInvalidLine(words)
		return
	}
	if number <= s.lastNotification {
		return
	}
	s.notificationsMissing = s.notificationsMissing || number != s.lastNotification+1
	s.lastNotification = number
	switch kind := words[0]; {
	case kind == notificationCallNeeded && len(words) == 4:
		s.receiveCall(words[2], m.Payload)
	case kind == notificationDone && len(words) == 6:
		s.receiveCompletion(m)
	case kind != notificationRemark:
		s.logInvalidLine(words)
	}
}

// receiveCall reports to the exchange the call that a run is waiting for.
func (s *Session) receiveCall(traceID string, body []byte) {
	if r := s.runs[traceID]; r != nil {
		s.confirmCommands(r)
		r.hasReply = false
		r.reply = nil
		r.resumeRequested = false
	}
	s.Exchange.Post(exchange.Outcome{TraceID: traceID, Stage: exchange.CallNeeded, Body: body})
}

// receiveCompletion reports the end of a run. A run that HALT has paused stays registered while its
// request has no response, since it may be resumed.
func (s *Session) receiveCompletion(m lineproto.Message) {
	done, ok := parseCompletion(m)
	if !ok { // the run is reported as failed, see parseCompletion
		s.logInvalidLine(m.Words)
	}
	r := s.runs[done.traceID]
	if r != nil {
		s.observeRunEnd(r)
		if done.result == exchange.ResultStopped && s.mayBeLateStop(r) {
			s.resendStoppedRun(r)
			return
		}
	}
	paused := done.result == exchange.ResultStopped && s.pausesOnStop && r != nil && r.stopRequested && !r.requestAnswered
	if !paused {
		s.reportCompletion(done)
		return
	}
	s.confirmCommands(r)
	r.stopRequested = false
	s.postCompletion(done)
}

// mayBeLateStop reports whether a HALT for an earlier run of the request may have stopped this one.
// That happens if the engine reads the HALT from a lost connection after it has read this run's RUN.
// A run that has made a call is not sent again, because the reply to that call could reach the next
// run.
func (s *Session) mayBeLateStop(r *run) bool {
	return r.job.Restarted && !r.stopRequested && !s.pausesOnStop &&
		r.idempotency() == delivery.Idempotent && r.runCommand.State() != delivery.Started
}

// resendStoppedRun sends RUN again for a run that a late HALT has stopped.
func (s *Session) resendStoppedRun(r *run) {
	s.Log.Warn("delayed HALT from a lost connection stopped a new run; sending the run again", zap.String("trace_id", r.job.TraceID))
	s.Timers.Cancel(r.notificationTimer)
	r.notificationTimer = nil
	r.job.Restarted = false // if the run is stopped once more, its end is reported
	r.submittedAt = s.Now()
	s.sendRun(r)
}

// receiveRejection handles a command that the engine has rejected. It rejects a RUN if no balancer has
// sent a request with that trace id to this machine: the caller made the trace id up.
func (s *Session) receiveRejection(words []string) {
	s.Log.Warn("engine rejected a command", zap.String("command", strings.Join(words[1:], " ")))
	if len(words) < 3 || words[1] != commandRun || s.runs[words[2]] == nil {
		return
	}
	s.finishRun(words[2], exchange.ResultUnknownRequest)
}
