package kv

import (
	"fmt"
	"maps"
	"slices"
)

// Limits of a session.
const (
	MaxCachedResponses     = 16             // max. responses that are cached for one session
	MaxCachedResponseBytes = 64 << 10       // max. bytes of values in one cached response
	SessionTimeoutMS       = 10 * 60 * 1000 // log time in milliseconds after which an idle session expires
)

// session is the session of one client. Each new request has a higher number than the previous one. A
// retried request gets the cached response of its first attempt.
type session struct {
	LastSeenMS  int64            `json:"seen_ms"` // log time of the last request, Unix milliseconds
	LastRequest uint64           `json:"last"`    // the highest request number that was applied
	Cached      []cachedResponse `json:"kept"`    // at most MaxCachedResponses, in the order of the requests
}

type cachedResponse struct {
	RequestNumber uint64   `json:"number"`
	Response      Response `json:"answer"`
}

func (sess *session) clone() *session {
	return &session{LastSeenMS: sess.LastSeenMS, LastRequest: sess.LastRequest, Cached: slices.Clone(sess.Cached)}
}

// cacheResponse records the response to a new request, and drops the oldest cached responses beyond
// MaxCachedResponses.
func (sess *session) cacheResponse(number uint64, response Response) {
	sess.LastRequest = number
	sess.Cached = append(sess.Cached, cachedResponse{number, response})
	excess := max(0, len(sess.Cached)-MaxCachedResponses)
	sess.Cached = slices.Delete(sess.Cached, 0, excess)
}

// openSession opens a session. Its id is the index of the log entry.
func (s *State) openSession(index uint64) (Response, error) {
	if len(s.Sessions) >= MaxSessions {
		return Response{}, fmt.Errorf("%w: %d sessions are open", ErrFull, len(s.Sessions))
	}
	s.Sessions[index] = &session{LastSeenMS: s.LogTimeMS}
	return Response{Succeeded: true, Revision: index, SessionID: index}, nil
}

// expireIdleSessions removes the sessions that have been idle for longer than SessionTimeoutMS.
func (s *State) expireIdleSessions() {
	maps.DeleteFunc(s.Sessions, func(_ uint64, sess *session) bool { return s.LogTimeMS-sess.LastSeenMS > SessionTimeoutMS })
}

// applyInSession applies a request of a session, unless it was applied before: then it returns the
// cached response, or ErrStaleRequest.
func (s *State) applyInSession(index uint64, r *Request) (Response, []string, error) {
	sess := s.Sessions[r.SessionID]
	if sess == nil {
		return Response{}, nil, fmt.Errorf("%w: %d", ErrSessionNotFound, r.SessionID)
	}
	sess.LastSeenMS = s.LogTimeMS
	for _, cached := range sess.Cached {
		if cached.RequestNumber == r.RequestNumber {
			return cached.Response, nil, nil
		}
	}
	if r.RequestNumber <= sess.LastRequest {
		return Response{}, nil, fmt.Errorf("%w: %d, the last is %d", ErrStaleRequest, r.RequestNumber, sess.LastRequest)
	}
	response, changed, err := s.applyTxn(index, r)
	if err != nil {
		return response, changed, err
	}
	sess.cacheResponse(r.RequestNumber, response)
	return response, changed, nil
}
