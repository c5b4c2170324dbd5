package engine

import (
	"time"

	"oxbowbridge/internal/proxy/exchange"
	"oxbowbridge/internal/proxy/timerqueue"
	"oxbowbridge/internal/transport/engine/delivery"
)

// run is a run that was ordered and has not ended. Each command for it is followed until the
// engine is known to have read it (see package delivery).
type run struct {
	job               exchange.Job
	submittedAt       time.Duration
	deadline          time.Duration    // when its request is due; it is not awaited any longer
	runCommand        delivery.Command // RUN
	stopRequested     bool             // it is to be stopped, and no notice has confirmed that
	requestAnswered   bool             // its request is answered: it is not resumed
	resumeRequested   bool             // it is to go on, and no notice has confirmed that
	resumeCommand     delivery.Command // RESUME, if it resumes
	hasReply          bool             // there is a reply to the call that it waits for
	reply             []byte
	replyCommand      delivery.Command  // FEED, if there is a reply
	notificationTimer *timerqueue.Timer // gives it up if no notice shows that a command was read; or nil
	waitingSince      time.Duration     // if awaiting
}

// idempotency says whether a repeated RUN does harm.
func (r *run) idempotency() delivery.Idempotency {
	if r.job.Idempotent {
		return delivery.Idempotent
	}
	return delivery.NotIdempotent
}

// latestCommandMayBeLost tells whether nothing shows that the engine has read the latest command for the run.
func (r *run) latestCommandMayBeLost() bool {
	return r.runCommand.State() == delivery.Unconfirmed || r.hasReply && r.replyCommand.State() == delivery.Unconfirmed
}

// Run orders a run. Without a connection it waits for one: what was never sent can't have run.
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

// Stop stops a run. One whose request is answered is not resumed.
func (s *Session) Stop(traceID string, answered bool) {
	r := s.runs[traceID]
	if r == nil {
		return
	}
	r.stopRequested = true
	r.requestAnswered = r.requestAnswered || answered
	r.resumeRequested = false
	if r.runCommand.State() == delivery.NotSent { // the engine has never heard of it
		s.finishRun(traceID, exchange.ResultStopped)
		return
	}
	if s.greetingReceived {
		s.send(commandStop, traceID)
	}
}

// Resume goes on with a run that is paused.
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

// Discard forgets a run that is paused: its request is over.
func (s *Session) Discard(traceID string) { s.removeRun(traceID) }

// DeliverReply gives a run the reply to the call that it waits for.
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

// finishRun forgets a run and reports its end, without a notice of the engine.
func (s *Session) finishRun(traceID string, result exchange.Result) {
	s.reportCompletion(completion{traceID: traceID, result: result})
}

// reportCompletion forgets a run and reports its end.
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
