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

// Indexes of the classes in invariantSite.
const (
	classIdempotent = iota
	classDeduplicated
	classAtMostOnce
	classCount
)

// invariantSite is a settings template with one class of each effect. %s is the preemption setting.
const invariantSite = `{"tick_ns": 4000000, "servers": 1, "counted_by": "work",
	"bounds": {"max_retry_after_ns": 2000000000, "retry_after": true},
	"classes": [
		{"name": "read", "effect": "idempotent", "value": 1, "aim_ns": 300000000, "deadline_ns": 900000000},
		{"name": "submit", "effect": "deduplicated", "value": 3, "aim_ns": 300000000, "deadline_ns": 900000000, "window_ns": 60000000000},
		{"name": "pay", "effect": "at_most_once", "value": 2, "aim_ns": 300000000, "deadline_ns": 60000000000}],
	"family_info": {"advert": "none", "below": "tier", "callers": 2, "class_calls": [true, true, true], "cores": 2, "halt": "%s",
		"idle_ns": 15000000000, "memory_kb": 400, "run_factor": 1.5, "tells_gone": true, "kb_per_key": 1, "own_stats": ["core_use"]},
	"safety": {"answer_slack_ns": 80000000, "cold_ns": 6000000000, "cold_share": 0.2, "drain_grace_ns": 600000000, "fall_multiple": 8, "fall_ns": 1000000000}}`

// surroundings is a fake of the dispatcher's runner, dependency and frontend. It checks invariants on
// each call that the dispatcher makes.
type surroundings struct {
	t          *testing.T
	dispatcher *Dispatcher
	exchange   *exchange.Exchange
	random     *rand.Rand
	now        time.Duration

	requests  []*exchange.Request
	runs      map[string]int    // number of started runs, by trace id
	results   map[string][]byte // result of the latest run, by trace id
	keyRuns   map[string]int    // number of started runs, by idempotency key
	inRun     []string          // trace ids of recently started runs, which may be reported as ended
	calls     []string          // trace ids of calls in flight
	stopped   []string          // trace ids of stopped runs whose end is still to be reported
	responses int
	restarted int // number of runs started with Job.Restarted
}

// attempt is the Responder of one request.
type attempt struct {
	*surroundings
	request *exchange.Request
	count   int // number of responses
}

// Respond checks that a request gets one response and that the response is true.
func (a *attempt) Respond(r exchange.Response) {
	a.count++
	a.responses++
	require.Equal(a.t, 1, a.count, "a request has one response")
	switch r.Kind {
	case exchange.Succeeded:
		require.Equal(a.t, "result of "+string(a.request.Body), string(r.Body))
	case exchange.Rejected:
		if a.request.Class != classIdempotent {
			require.Zero(a.t, a.runs[a.request.TraceID], "a rejection promises that nothing ran")
			require.Zero(a.t, a.keyRuns[a.request.IdempotencyKey], "a rejection promises that no attempt ran")
		}
	}
}

// Run checks that a request that must run at most once is not run again.
func (s *surroundings) Run(a exchange.Job) {
	s.runs[a.TraceID]++
	s.results[a.TraceID] = fmt.Append(nil, "result of ", string(a.Body))
	s.inRun = append(s.inRun, a.TraceID)
	if a.Restarted {
		s.restarted++
		require.True(s.t, a.Idempotent && s.runs[a.TraceID] > 1, "only an idempotent request that has run before is restarted")
	}
	if a.Idempotent {
		return
	}
	require.Equal(s.t, 1, s.runs[a.TraceID], "runs of one trace id")
	if key, ok := strings.CutPrefix(string(a.Body), "key "); ok {
		s.keyRuns[key]++
		require.Equal(s.t, 1, s.keyRuns[key], "runs of one idempotency key")
	}
}

func (s *surroundings) Stop(traceID string, answered bool) {
	if !answered {
		s.stopped = append(s.stopped, traceID)
	}
}

func (s *surroundings) Call(a exchange.Job) {
	require.Positive(s.t, s.runs[a.TraceID], "a call needs a started run")
	s.calls = append(s.calls, a.TraceID)
}

func (s *surroundings) Resume(string)                        {}
func (s *surroundings) Discard(string)                       {}
func (s *surroundings) DeliverReply(string, []byte)          {}
func (s *surroundings) RequestGauges()                       {}
func (s *surroundings) Cancel(string)                        {}
func (s *surroundings) StopListening()                       {}
func (s *surroundings) CloseIdle(time.Duration) (int, int)   { return 0, 0 }
func (s *surroundings) DrainConnections()                    {}
func (s *surroundings) postOutcome(outcome exchange.Outcome) { s.exchange.Post(outcome) }
func (s *surroundings) chance(oneIn int) bool                { return s.random.IntN(oneIn) == 0 }
func (s *surroundings) pick(traceIDs []string) (traceID string) {
	return traceIDs[s.random.IntN(len(traceIDs))]
}

// idleFrontend is a Frontend without connections.
type idleFrontend struct{ *surroundings }

// CloseIdleAndStalled is a no-op.
func (idleFrontend) CloseIdleAndStalled(time.Duration) {}

