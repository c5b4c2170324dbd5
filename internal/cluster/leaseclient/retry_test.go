package leaseclient

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"oxbowbridge/internal/cluster/storeapi"
	"oxbowbridge/internal/cluster/storeclient"
)

const (
	testTTL = 10 * time.Second
	// finalAnswerTimeout limits calls that get a final answer.
	finalAnswerTimeout = 10 * time.Second
	// noAnswerTimeout ends calls that never get a final answer.
	noAnswerTimeout = 300 * time.Millisecond

	answerHeld        = `200 {"token":7}`
	answerRevoked     = `200 {"token":7,"revoked":true}`
	answerOtherHolder = `200 {"token":8}`
	answerNoContent   = "204 "
	answerRejected    = "400 "
	answerFree        = "404 "
	answerNotHeld     = "410 "
	answerNoLeader    = "503 "
)

var statusCodes = map[string]int{
	"200": http.StatusOK, "204": http.StatusNoContent, "400": http.StatusBadRequest, "404": http.StatusNotFound,
	"410": http.StatusGone, "503": http.StatusServiceUnavailable,
}

// storeStandIn is a stand-in for a store with two nodes. It grants a lease, and answers each later request with the
// next of answers; it repeats the last one.
type storeStandIn struct {
	mu             sync.Mutex
	answers        []string
	requestedNodes []int // node that received each request after the grant
}

// acquire starts the stand-in's nodes and acquires a lease from them.
func (s *storeStandIn) acquire(t *testing.T) *Lease {
	var nodes []string
	for node := range 2 {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(w, r, node) }))
		t.Cleanup(server.Close)
		nodes = append(nodes, strings.TrimPrefix(server.URL, "http://"))
	}
	manager := New(nodes, "holder")
	t.Cleanup(manager.Close)
	acquired, err := manager.Acquire(t.Context(), AcquireOptions{Name: "l", TTL: testTTL})
	require.NoError(t, err)
	return acquired
}

func (s *storeStandIn) serve(w http.ResponseWriter, r *http.Request, node int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Method == http.MethodPost {
		io.WriteString(w, `{"token":7}`)
		return
	}
	s.requestedNodes = append(s.requestedNodes, node)
	code, body, _ := strings.Cut(s.answers[0], " ")
	if len(s.answers) > 1 {
		s.answers = s.answers[1:]
	}
	w.WriteHeader(statusCodes[code])
	io.WriteString(w, body)
}

// nodesRequested returns the node that received each request after the grant, in order.
func (s *storeStandIn) nodesRequested() []int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requestedNodes
}

// TestCheckRetries guards against a Check that treats a node's failure as an answer, or retries after an answer.
func TestCheckRetries(t *testing.T) {
	for name, test := range map[string]struct {
		answers        []string
		requestedNodes []int
		lost           bool
		rejected       bool
	}{
		"held":               {answers: []string{answerHeld}, requestedNodes: []int{0}},
		"held, other node":   {answers: []string{answerNoLeader, answerNoLeader, answerHeld}, requestedNodes: []int{0, 1, 0}},
		"revoked":            {answers: []string{answerRevoked}, requestedNodes: []int{0}, lost: true},
		"another holder's":   {answers: []string{answerOtherHolder}, requestedNodes: []int{0}, lost: true},
		"free":               {answers: []string{answerFree}, requestedNodes: []int{0}, lost: true},
		"free, other node":   {answers: []string{answerNoLeader, answerFree}, requestedNodes: []int{0, 1}, lost: true},
		"rejected":           {answers: []string{answerRejected}, requestedNodes: []int{0}, rejected: true},
		"rejected, 2nd node": {answers: []string{answerNoLeader, answerRejected}, requestedNodes: []int{0, 1}, rejected: true},
	} {
		t.Run(name, func(t *testing.T) {
			s := &storeStandIn{answers: test.answers}
			ctx, cancel := context.WithTimeout(t.Context(), finalAnswerTimeout)
			defer cancel()
			err := s.acquire(t).Check(ctx)
			var status *storeapi.StatusError
			assert.Equal(t, test.lost, errors.Is(err, ErrLost), "%v", err)
			assert.Equal(t, test.rejected, errors.As(err, &status), "%v", err)
			assert.Equal(t, test.lost || test.rejected, err != nil, "%v", err)
			assert.Equal(t, test.requestedNodes, s.nodesRequested())
		})
	}
}

// TestReleaseRetries guards against a Release that stops at a node's failure, or fails if the lease has already ended.
func TestReleaseRetries(t *testing.T) {
	for name, test := range map[string]struct {
		answers        []string
		requestedNodes []int
		rejected       bool
	}{
		"released":             {answers: []string{answerNoContent}, requestedNodes: []int{0}},
		"released, other node": {answers: []string{answerNoLeader, answerNoLeader, answerNoContent}, requestedNodes: []int{0, 1, 0}},
		"not held":             {answers: []string{answerNotHeld}, requestedNodes: []int{0}},
		"released before":      {answers: []string{answerNoLeader, answerNotHeld}, requestedNodes: []int{0, 1}},
		"rejected":             {answers: []string{answerRejected}, requestedNodes: []int{0}, rejected: true},
	} {
		t.Run(name, func(t *testing.T) {
			s := &storeStandIn{answers: test.answers}
			ctx, cancel := context.WithTimeout(t.Context(), finalAnswerTimeout)
			defer cancel()
			err := s.acquire(t).Release(ctx)
			var status *storeapi.StatusError
			assert.Equal(t, test.rejected, errors.As(err, &status), "%v", err)
			assert.Equal(t, test.rejected, err != nil, "%v", err)
			assert.Equal(t, test.requestedNodes, s.nodesRequested())
		})
	}
}

// TestCallEndsWithContext guards against a call that continues after its context has ended.
func TestCallEndsWithContext(t *testing.T) {
	for name, call := range map[string]func(*Lease, context.Context) error{"Check": (*Lease).Check, "Release": (*Lease).Release} {
		t.Run(name, func(t *testing.T) {
			s := &storeStandIn{answers: []string{answerNoLeader}}
			held := s.acquire(t)
			ctx, cancel := context.WithTimeout(t.Context(), noAnswerTimeout)
			defer cancel()
			require.ErrorIs(t, call(held, ctx), context.DeadlineExceeded)
		})
	}
}

// TestCanceledCallReportsCause guards against a canceled call whose error lacks the error of its last attempt.
func TestCanceledCallReportsCause(t *testing.T) {
	manager := New([]string{"127.0.0.1:1"}, "holder")
	t.Cleanup(manager.Close)
	ctx, cancel := context.WithCancel(t.Context())
	errNoAnswer := errors.New("no answer")
	err := manager.callUntilFinal(ctx, func(*storeclient.Client) (bool, error) {
		cancel()
		return false, errNoAnswer
	})
	require.ErrorIs(t, err, context.Canceled)
	require.ErrorIs(t, err, errNoAnswer)
}
