package engine

import "oxbowbridge/internal/proxy/exchange"

// resync repeats the commands that an earlier connection may have lost. It waits until the
// notices that were missed are read: by then a run of which no notice came has not ended. Either
// it runs, and the engine ignores the repeated RUN, or RUN was lost and it begins now.
//
// Where notices are missing, as the engine keeps only the newest, a run may have ended. Then only
// idempotent runs are repeated, and the others are stopped and reported as failed.
func (s *Session) resync() {
	for traceID, r := range s.runs {
		sent := r.runSentOn == s.current
		if !sent && s.noticesMissing && !r.job.Idempotent {
			s.send(commandStop, traceID)
			s.finish(traceID, exchange.ResultError)
			continue
		}
		if !sent && (!r.started || s.noticesMissing) {
			s.sendRun(r)
		}
		if r.replyOn != noConn && r.replyOn != s.current {
			s.sendReply(r)
		}
		if r.resumeOn != noConn && r.resumeOn != s.current {
			s.sendResume(r)
		}
		if r.stopping {
			s.send(commandStop, traceID)
		}
	}
}