// noLingering is a LingeringConns without connections.
type noLingering struct{}

// ReapLingering reports that no connections remain.
func (noLingering) ReapLingering(time.Time) int { return 0 }

// TestInvariants runs the dispatcher with random arrivals, duplicates, outcomes and controller actions.
// It checks that each request gets one response, that no request which must run at most once runs
// twice, and that no request is rejected after it may have run.
func TestInvariants(t *testing.T) {
	const schedules, turns, drainTurn = 90, 500, 350
	responses, restarted := 0, 0
	for seed := range uint64(schedules) {
		s := newSurroundings(t, seed)
		for turn := range turns {
			s.now += time.Duration(4+s.random.IntN(6)) * time.Millisecond
			if turn == drainTurn {
				s.dispatcher.Drain(s.now, time.Second)
			}
			s.arrivals()
			s.outcomes()
			s.dispatcher.handlePosted() // so that actions can also target requests not yet reported to the controller
			s.actions()
			s.dispatcher.turn()
		}
		require.True(t, s.dispatcher.drain.finished)
		responses += s.responses
		restarted += s.restarted
	}
	require.Greater(t, responses, 10_000)
	require.Positive(t, restarted, "runs that were restarted after a preemption")
}

func newSurroundings(t *testing.T, seed uint64) *surroundings {
	preemption := []string{"drop", "pause", "none"}[seed%3]
	var settings sitesettings.Settings
	require.NoError(t, json.Unmarshal(fmt.Appendf(nil, invariantSite, preemption), &settings))
	s := &surroundings{
		t:        t,
		exchange: exchange.New(60),
		random:   rand.New(rand.NewPCG(seed, 1)),
		now:      10 * time.Second,
		runs:     map[string]int{},
		results:  map[string][]byte{},
		keyRuns:  map[string]int{},
	}
	dispatcher, err := New(Config{
		Exchange:               s.exchange,
		Timers:                 &timerqueue.Queue{},
		Runner:                 s,
		Dependency:             s,
		Registry:               idleRegistry{},
		Frontends:              []Frontend{idleFrontend{s}},
		Lingering:              noLingering{},
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

// arrivals submits random requests. Some repeat an earlier request, some reuse the idempotency key of
// an earlier one, and some are cancelled.
func (s *surroundings) arrivals() {
	for range s.random.IntN(4) {
		request := s.newRequest()
		if s.chance(12) && len(s.requests) > 0 {
			again := *s.recentRequest(5)
			request = &again
		}
		request.Responder = &attempt{surroundings: s, request: request}
		s.exchange.Submit(request)
		s.requests = append(s.requests, request)
	}
	if s.chance(9) && len(s.requests) > 0 {
		s.exchange.Post(exchange.RequestCanceled{Request: s.recentRequest(12)})
	}
}

func (s *surroundings) newRequest() *exchange.Request {
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

// recentRequest returns a random one of the last requests, at most `last` back.
func (s *surroundings) recentRequest(last int) *exchange.Request {
	return s.requests[max(0, len(s.requests)-1-s.random.IntN(last))]
}

// outcomes reports random results of runs and calls, some of them late or twice.
func (s *surroundings) outcomes() {
	results := int(exchange.ResultConnectionLost) + 1
	for range s.random.IntN(4) {
		if len(s.inRun) == 0 {
			break
		}
		traceID := s.pick(s.inRun)
		if s.chance(3) {
			s.postOutcome(exchange.Outcome{TraceID: traceID, Stage: exchange.CallNeeded, Body: []byte("call")})
			continue
		}
		result := exchange.ResultOK
		if s.chance(3) {
			result = exchange.Result(s.random.IntN(results))
		}
		s.postOutcome(exchange.Outcome{TraceID: traceID, Stage: exchange.RunEnded, Result: result, Body: s.results[traceID]})
	}
	for len(s.calls) > 0 && !s.chance(3) {
		result := exchange.Result(s.random.IntN(results))
		s.postOutcome(exchange.Outcome{TraceID: s.calls[0], Stage: exchange.CallEnded, Result: result, Body: []byte("reply")})
		s.calls = s.calls[1:]
	}
	for len(s.stopped) > 0 && !s.chance(4) {
		s.postOutcome(exchange.Outcome{TraceID: s.stopped[0], Stage: exchange.RunEnded, Result: exchange.ResultStopped})
		s.stopped = s.stopped[1:]
	}
	const remembered = 12
	s.inRun = s.inRun[max(0, len(s.inRun)-remembered):]
}

// actions executes random actions, which the controller did not decide, on random requests.
func (s *surroundings) actions() {
	for range s.random.IntN(6) {
		ids := slices.Sorted(maps.Keys(s.dispatcher.byID))
		if len(ids) == 0 {
			return
		}
		id := ids[s.random.IntN(len(ids))]
		actions := []admission.Action{admission.Run{ID: id}, admission.Preempt{ID: id}, admission.Reject{ID: id},
			admission.Fail{ID: id}, admission.StartCall{ID: id}, admission.ShareResult{ID: id}}
		s.dispatcher.execute(s.now, actions[s.random.IntN(len(actions))])
	}
}
