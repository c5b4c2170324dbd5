package kv

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"oxbowbridge/internal/cluster/lease"
	"oxbowbridge/internal/testrig/rapidseed"
)

// TestMain fixes the seed of rapid, so that each run generates the same requests unless a seed is given.
func TestMain(m *testing.M) { rapidseed.RunTests(m) }

func putOp(key, value string) Op { return Op{Kind: "put", Key: key, Value: json.RawMessage(value)} }

func mustApply(t require.TestingT, s *State, r Request) Response {
	response, _, err := s.Apply(s.AppliedIndex+1, &r)
	require.NoError(t, err)
	return response
}

func TestTransactions(t *testing.T) {
	s := New()
	response := mustApply(t, s, Request{If: []Compare{{"a", 0}}, Then: []Op{putOp("a", "1"), putOp("b", "2"), {Kind: "get", Key: "a"}}})
	assert.Equal(t, Response{Succeeded: true, Revision: 1, Results: []Result{{"a", 1, nil}, {"b", 1, nil}, {"a", 1, json.RawMessage("1")}}}, response)
	response = mustApply(t, s, Request{If: []Compare{{"a", 0}}, Then: []Op{putOp("a", "7")}, Else: []Op{{Kind: "get", Key: "a"}, {Kind: "get", Key: "none"}}})
	assert.Equal(t, Response{Revision: 2, Results: []Result{{"a", 1, json.RawMessage("1")}, {Key: "none"}}}, response)
	mustApply(t, s, Request{Then: []Op{putOp("a", "3"), {Kind: "delete", Key: "b"}}})
	assert.Equal(t, Entry{Value: json.RawMessage("3"), ModRevision: 3, CreateRevision: 1, Version: 2}, s.Entries["a"])
	assert.Zero(t, s.Revision("b"))
	response = mustApply(t, s, Request{If: []Compare{{"a", 1}}, Then: []Op{putOp("a", "4")}})
	assert.False(t, response.Succeeded)
	for _, r := range []Request{{Then: []Op{putOp("", "1")}}, {Then: []Op{putOp("a", "{")}}, {Then: []Op{putOp("a", "null")}}, {Then: []Op{{Kind: "swap", Key: "a"}}},
		{SessionID: 1}, {If: []Compare{{}}}} {
		stateBefore := s.Clone()
		_, _, err := s.Apply(9, &r)
		assert.ErrorIs(t, err, ErrInvalidRequest)
		stateBefore.AppliedIndex = 9
		assert.Equal(t, stateBefore, s, "an invalid request must only advance the applied index")
	}
	assert.ErrorIs(t, (&Request{Then: make([]Op, MaxOps+1)}).ValidateSize(), ErrInvalidRequest)
	fullState := New()
	for i := range MaxKeys {
		mustApply(t, fullState, Request{Then: []Op{putOp(fmt.Sprint(i), "1")}})
	}
	_, changed, err := fullState.Apply(5000, &Request{Then: []Op{putOp("0", "2"), putOp("more", "1")}})
	assert.ErrorIs(t, err, ErrFull)
	assert.Empty(t, changed)
	assert.Equal(t, "1", string(fullState.Entries["0"].Value))
}

// TestSessions checks that a request of a session takes effect at most once, however often and in
// whatever order it is retried, and that a retry gets the first response or ErrStaleRequest.
func TestSessions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := New()
		id := mustApply(t, s, Request{OpenSession: true}).SessionID
		firstResponses, applied := map[uint64]Response{}, uint64(0)
		for range 60 {
			number := rapid.Uint64Range(1, 30).Draw(t, "number")
			r := Request{SessionID: id, RequestNumber: number, Then: []Op{putOp("k", fmt.Sprint(number))}}
			entryBefore := s.Entries["k"]
			response, changed, err := s.Apply(s.AppliedIndex+1, &r)
			if firstResponse, repeated := firstResponses[number]; repeated {
				require.Empty(t, changed, "the request was applied twice")
				require.Equal(t, entryBefore, s.Entries["k"])
				if err == nil {
					require.Equal(t, firstResponse, response)
				} else {
					require.ErrorIs(t, err, ErrStaleRequest)
				}
				continue
			}
			if err != nil {
				require.ErrorIs(t, err, ErrStaleRequest)
				continue
			}
			firstResponses[number] = response
			applied++
			require.Equal(t, applied, s.Entries["k"].Version)
			s = restoreFromSnapshot(t, s)
		}
	})
}

