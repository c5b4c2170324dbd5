package engine

import (
	"go.uber.org/zap"

	"oxbowbridge/internal/proxy/exchange"
	"oxbowbridge/internal/transport/engine/delivery"
	"oxbowbridge/internal/transport/session"
)

// markConnectionLost marks all commands on the current connection, which was lost or replaced.
func (s *Session) markConnectionLost() {
	for _, r := range s.runs {
		r.runCommand.MarkConnectionLost(&s.polls)
		r.replyCommand.MarkConnectionLost(&s.polls)
		r.resumeCommand.MarkConnectionLost(&s.polls)
	}
}

// resyncCounts counts the commands that resync sent again, awaits or gave up, for the log.
type resyncCounts struct{ resent, awaited, givenUp int }

// resync handles the commands that may have been lost with an earlier connection, as package delivery
// decides. It is called once the missed notifications have been received, and runs once for each
// connection.
func (s *Session) resync() {
	if s.resynced {
		return
	}
	s.resynced = true
	history := delivery.HistoryComplete
	if s.notificationsMissing {
		history = delivery.HistoryIncomplete
	}
	var counts resyncCounts
	for _, r := range s.runs {
		s.resyncRun(r, history, &counts)
	}
	if counts != (resyncCounts{}) {
		s.Log.Info("engine commands resynchronized", zap.Bool("notices_missing", s.notificationsMissing),
			zap.Int("repeated", counts.resent), zap.Int("awaited", counts.awaited), zap.Int("given_up", counts.givenUp))
	}
}

// resyncRun handles the commands for one run.
func (s *Session) resyncRun(r *run, history delivery.NotificationHistory, counts *resyncCounts) {
	switch r.runCommand.Resync(history, r.idempotency()) {
	case delivery.Send:
		counts.resent++
		s.sendRun(r)
	case delivery.AwaitUnconfirmed, delivery.AwaitAcknowledged:
		counts.awaited++
		s.startNotificationTimeout(r)
	case delivery.GiveUp:
		counts.givenUp++
		s.giveUpRun(r)
		return
	}
	if r.hasReply {
		s.resyncReply(r, history, counts)
	}
	// RESUME may be sent twice. It carries neither class nor body, so it can only continue a paused run.
	if r.resumeRequested && r.resumeCommand.State() != delivery.Sent {
		s.sendResume(r)
	}
	if r.stopRequested { // HALT has no effect on a run that has ended
		s.send(commandStop, r.job.TraceID)
	}
}

// resyncReply handles the reply to a call. A run may make several calls in turn, so a reply that is
// sent twice may be taken for the reply to the next call.
func (s *Session) resyncReply(r *run, history delivery.NotificationHistory, counts *resyncCounts) {
	switch r.replyCommand.Resync(history, delivery.NotIdempotent) {
	case delivery.Send:
		counts.resent++
		s.sendReply(r)
	case delivery.AwaitUnconfirmed, delivery.AwaitAcknowledged, delivery.GiveUp:
		counts.awaited++
		s.startNotificationTimeout(r)
	}
}

// startNotificationTimeout starts the timer that calls onNotificationTimeout if no notification about
// the run arrives within the usual duration of its class, or before the request's deadline.
func (s *Session) startNotificationTimeout(r *run) {
	if r.notificationTimer == nil {
		r.waitingSince = s.Now()
		s.scheduleNotificationTimeout(r)
	}
}

func (s *Session) scheduleNotificationTimeout(r *run) {
	due := min(r.deadline, s.Now()+s.durationEstimator(r.job.Class).ReplyTimeout())
	r.notificationTimer = s.Timers.Schedule(due, func() { s.onNotificationTimeout(r) })
}

// onNotificationTimeout sends an acknowledged idempotent run again, or gives a run up. It waits further
// while no run that was submitted after the start of the wait has ended, since the engine may hang. A run
// that is acknowledged and not idempotent has until the request's deadline, since the run may only be slow.
func (s *Session) onNotificationTimeout(r *run) {
	engineCompletesRuns := s.lastEndedSubmittedAt > r.waitingSince // false while the engine hangs
	acknowledged := !r.latestCommandMayBeLost()
	switch {
	case s.Now() >= r.deadline:
		s.giveUpRun(r)
	case !engineCompletesRuns, acknowledged && r.idempotency() == delivery.NotIdempotent:
		s.scheduleNotificationTimeout(r)
	case acknowledged && r.runCommand.State() == delivery.Acknowledged && s.greetingReceived:
		r.notificationTimer = nil
		s.sendRun(r)
	case acknowledged:
		s.scheduleNotificationTimeout(r)
	default:
		s.giveUpRun(r)
	}
}

// durationEstimator returns the estimator of the run duration for a class, and creates it if needed.
func (s *Session) durationEstimator(class string) *session.LatencyEstimator {
	estimator := s.runDurations[class]
	if estimator == nil {
		estimator = new(session.NewLatencyEstimator())
		s.runDurations[class] = estimator
	}
	return estimator
}

// observeRunEnd records the duration of a run that has ended in the engine.
func (s *Session) observeRunEnd(r *run) {
	s.lastEndedSubmittedAt = max(s.lastEndedSubmittedAt, r.submittedAt)
	s.durationEstimator(r.job.Class).Observe(s.Now() - r.submittedAt)
}

// confirmCommands stops the timer of startNotificationTimeout after a notification about the run. The
// notification shows that the engine has read all pending commands for the run.
func (s *Session) confirmCommands(r *run) {
	s.Timers.Cancel(r.notificationTimer)
	r.notificationTimer = nil
	r.runCommand.MarkStarted()
}

// giveUpRun reports a run as failed whose outcome can't be determined, and sends HALT in case the
// engine still runs it.
func (s *Session) giveUpRun(r *run) {
	s.Log.Warn("run given up, its engine connection was lost", zap.String("trace_id", r.job.TraceID),
		zap.Stringer("run", r.runCommand.State()), zap.Stringer("reply", r.replyCommand.State()))
	if s.greetingReceived {
		s.send(commandStop, r.job.TraceID)
	}
	s.finishRun(r.job.TraceID, exchange.ResultError)
}
