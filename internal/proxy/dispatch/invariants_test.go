package dispatch

import (
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"oxbowbridge/admission"
	"oxbowbridge/internal/proxy/exchange"
	"oxbowbridge/internal/proxy/timerqueue"
	"oxbowbridge/internal/sitesettings"
)

// Indexes of the classes in settingsTemplate.
const (
	classIdempotent = iota
	classDeduplicated
	classAtMostOnce
	classCount
)

// settingsTemplate is a settings template with one class of each effect. %s is the preemption setting.
const settingsTemplate = `{"tick_ns": 4000000, "servers": 1, "counted_by": "work",
	"bounds": {"max_retry_after_ns": 2000000000, "retry_after": true},
	"classes": [
		{"name": "read", "effect": "idempotent", "value": 1, "aim_ns": 300000000, "deadline_ns": 900000000},
		{"name": "submit", "effect": "deduplicated", "value": 3, "aim_ns": 300000000, "deadline_ns": 900000000, "window_ns": 60000000000},
		{"name": "pay", "effect": "at_most_once", "value": 2, "aim_ns": 300000000, "deadline_ns": 60000000000}],
	"family_info": {"advert": "none", "below": "tier", "callers": 2, "class_calls": [true, true, true], "cores": 2, "halt": "%s",
		"idle_ns": 15000000000, "memory_kb": 400, "run_factor": 1.5, "tells_gone": true, "kb_per_key": 1, "own_stats": ["core_use"]},
	"safety": {"answer_slack_ns": 80000000, "cold_ns": 6000000000, "cold_share": 0.2, "drain_grace_ns": 600000000, "fall_multiple": 8, "fall_ns": 1000000000}}`

// fakeEnvironment is a fake of the dispatcher's runner, dependency and frontend. It checks invariants on
// each call that the dispatcher makes.
type fakeEnvironment struct {
	t          *testing.T
	dispatcher *Dispatcher
	exchange   *exchange.Exchange
	random     *rand.Rand
	now        time.Duration

	requests         []*exchange.Request
	runsByTraceID    map[string]int    // number of started runs, by trace id
	resultsByTraceID map[string][]byte // result of the latest run, by trace id
	runsByKey        map[string]int    // number of started runs, by idempotency key
	activeRuns       []string          // trace ids of recently started runs, which may be reported as ended
	calls            []string          // trace ids of calls in flight
	stoppedRuns      []string          // trace ids of stopped runs whose end is still to be reported
	responseCount    int
	restartCount     int // number of runs started with Job.Restarted
}

// fakeResponder is the Responder of one request.
type fakeResponder struct {
	*fakeEnvironment
	request          *exchange.Request
	requestResponses int // number of responses to the request
}

// Respond checks that a request gets one response and that the response agrees with the runs of the request.
func (a *fakeResponder) Respond(r exchange.Response) {
	a.requestResponses++
	a.responseCount++
	require.Equal(a.t, 1, a.requestResponses, "a request has one response")
	switch r.Kind {
	case exchange.Succeeded:
		require.Equal(a.t, "result of "+string(a.request.Body), string(r.Body))
	case exchange.Rejected:
		if a.request.Class != classIdempotent {
			require.Zero(a.t, a.runsByTraceID[a.request.TraceID], "a rejection promises that nothing ran")
			require.Zero(a.t, a.runsByKey[a.request.IdempotencyKey], "a rejection promises that no attempt ran")
		}
	}
}

// Run checks that a request that must run at most once is not run again.
func (s *fakeEnvironment) Run(a exchange.Job) {
	s.runsByTraceID[a.TraceID]++
	s.resultsByTraceID[a.TraceID] = fmt.Append(nil, "result of ", string(a.Body))
	s.activeRuns = append(s.activeRuns, a.TraceID)
	if a.Restarted {
		s.restartCount++
		require.True(s.t, a.Idempotent && s.runsByTraceID[a.TraceID] > 1, "only an idempotent request that has run before is restarted")
	}
	if a.Idempotent {
		return
	}
	require.Equal(s.t, 1, s.runsByTraceID[a.TraceID], "runs of one trace id")
	if key, ok := strings.CutPrefix(string(a.Body), "key "); ok {
		s.runsByKey[key]++
		require.Equal(s.t, 1, s.runsByKey[key], "runs of one idempotency key")
	}
}

