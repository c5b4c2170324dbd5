package engine

import (
	"go.uber.org/zap"

	"oxbowbridge/internal/proxy/exchange"
	"oxbowbridge/internal/transport/engine/delivery"
	"oxbowbridge/internal/transport/session"
)

// leaveConnection notes for all commands that the current connection is lost or replaced.
func (s *Session) leaveConnection() {
	for _, r := range s.runs {
		r.order.ConnectionLost(&s.delivered)
		r.feed.ConnectionLost(&s.delivered)
		r.resume.ConnectionLost(&s.delivered)
	}
}

// resyncCounts is what resync did, for the log.
type resyncCounts struct{ repeated, awaited, givenUp int }

// resync deals with the commands that an earlier connection may have lost, as package delivery
// decides. It waits until the notices that were missed are read, and acts once a connection.
func (s *Session) resync() {
	if s.synced {
		return
	}
	s.synced = true
	notices := delivery.NoticesComplete
	if s.noticesMissing {
		notices = delivery.NoticesMissing
	}
	var counts resyncCounts
	for _, r := range s.runs {
		s.resyncRun(r, notices, &counts)
	}
	if counts != (resyncCounts{}) {
		s.Log.Info("engine commands resynchronized", zap.Bool("notices_missing", s.noticesMissing),
			zap.Int("repeated", counts.repeated), zap.Int("awaited", counts.awaited), zap.Int("given_up", counts.givenUp))
	}
}

// resyncRun deals with the commands for one run.
func (s *Session) resyncRun(r *run, notices delivery.Notices, counts *resyncCounts) {
	switch r.order.Resync(notices, r.effect()) {
	case delivery.Send:
		counts.repeated++
		s.sendRun(r)
	case delivery.Await, delivery.AwaitRead:
		counts.awaited++
		s.await(r)
	case delivery.GiveUp:
		counts.givenUp++
		s.giveUp(r)
		return
	}
	if r.hasReply {
		s.resyncReply(r, notices, counts)
	}
	// RESUME names neither class nor body: it goes on with a run that is paused, and can start none.
	if r.resumes && r.resume.State() != delivery.Sent {
		s.sendResume(r)
	}
	if r.stopping { // HALT does nothing to a run that is over
		s.send(commandStop, r.job.TraceID)
	}
}

// resyncReply deals with the reply to a call. A run may need one call after the other, and a reply
// that is sent twice may reach the next of them.
func (s *Session) resyncReply(r *run, notices delivery.Notices, counts *resyncCounts) {
	switch r.feed.Resync(notices, delivery.Once) {
	case delivery.Send:
		counts.repeated++
		s.sendReply(r)
	case delivery.Await, delivery.AwaitRead, delivery.GiveUp:
		counts.awaited++
		s.await(r)
	}
}

// await deals with a run of which no notice has come for longer than runs of its class take, while
// others do end, or when its request is due (see overdue).
func (s *Session) await(r *run) {
	if r.awaiting == nil {
		r.awaitedSince = s.Now()
		s.scheduleOverdue(r)
	}
}

func (s *Session) scheduleOverdue(r *run) {
	due := min(r.deadline, s.Now()+s.duration(r.job.Class).ReplyTimeout())
	r.awaiting = s.Timers.Schedule(due, func() { s.overdue(r) })
}

// overdue sends a run again that was read and may be repeated, or gives it up. One that was read and
// may not be repeated has until its request is due: it may just take long.
func (s *Session) overdue(r *run) {
	engineRuns := s.lastEndedOrder > r.awaitedSince // it does not merely hang
	read := !r.maybeLost()
	switch {
	case s.Now() >= r.deadline:
		s.giveUp(r)
	case !engineRuns, read && r.effect() == delivery.Once:
		s.scheduleOverdue(r)
	case read && r.order.State() == delivery.Read && s.greeted:
		r.awaiting = nil
		s.sendRun(r)
	case read:
		s.scheduleOverdue(r)
	default:
		s.giveUp(r)
	}
}

// duration estimates how long runs of a class take.
func (s *Session) duration(class string) *session.LatencyEstimator {
	estimator := s.durations[class]
	if estimator == nil {
		estimator = new(session.NewLatencyEstimator())
		s.durations[class] = estimator
	}
	return estimator
}

// observeEnd notes that a run has ended in the engine.
func (s *Session) observeEnd(r *run) {
	s.lastEndedOrder = max(s.lastEndedOrder, r.orderedAt)
	s.duration(r.job.Class).Observe(s.Now() - r.orderedAt)
}

// confirmed ends the wait of await: a notice shows that the engine has read all commands of the
// run that it waits for.
func (s *Session) confirmed(r *run) {
	s.Timers.Cancel(r.awaiting)
	r.awaiting = nil
	r.order.Noticed()
}

// giveUp fails a run of which nothing can be known any more, and stops it in case that it runs.
func (s *Session) giveUp(r *run) {
	s.Log.Warn("run given up, its engine connection was lost", zap.String("trace_id", r.job.TraceID),
		zap.Stringer("run", r.order.State()), zap.Stringer("reply", r.feed.State()))
	if s.greeted {
		s.send(commandStop, r.job.TraceID)
	}
	s.finish(r.job.TraceID, exchange.ResultError)
}
