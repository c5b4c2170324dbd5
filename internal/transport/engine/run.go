package engine

import (
	"time"

	"oxbowbridge/internal/proxy/exchange"
	"oxbowbridge/internal/proxy/timerqueue"
	"oxbowbridge/internal/transport/engine/delivery"
)

// run is a run that was submitted and has not ended. The delivery of each command for it is tracked
// until the engine is known to have read the command (see package delivery).
type run struct {
	job               exchange.Job
	submittedAt       time.Duration
	deadline          time.Duration    // of the request; when notificationTimer fires at or after it, the run is given up
	runCommand        delivery.Command // RUN
	stopRequested     bool             // HALT was requested and no notification has confirmed it
	requestAnswered   bool             // the request has its response, so the run is not resumed
	resumeRequested   bool             // RESUME was requested and no notification has confirmed it
	resumeCommand     delivery.Command // RESUME, if resumeRequested
	hasReply          bool             // the reply to the call that the run is waiting for is in reply
	reply             []byte
	replyCommand      delivery.Command  // FEED, if hasReply
	notificationTimer *timerqueue.Timer // calls onNotificationTimeout; nil if it is not scheduled
	waitingSince      time.Duration     // when notificationTimer was first scheduled
}

// idempotency says whether RUN may be sent more than once.
func (r *run) idempotency() delivery.Idempotency {
	if r.job.Idempotent {
		return delivery.Idempotent
	}
	return delivery.NotIdempotent
}

// latestCommandMayBeLost reports whether the connection was lost before the engine was known to have
// read the latest command for the run.
func (r *run) latestCommandMayBeLost() bool {
	return r.runCommand.State() == delivery.Unconfirmed || r.hasReply && r.replyCommand.State() == delivery.Unconfirmed
}

// Run submits a run to the engine. Without a connection RUN is sent once there is one, which is safe
// because a run that was never sent can't have started.
func (s *Session) Run(job exchange.Job) {
	r := &run{job: job, submittedAt: s.Now(), deadline: s.Now() + job.Timeout}
	s.runs[job.TraceID] = r
	if s.greetingReceived {
		s.sendRun(r)
	}
}

func (s *Session) sendRun(r *run) {
	r.runCommand.MarkSent(&s.polls)
	s.sendPayload(r.job.Body, commandRun, r.job.TraceID, r.job.Class)
}

// Stop sends HALT for a run. If answered, the request has its response and the run is not resumed.
func (s *Session) Stop(traceID string, answered bool) {
	r := s.runs[traceID]
	if r == nil {
		return
	}
	r.stopRequested = true
	r.requestAnswered = r.requestAnswered || answered
	r.resumeRequested = false
	if r.runCommand.State() == delivery.NotSent { // RUN was never sent, so there is nothing to stop
		s.finishRun(traceID, exchange.ResultStopped)
		return
	}
	if s.greetingReceived {
		s.send(commandStop, traceID)
	}
}

// Resume continues a paused run.
func (s *Session) Resume(traceID string) {
	r := s.runs[traceID]
	if r == nil {
		return
	}
	r.resumeRequested = true
	r.resumeCommand = delivery.Command{}
	if s.greetingReceived {
		s.sendResume(r)
	}
}

func (s *Session) sendResume(r *run) {
	r.resumeCommand.MarkSent(&s.polls)
	s.send(commandResume, r.job.TraceID)
}

// Discard removes a paused run whose request has ended.
func (s *Session) Discard(traceID string) { s.removeRun(traceID) }

// DeliverReply sends a run the reply to the call that the run is waiting for.
func (s *Session) DeliverReply(traceID string, reply []byte) {
	r := s.runs[traceID]
	if r == nil {
		return
	}
	r.hasReply = true
	r.reply = reply
	r.replyCommand = delivery.Command{}
	if s.greetingReceived {
		s.sendReply(r)
	}
}

func (s *Session) sendReply(r *run) {
	r.replyCommand.MarkSent(&s.polls)
	s.sendPayload(r.reply, commandDeliverReply, r.job.TraceID)
}

// finishRun removes a run and reports its result without a notification from the engine.
func (s *Session) finishRun(traceID string, result exchange.Result) {
	s.reportCompletion(completion{traceID: traceID, result: result})
}

// reportCompletion removes a run and reports its end to the exchange.
func (s *Session) reportCompletion(done completion) {
	s.removeRun(done.traceID)
	s.postCompletion(done)
}

func (s *Session) removeRun(traceID string) {
	if r := s.runs[traceID]; r != nil {
		s.Timers.Cancel(r.notificationTimer)
		delete(s.runs, traceID)
	}
}

func (s *Session) postCompletion(done completion) {
	s.Exchange.Post(exchange.Outcome{
		TraceID:  done.traceID,
		Stage:    exchange.RunEnded,
		Result:   done.result,
		Duration: done.duration,
		Body:     done.body,
	})
}