func (s *fakeEnvironment) Stop(traceID string, answered bool) {
	if !answered {
		s.stoppedRuns = append(s.stoppedRuns, traceID)
	}
}

func (s *fakeEnvironment) Call(a exchange.Job) {
	require.Positive(s.t, s.runsByTraceID[a.TraceID], "a call needs a started run")
	s.calls = append(s.calls, a.TraceID)
}

func (s *fakeEnvironment) Resume(string)                        {}
func (s *fakeEnvironment) Discard(string)                       {}
func (s *fakeEnvironment) DeliverReply(string, []byte)          {}
func (s *fakeEnvironment) RequestGauges()                       {}
func (s *fakeEnvironment) Cancel(string)                        {}
func (s *fakeEnvironment) StopListening()                       {}
func (s *fakeEnvironment) CloseIdle(time.Duration) (int, int)   { return 0, 0 }
func (s *fakeEnvironment) DrainConnections()                    {}
func (s *fakeEnvironment) postOutcome(outcome exchange.Outcome) { s.exchange.Post(outcome) }
func (s *fakeEnvironment) chance(oneIn int) bool                { return s.random.IntN(oneIn) == 0 }
func (s *fakeEnvironment) pickTraceID(traceIDs []string) (traceID string) {
	return traceIDs[s.random.IntN(len(traceIDs))]
}

// noopFrontend is a Frontend without connections.
type noopFrontend struct{ *fakeEnvironment }

// CloseIdleAndStalled is a no-op.
func (noopFrontend) CloseIdleAndStalled(time.Duration) {}

// noopLingeringConns is a LingeringConns without connections.
type noopLingeringConns struct{}

// ReapLingering reports that no connections remain.
func (noopLingeringConns) ReapLingering(time.Time) int { return 0 }

// TestInvariants runs the dispatcher with random arrivals, duplicates, outcomes and controller actions.
// It checks that each request gets one response, that no request which must run at most once runs
// twice, and that no request is rejected after it may have run.
func TestInvariants(t *testing.T) {
	const seeds, iterations, drainIteration = 90, 500, 350
	responses, restarted := 0, 0
	for seed := range uint64(seeds) {
		s := newFakeEnvironment(t, seed)
		for iteration := range iterations {
			s.now += time.Duration(4+s.random.IntN(6)) * time.Millisecond
			if iteration == drainIteration {
				s.dispatcher.Drain(s.now, time.Second)
			}
			s.submitRandomRequests()
			s.postRandomOutcomes()
			s.dispatcher.handlePostedEvents() // so that actions can also target requests not yet reported to the controller
			s.executeRandomActions()
			s.dispatcher.runIteration()
		}
		require.True(t, s.dispatcher.drain.finished)
		responses += s.responseCount
		restarted += s.restartCount
	}
	require.Greater(t, responses, 10_000)
	require.Positive(t, restarted, "runs that were restarted after a preemption")
}

func newFakeEnvironment(t *testing.T, seed uint64) *fakeEnvironment {
	preemption := []string{"drop", "pause", "none"}[seed%3]
	var settings sitesettings.Settings
	require.NoError(t, json.Unmarshal(fmt.Appendf(nil, settingsTemplate, preemption), &settings))
	s := &fakeEnvironment{
		t:                t,
		exchange:         exchange.New(60),
		random:           rand.New(rand.NewPCG(seed, 1)),
		now:              10 * time.Second,
		runsByTraceID:    map[string]int{},
		resultsByTraceID: map[string][]byte{},
		runsByKey:        map[string]int{},
	}
	dispatcher, err := New(Config{
		Exchange:               s.exchange,
		Timers:                 &timerqueue.Queue{},
		Runner:                 s,
		Dependency:             s,
		Registry:               noopRegistry{},
		Frontends:              []Frontend{noopFrontend{s}},
		Lingering:              noopLingeringConns{},
		MaxIdempotencyKeyBytes: 1 << 20,
		Now:                    func() time.Duration { return s.now },
		Log:                    zap.NewNop(),
		SiteSettings:           &settings,
	})
	require.NoError(t, err)
	s.dispatcher = dispatcher
	s.exchange.Post(exchange.RunnerReady{WarmingUp: seed%2 == 0, Uptime: time.Second})
	return s
}

