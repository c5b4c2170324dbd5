package engine

import (
	"go.uber.org/zap"

	"oxbowbridge/internal/proxy/exchange"
	"oxbowbridge/internal/transport/engine/delivery"
	"oxbowbridge/internal/transport/session"
)

// markConnectionLost notes for all commands that the current connection is lost or replaced.
func (s *Session) markConnectionLost() {
	for _, r := range s.runs {
		r.runCommand.MarkConnectionLost(&s.polls)
		r.replyCommand.MarkConnectionLost(&s.polls)
		r.resumeCommand.MarkConnectionLost(&s.polls)
	}
}

// resyncCounts is what resync did, for the log.
type resyncCounts struct{ resent, awaited, givenUp int }

// resync deals with the commands that an earlier connection may have lost, as package delivery
// decides. It waits until the notices that were missed are read, and acts once a connection.
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

// resyncRun deals with the commands for one run.
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
	// RESUME names neither class nor body: it goes on with a run that is paused, and can start none.
	if r.resumeRequested && r.resumeCommand.State() != delivery.Sent {
		s.sendResume(r)
	}
	if r.stopRequested { // HALT does nothing to a run that is over
		s.send(commandStop, r.job.TraceID)
	}
}

// resyncReply deals with the reply to a call. A run may need one call after the other, and a reply
// that is sent twice may reach the next of them.
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

// startNotificationTimeout deals with a run of which no notice has come for longer than runs of its class take, while
// others do end, or when its request is due (see overdue).
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

// onNotificationTimeout sends a run again that was read and may be repeated, or gives it up. One that was read and
// may not be repeated has until its request is due: it may just take long.
func (s *Session) onNotificationTimeout(r *run) {
	engineCompletesRuns := s.lastEndedSubmittedAt > r.waitingSince // it does not merely hang
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

// durationEstimator estimates how long runs of a class take.
func (s *Session) durationEstimator(class string) *session.LatencyEstimator {
	estimator := s.runDurations[class]
	if estimator == nil {
		estimator = new(session.NewLatencyEstimator())
		s.runDurations[class] = estimator
	}
	return estimator
}

// observeRunEnd notes that a run has ended in the engine.
func (s *Session) observeRunEnd(r *run) {
	s.lastEndedSubmittedAt = max(s.lastEndedSubmittedAt, r.submittedAt)
	s.durationEstimator(r.job.Class).Observe(s.Now() - r.submittedAt)
}

// confirmCommands ends the wait of await: a notice shows that the engine has read all commands of the
// run that it waits for.
func (s *Session) confirmCommands(r *run) {
	s.Timers.Cancel(r.notificationTimer)
	r.notificationTimer = nil
	r.runCommand.MarkStarted()
}

// giveUpRun fails a run of which nothing can be known any more, and stops it in case that it runs.
func (s *Session) giveUpRun(r *run) {
	s.Log.Warn("run given up, its engine connection was lost", zap.String("trace_id", r.job.TraceID),
		zap.Stringer("run", r.runCommand.State()), zap.Stringer("reply", r.replyCommand.State()))
	if s.greetingReceived {
		s.send(commandStop, r.job.TraceID)
	}
	s.finishRun(r.job.TraceID, exchange.ResultError)
}
