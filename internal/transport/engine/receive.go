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

// receive handles one message of the engine.
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
	s.Log.Warn("engine line not understood", zap.Strings("words", words))
}

// receiveGreeting sends the runs that wait for the engine, and asks it for an answer that
// follows all missed notices (see resync).
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
	s.Log.Info("engine up", zap.String("state", hello.state), zap.Int64("uptime_ms", hello.uptimeMs))
	s.Exchange.Post(exchange.RunnerReady{WarmingUp: hello.state == stateColdStart, Uptime: hello.uptime()})
}

// checkForRestart notices an engine that has restarted under this process: its notices are numbered from
// 1 again, and of the runs of the one before it will tell nothing.
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

// receiveNotification handles a notice, unless it is repeated after an ATTACH.
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

// receiveCall reports the call that a run waits for.
func (s *Session) receiveCall(traceID string, body []byte) {
	if r := s.runs[traceID]; r != nil {
		s.confirmCommands(r)
		r.hasReply = false
		r.reply = nil
		r.resumeRequested = false
	}
	s.Exchange.Post(exchange.Outcome{TraceID: traceID, Stage: exchange.CallNeeded, Body: body})
}

// receiveCompletion reports the end of a run. One that was stopped where that pauses it, and
// whose request is not answered, stays known: it may be resumed.
func (s *Session) receiveCompletion(m lineproto.Message) {
	done, ok := parseCompletion(m)
	if !ok { // the run counts as failed all the same, see parseCompletion
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

// mayBeLateStop reports whether a HALT that was meant for an earlier run of the request may have
// stopped this one: the engine may read it from a lost connection after this run was ordered. A run
// that had come to a call is not repeated, as the reply to that call could reach the next run.
func (s *Session) mayBeLateStop(r *run) bool {
	return r.job.Restarted && !r.stopRequested && !s.pausesOnStop &&
		r.idempotency() == delivery.Idempotent && r.runCommand.State() != delivery.Started
}

// resendStoppedRun orders a run once more after a late stop.
func (s *Session) resendStoppedRun(r *run) {
	s.Log.Warn("run stopped by a late command, ordered again", zap.String("trace_id", r.job.TraceID))
	s.Timers.Cancel(r.notificationTimer)
	r.notificationTimer = nil
	r.job.Restarted = false // one that is stopped again is reported
	r.submittedAt = s.Now()
	s.sendRun(r)
}

// receiveRejection handles a command that was not carried out. The engine rejects a RUN whose
// trace id no balancer has sent to this process: the caller made it up.
func (s *Session) receiveRejection(words []string) {
	s.Log.Warn("engine rejected a command", zap.String("command", strings.Join(words[1:], " ")))
	if len(words) < 3 || words[1] != commandRun || s.runs[words[2]] == nil {
		return
	}
	s.finishRun(words[2], exchange.ResultUnknownRequest)
}