// restoreFromSnapshot encodes a state as a snapshot and returns the decoded state.
func restoreFromSnapshot(t require.TestingT, s *State) *State {
	snapshot, err := json.Marshal(s)
	require.NoError(t, err)
	restored := New()
	require.NoError(t, json.Unmarshal(snapshot, restored))
	return restored
}

func TestSessionsEndByLogTime(t *testing.T) {
	s := New()
	id := mustApply(t, s, Request{OpenSession: true, TimeMS: 1000}).SessionID
	request := Request{SessionID: id, RequestNumber: 1, Then: []Op{putOp("k", "1")}, TimeMS: 1000 + SessionTimeoutMS}
	for s.LogTimeMS < 1000+SessionTimeoutMS { // each request advances the log time by at most maxClockAdvanceMS
		mustApply(t, s, Request{Then: []Op{putOp("x", "1")}, TimeMS: 1000 + SessionTimeoutMS})
	}
	mustApply(t, s, request)
	mustApply(t, s, Request{Then: []Op{putOp("x", "1")}, TimeMS: 5}) // a leader whose clock is behind
	assert.EqualValues(t, 1000+SessionTimeoutMS, s.LogTimeMS)
	mustApply(t, s, Request{Then: []Op{putOp("x", "2")}, TimeMS: 1 << 50}) // a leader whose clock is far ahead
	assert.EqualValues(t, 1000+SessionTimeoutMS+maxClockAdvanceMS, s.LogTimeMS)
	for range SessionTimeoutMS / maxClockAdvanceMS {
		mustApply(t, s, Request{Then: []Op{putOp("x", "2")}, TimeMS: 1 << 50})
	}
	_, _, err := s.Apply(99, &request)
	assert.ErrorIs(t, err, ErrSessionNotFound, "a request of an expired session must not be applied again")
	assert.EqualValues(t, 1, s.Entries["k"].Version)
	for range MaxSessions {
		mustApply(t, s, Request{OpenSession: true})
	}
	_, _, err = s.Apply(s.AppliedIndex+1, &Request{OpenSession: true})
	assert.ErrorIs(t, err, ErrFull)
}

// TestFenced checks that a request with a fencing token is applied only while the lease is held under
// that token; that a retry of an applied request gets its first response even after the lease was
// released; and that requests without operations expire idle sessions.
func TestFenced(t *testing.T) {
	s := New()
	response, _, err := s.Apply(1, &Request{TokenFloor: 100, LeaseOps: []lease.Op{{Kind: lease.OpAcquire, Name: "job", Holder: "h", TTLMS: 5000},
		{Kind: lease.OpAcquire, Name: "job", Holder: "other", TTLMS: 5000}}})
	require.NoError(t, err)
	fence := lease.FencingToken{Name: "job", Token: response.LeaseResults[0].Lease.Token}
	assert.Greater(t, fence.Token, uint64(100))
	assert.ErrorIs(t, response.LeaseResults[1].Err(), lease.ErrHeld)
	response, _, err = s.Apply(2, &Request{TimeMS: 1, OpenSession: true})
	require.NoError(t, err)
	request := Request{TimeMS: 1, SessionID: response.SessionID, RequestNumber: 1, Fences: []lease.FencingToken{fence}, Then: []Op{{Kind: "put", Key: "k", Value: []byte("1")}}}
	_, changed, err := s.Apply(3, &request)
	require.NoError(t, err)
	assert.Equal(t, []string{"k"}, changed)
	_, _, err = s.Apply(4, &Request{LeaseOps: []lease.Op{{Kind: lease.OpRelease, Name: "job", Token: fence.Token}}})
	require.NoError(t, err)
	repeated, changed, err := s.Apply(5, &request)
	require.NoError(t, err)
	assert.Empty(t, changed)
	assert.EqualValues(t, 3, repeated.Revision)
	request.RequestNumber = 2
	_, _, err = s.Apply(6, &request)
	assert.ErrorIs(t, err, ErrFenced)
	assert.EqualValues(t, 3, s.Revision("k"))
	for i := range uint64(11) {
		_, _, err = s.Apply(7+i, &Request{TimeMS: int64(i+1) * maxClockAdvanceMS})
		require.NoError(t, err)
	}
	assert.Empty(t, s.Sessions)
	assert.Greater(t, s.Clone().Leases.LastToken, uint64(100))
}
