package kv

import (
	"fmt"
	"maps"
	"slices"
)

// Limits of a session.
const (
	MaxCachedResponses     = 16             // responses that are cached for one session
	MaxCachedResponseBytes = 64 << 10       // of values that one cached response may contain
	SessionTimeoutMS       = 10 * 60 * 1000 // milliseconds of log time after which an idle session ends
)

// session is one client's. Its request numbers grow; a request that is repeated gets the cached
// response of the first time.
type session struct {
	LastSeenMS  int64            `json:"seen_ms"` // log time of its last request, Unix milliseconds
	LastRequest uint64           `json:"last"`    // the highest request number that was carried out
	Cached      []cachedResponse `json:"kept"`    // at most SessionWindow, the newest last
}

type cachedResponse struct {
	RequestNumber uint64   `json:"number"`
	Response      Response `json:"answer"`
}

func (x *session) clone() *session {
	return &session{LastSeenMS: x.LastSeenMS, LastRequest: x.LastRequest, Cached: slices.Clone(x.Cached)}
}

// cacheResponse caches the response to a new request.
func (x *session) cacheResponse(number uint64, response Response) {
	x.LastRequest = number
	x.Cached = append(x.Cached, cachedResponse{number, response})
	excess := max(0, len(x.Cached)-MaxCachedResponses)
	x.Cached = slices.Delete(x.Cached, 0, excess)
}

// openSession opens a session whose id is the log entry's index.
func (s *State) openSession(index uint64) (Response, error) {
	if len(s.Sessions) >= MaxSessions {
		return Response{}, fmt.Errorf("%w: %d sessions are open", ErrFull, len(s.Sessions))
	}
	s.Sessions[index] = &session{LastSeenMS: s.LogTimeMS}
	return Response{Succeeded: true, Revision: index, SessionID: index}, nil
}

// endIdleSessions ends the sessions that have been idle for longer than SessionTimeoutMS.
func (s *State) endIdleSessions() {
	maps.DeleteFunc(s.Sessions, func(_ uint64, x *session) bool { return s.LogTimeMS-x.LastSeenMS > SessionTimeoutMS })
}

// applyInSession carries out a request of a session, unless that was done before.
func (s *State) applyInSession(index uint64, r *Request) (Response, []string, error) {
	x := s.Sessions[r.SessionID]
	if x == nil {
		return Response{}, nil, fmt.Errorf("%w: %d", ErrSessionNotFound, r.SessionID)
	}
	x.LastSeenMS = s.LogTimeMS
	for _, cached := range x.Cached {
		if cached.RequestNumber == r.RequestNumber {
			return cached.Response, nil, nil
		}
	}
	if r.RequestNumber <= x.LastRequest {
		return Response{}, nil, fmt.Errorf("%w: %d, the last is %d", ErrStaleRequest, r.RequestNumber, x.LastRequest)
	}
	response, changed, err := s.applyTxn(index, r)
	if err != nil {
		return response, changed, err
	}
	x.cacheResponse(r.RequestNumber, response)
	return response, changed, nil
}