// submitRandomRequests submits random requests. Some repeat an earlier request, some reuse the
// idempotency key of an earlier request, and some are canceled.
func (s *fakeEnvironment) submitRandomRequests() {
	for range s.random.IntN(4) {
		request := s.newRandomRequest()
		if s.chance(12) && len(s.requests) > 0 {
			duplicate := *s.recentRequest(5)
			request = &duplicate
		}
		request.Responder = &fakeResponder{fakeEnvironment: s, request: request}
		s.exchange.Submit(request)
		s.requests = append(s.requests, request)
	}
	if s.chance(9) && len(s.requests) > 0 {
		s.exchange.Post(exchange.RequestCanceled{Request: s.recentRequest(12)})
	}
}

func (s *fakeEnvironment) newRandomRequest() *exchange.Request {
	number := len(s.requests) + 1
	request := &exchange.Request{
		TraceID:    fmt.Sprintf("%016x", number),
		Class:      s.random.IntN(classCount),
		ArrivedAt:  time.Now(),
		ReservedKB: float64(1 + s.random.IntN(6)),
		Body:       fmt.Append(nil, "request ", number),
	}
	if request.Class == classDeduplicated {
		key := number
		if s.chance(3) {
			key = max(1, number-s.random.IntN(20))
		}
		request.IdempotencyKey = fmt.Sprint(key)
		request.Body = fmt.Append(nil, "key ", key)
	}
	return request
}

// recentRequest returns a random request from the last `window` requests.
func (s *fakeEnvironment) recentRequest(window int) *exchange.Request {
	return s.requests[max(0, len(s.requests)-1-s.random.IntN(window))]
}

// postRandomOutcomes reports random results of runs and calls, some of them late or twice.
func (s *fakeEnvironment) postRandomOutcomes() {
	results := int(exchange.ResultConnectionLost) + 1
	for range s.random.IntN(4) {
		if len(s.activeRuns) == 0 {
			break
		}
		traceID := s.pickTraceID(s.activeRuns)
		if s.chance(3) {
			s.postOutcome(exchange.Outcome{TraceID: traceID, Stage: exchange.CallNeeded, Body: []byte("call")})
			continue
		}
		result := exchange.ResultOK
		if s.chance(3) {
			result = exchange.Result(s.random.IntN(results))
		}
		s.postOutcome(exchange.Outcome{TraceID: traceID, Stage: exchange.RunEnded, Result: result, Body: s.resultsByTraceID[traceID]})
	}
	for len(s.calls) > 0 && !s.chance(3) {
		result := exchange.Result(s.random.IntN(results))
		s.postOutcome(exchange.Outcome{TraceID: s.calls[0], Stage: exchange.CallEnded, Result: result, Body: []byte("reply")})
		s.calls = s.calls[1:]
	}
	for len(s.stoppedRuns) > 0 && !s.chance(4) {
		s.postOutcome(exchange.Outcome{TraceID: s.stoppedRuns[0], Stage: exchange.RunEnded, Result: exchange.ResultStopped})
		s.stoppedRuns = s.stoppedRuns[1:]
	}
	const maxActiveRuns = 12
	s.activeRuns = s.activeRuns[max(0, len(s.activeRuns)-maxActiveRuns):]
}

// executeRandomActions executes random actions, which the controller did not decide, on random requests.
func (s *fakeEnvironment) executeRandomActions() {
	for range s.random.IntN(6) {
		ids := slices.Sorted(maps.Keys(s.dispatcher.byID))
		if len(ids) == 0 {
			return
		}
		id := ids[s.random.IntN(len(ids))]
		actions := []admission.Action{admission.Run{ID: id}, admission.Preempt{ID: id}, admission.Reject{ID: id},
			admission.Fail{ID: id}, admission.StartCall{ID: id}, admission.ShareResult{ID: id}}
		s.dispatcher.executeAction(s.now, actions[s.random.IntN(len(actions))])
	}
}
