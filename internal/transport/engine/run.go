package engine

import "oxbowbridge/internal/proxy/exchange"

// pending, in place of the number of a connection, marks a command that is wanted and was not
// sent on any connection so far. noConn marks one that is not wanted.
const pending connNumber = -1

// run is a run that was ordered and has not ended. Each command for it carries the number of the
// connection that it was sent on last, for resync.
type run struct {
	job       exchange.Job
	runSentOn connNumber // noConn if it was never sent
	started   bool       // a notice has shown that it runs, or ran
	stopping  bool       // it is to be stopped, and no notice has confirmed that
	answered  bool       // its request is answered: it is not resumed
	resumeOn  connNumber // noConn if nothing is to be resumed, pending, or the connection of RESUME
	reply     []byte     // to the call that the run waits for
	replyOn   connNumber // noConn if there is no reply, pending, or the connection of FEED
}

// Run orders a run. Without a connection it waits for one: what was never sent can't have run.
func (s *Session) Run(a exchange.Job) {
	r := &run{job: a}
	s.runs[a.TraceID] = r
	if s.greeted {
		s.sendRun(r)
	}
}

func (s *Session) sendRun(r *run) {
	r.runSentOn = s.current
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
	r.resumeOn = noConn
	if r.runSentOn == noConn { // the engine has never heard of it
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
	r.resumeOn = pending
	if s.greeted {
		s.sendResume(r)
	}
}

func (s *Session) sendResume(r *run) {
	r.resumeOn = s.current
	s.send(commandResume, r.job.TraceID)
}

// Discard forgets a run that is paused: its request is over.
func (s *Session) Discard(traceID string) { delete(s.runs, traceID) }

// DeliverReply gives a run the reply to the call that it waits for.
func (s *Session) DeliverReply(traceID string, reply []byte) {
	r := s.runs[traceID]
	if r == nil {
		return
	}
	r.reply = reply
	r.replyOn = pending
	if s.greeted {
		s.sendReply(r)
	}
}

func (s *Session) sendReply(r *run) {
	r.replyOn = s.current
	s.sendPayload(r.reply, commandDeliverReply, r.job.TraceID)
}

// finish forgets a run and reports its end, without a notice of the engine.
func (s *Session) finish(traceID string, result exchange.Result) {
	s.report(completion{traceID: traceID, result: result})
}

// report forgets a run and reports its end.
func (s *Session) report(done completion) {
	delete(s.runs, done.traceID)
	s.post(done)
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
