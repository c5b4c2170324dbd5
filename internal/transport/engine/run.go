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
	job          exchange.Job
	orderedAt    time.Duration
	deadline     time.Duration    // when its request is due; it is not awaited any longer
	order        delivery.Command // RUN
	stopping     bool             // it is to be stopped, and no notice has confirmed that
	answered     bool             // its request is answered: it is not resumed
	resumes      bool             // it is to go on, and no notice has confirmed that
	resume       delivery.Command // RESUME, if it resumes
	hasReply     bool             // there is a reply to the call that it waits for
	reply        []byte
	feed         delivery.Command  // FEED, if there is a reply
	awaiting     *timerqueue.Timer // gives it up if no notice shows that a command was read; or nil
	awaitedSince time.Duration     // if awaiting
}

// effect says whether a repeated RUN does harm.
func (r *run) effect() delivery.Effect {
	if r.job.Idempotent {
		return delivery.Repeatable
	}
	return delivery.Once
}

// maybeLost tells whether nothing shows that the engine has read the latest command for the run.
func (r *run) maybeLost() bool {
	return r.order.State() == delivery.Unconfirmed || r.hasReply && r.feed.State() == delivery.Unconfirmed
}

// Run orders a run. Without a connection it waits for one: what was never sent can't have run.
func (s *Session) Run(a exchange.Job) {
	r := &run{job: a, orderedAt: s.Now(), deadline: s.Now() + a.Timeout}
	s.runs[a.TraceID] = r
	if s.greeted {
		s.sendRun(r)
	}
}

func (s *Session) sendRun(r *run) {
	r.order.Written(&s.delivered)
	s.sendPayload(r.job.Body, commandRun, r.job.TraceID, r.job.Class)
}

// Stop stops a run. One whose request is answered is not resumed.
func (s *Session) Stop(traceID string, answered bool) {
	r := s.runs[traceID]
	if r == nil {
		return
	}
	r.stopping = true
	r.answered = r.answered || answered
	r.resumes = false
	if r.order.State() == delivery.NotSent { // the engine has never heard of it
		s.finish(traceID, exchange.ResultStopped)
		return
	}
	if s.greeted {
		s.send(commandStop, traceID)
	}
}

// Resume goes on with a run that is paused.
func (s *Session) Resume(traceID string) {
	r := s.runs[traceID]
	if r == nil {
		return
	}
	r.resumes = true
	r.resume = delivery.Command{}
	if s.greeted {
		s.sendResume(r)
	}
}

func (s *Session) sendResume(r *run) {
	r.resume.Written(&s.delivered)
	s.send(commandResume, r.job.TraceID)
}

// Discard forgets a run that is paused: its request is over.
func (s *Session) Discard(traceID string) { s.forget(traceID) }

// DeliverReply gives a run the reply to the call that it waits for.
func (s *Session) DeliverReply(traceID string, reply []byte) {
	r := s.runs[traceID]
	if r == nil {
		return
	}
	r.hasReply = true
	r.reply = reply
	r.feed = delivery.Command{}
	if s.greeted {
		s.sendReply(r)
	}
}

func (s *Session) sendReply(r *run) {
	r.feed.Written(&s.delivered)
	s.sendPayload(r.reply, commandDeliverReply, r.job.TraceID)
}

// finish forgets a run and reports its end, without a notice of the engine.
func (s *Session) finish(traceID string, result exchange.Result) {
	s.report(completion{traceID: traceID, result: result})
}

// report forgets a run and reports its end.
func (s *Session) report(done completion) {
	s.forget(done.traceID)
	s.post(done)
}

func (s *Session) forget(traceID string) {
	if r := s.runs[traceID]; r != nil {
		s.Timers.Cancel(r.awaiting)
		delete(s.runs, traceID)
	}
}

func (s *Session) post(done completion) {
	s.Exchange.Post(exchange.Outcome{
		TraceID:  done.traceID,
		Stage:    exchange.RunEnded,
		Result:   done.result,
		Duration: done.duration,
		Body:     done.body,
	})
}
