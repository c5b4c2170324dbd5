package admission

import (
	"math/rand"
	"slices"
	"testing"
	"time"
)

// simulatedServer simulates the server of one controller. It executes actions, generates valid
// random events, and fails the test if an action breaks a rule.
type simulatedServer struct {
	t              *testing.T
	settings       Settings
	controller     *Controller
	random         *rand.Rand
	now            time.Duration
	requests       map[uint32]*simulatedRequest
	arrivalOrder   []uint32                 // ids of all requests, in the order of arrival
	keyExpiry      map[uint32]time.Duration // expiry times of the stored keys, by request id
	drainStartedAt time.Duration            // clock time of the shutdown signal; 0 if none
	timers         []pendingTimer
	lastID         uint32
}

type pendingTimer struct {
	at time.Duration
	id uint64
}

// serverPhase is the phase of a request from the server's view.
type serverPhase string

const (
	serverQueued         serverPhase = "queued"
	serverRunning        serverPhase = "running"
	serverStopping       serverPhase = "stopping" // preempted, has not yet released its core
	serverPaused         serverPhase = "paused"
	serverAwaitingCall   serverPhase = "awaiting call"
	serverInCall         serverPhase = "in call"
	serverAwaitingResult serverPhase = "awaiting result"
)

// simulatedRequest is a request from the server's view.
type simulatedRequest struct {
	id          uint32
	arrivedAt   time.Duration
	deadline    time.Duration
	class       int
	memoryKB    float64
	phase       serverPhase
	ran         bool
	answered    bool
	duplicateOf uint32
}

func randomSettings(random *rand.Rand) Settings {
	s := testSettings()
	s.Cores = 1 + random.Intn(8)
	s.Servers, s.Callers = 1+random.Intn(400), random.Intn(1200)
	s.Preemption, s.AdvertKind, s.Dependency = Preemption(random.Intn(3)), AdvertKind(random.Intn(4)), Dependency(random.Intn(3))
	s.SlowStart, s.WeightPerWork, s.NotifiesCanceled = random.Intn(2) == 0, random.Intn(2) == 0, random.Intn(2) == 0
	s.RunMemoryFactor, s.MaxIdleTimeout, s.CallQuota = 1+random.Float64()*15, 30*time.Second, 0.2+random.Float64()*3
	s.MemoryKB = float64(s.Cores) * 10 * s.RunMemoryFactor * (2 + random.Float64()*20)
	s.TiersAbove = random.Intn(2)
	if random.Intn(2) == 0 {
		s.ResultReuseWindow = time.Second
	}
	if random.Intn(2) == 0 {
		s.Tenants, s.OverQuotaFraction = []Tenant{{QuotaPerSecond: random.Float64()}, {QuotaPerSecond: 40}}, 0.1
	}
	s.Classes = append(s.Classes, Class{LatencyObjective: time.Second, Deadline: 2 * time.Second, PriorityWeight: 5})
	for i := range s.Classes {
		class := &s.Classes[i]
		class.ExecutionSemantics = ExecutionSemantics(i)
		class.DedupWindow = 3 * time.Second
		class.MakesCalls = random.Intn(2) == 0
		class.DegradedFraction = float64(random.Intn(2)) / 2
	}
	return s
}

// execute applies the actions of one batch and checks each of them, then the limits of the server.
func (s *simulatedServer) execute(actions []Action) {
	for _, a := range actions {
		s.executeOne(a)
	}
	s.checkDeadlines()
	s.checkMemory()
	s.checkRuns()
}

func (s *simulatedServer) executeOne(a Action) {
	switch a := a.(type) {
	case Run:
		s.run(s.requestByID(a.ID))
	case Preempt:
		if r := s.requests[a.ID]; r != nil && r.phase == serverRunning {
			r.phase = serverStopping
		}
	case Reject:
		r := s.requestByID(a.ID)
		if r.ran {
			s.t.Fatalf("at %v: request %d was rejected after it ran", s.now, a.ID)
		}
		s.recordResponse(r)
	case Fail:
		s.recordResponse(s.requestByID(a.ID))
	case StartCall:
		if r := s.requestByID(a.ID); r.phase == serverAwaitingCall {
			r.phase = serverInCall
		}
	case Degrade:
		r := s.requestByID(a.ID)
		if s.settings.Classes[r.class].DegradedFraction == 0 {
			s.t.Fatalf("at %v: request %d was degraded, but its class forbids it", s.now, a.ID)
		}
		r.phase = serverRunning
	case StoreKey:
		s.requestByID(a.ID)
		s.keyExpiry[a.ID] = s.now + a.TTL
	case EvictKey:
		delete(s.keyExpiry, a.ID)
	case ShareResult:
		s.requestByID(a.ID).phase = serverAwaitingResult
	case Advertise:
		if s.settings.AdvertKind == AdvertNone || a.Value < 0 {
			s.t.Fatalf("at %v: advertised value %v, want at least 0 and an advert kind other than AdvertNone", s.now, a.Value)
		}
	case SetIdleTimeout:
		if a.Timeout < 10*ms || a.Timeout > s.settings.MaxIdleTimeout {
			s.t.Fatalf("at %v: idle timeout %v is out of range", s.now, a.Timeout)
		}
	case SetTimer:
		s.timers = append(s.timers, pendingTimer{s.now + a.After, a.TimerID})
	}
}

func (s *simulatedServer) requestByID(id uint32) *simulatedRequest {
	r := s.requests[id]
	if r == nil {
		s.t.Fatalf("at %v: action for unknown request %d", s.now, id)
	}
	return r
}

func (s *simulatedServer) run(r *simulatedRequest) {
	if r.phase != serverQueued && r.phase != serverPaused {
		s.t.Fatalf("at %v: Run for request %d in phase %s", s.now, r.id, r.phase)
	}
	if r.phase == serverQueued && (r.ran || r.duplicateOf != 0) && s.settings.Classes[r.class].ExecutionSemantics != Idempotent {
		s.t.Fatalf("at %v: request %d, which is not idempotent, was run twice", s.now, r.id)
	}
	if s.drainStartedAt > 0 && r.arrivedAt > s.drainStartedAt+s.settings.DrainGracePeriod {
		s.t.Fatalf("at %v: request %d, which arrived after the grace period, was run", s.now, r.id)
	}
	r.phase = serverRunning
	r.ran = true
}

func (s *simulatedServer) recordResponse(r *simulatedRequest) {
	if r.answered {
		s.t.Fatalf("at %v: request %d was answered twice", s.now, r.id)
	}
	r.answered = true
	if r.phase == serverQueued || r.phase == serverPaused || r.phase == serverAwaitingResult {
		delete(s.requests, r.id)
	}
}

func (s *simulatedServer) checkDeadlines() {
	for id, r := range s.requests {
		if !r.answered && s.now > r.deadline+s.settings.AnswerGracePeriod {
			s.t.Fatalf("at %v: request %d with deadline %v is unanswered", s.now, id, r.deadline)
		}
	}
}

func (s *simulatedServer) checkMemory() {
	usedKB := 0.0
	for _, until := range s.keyExpiry {
		if until > s.now {
			usedKB += s.settings.KeyMemoryKB
		}
	}
	for _, r := range s.requests {
		switch r.phase {
		case serverQueued, serverAwaitingResult:
			usedKB += r.memoryKB
		default:
			usedKB += r.memoryKB * s.settings.RunMemoryFactor
		}
	}
	if usedKB > s.settings.MemoryKB {
		s.t.Fatalf("at %v: %v kB in use, want at most %v", s.now, usedKB, s.settings.MemoryKB)
	}
}

func (s *simulatedServer) checkRuns() {
	running := 0
	for _, r := range s.requests {
		if r.phase == serverRunning || r.phase == serverStopping {
			running++
		}
	}
	if sustainedRuns := s.controller.maxRuns(); float64(running) > sustainedRuns {
		s.t.Fatalf("at %v: %d runs, want at most %v", s.now, running, sustainedRuns)
	}
}

// nextEvents generates the events of the next step: progress of the requests in arrival order, then
// arrivals, then timers.
func (s *simulatedServer) nextEvents() []Event {
	var out []Event
	for _, id := range s.arrivalOrder {
		if r := s.requests[id]; r != nil {
			out = s.nextRequestEvents(out, r)
		}
	}
	for n := s.random.Intn(3); n > 0 && s.random.Intn(12) == 0; n-- {
		out = append(out, s.newArrivalEvent())
	}
	s.timers = slices.DeleteFunc(s.timers, func(timer pendingTimer) bool {
		if timer.at > s.now {
			return false
		}
		gauges := Gauges{CPUUtilization: s.random.Float64(), RunQueue: float64(s.random.Intn(6))}
		out = append(out, TimerFired{timer.id, gauges})
		return true
	})
	return out
}

// nextRequestEvents randomly advances one request and appends the resulting events.
func (s *simulatedServer) nextRequestEvents(out []Event, r *simulatedRequest) []Event {
	switch draw := s.random.Intn(100); {
	case r.phase == serverStopping && r.answered:
		return s.endRequest(out, r, OutcomeCanceled)
	case r.phase == serverStopping:
		stopped := map[Preemption]serverPhase{PreemptionPause: serverPaused, PreemptionDrop: serverQueued}
		r.phase = stopped[s.settings.Preemption]
		return append(out, Completed{ID: r.id, Outcome: OutcomeCanceled})
	case r.phase == serverRunning && draw < 1 && s.settings.Dependency != DependencyNone:
		r.phase = serverAwaitingCall
		if r.answered {
			return s.endRequest(out, r, OutcomeCanceled)
		}
		return append(out, CallNeeded{r.id})
	case r.phase == serverRunning && draw < 3 && r.answered:
		return s.endRequest(out, r, OutcomeCanceled)
	case r.phase == serverRunning && draw < 3:
		return s.endRequest(out, r, s.randomOutcome(OutcomeOK, OutcomeOK, OutcomeOK, OutcomeInternal))
	case (r.phase == serverAwaitingCall || r.phase == serverInCall) && r.answered && draw < 50:
		return s.endRequest(out, r, OutcomeCanceled)
	case r.phase == serverInCall && draw < 5:
		return append(out, s.endCall(r))
	case r.phase == serverAwaitingResult && draw < 5:
		return s.endRequest(out, r, OutcomeOK)
	case s.settings.NotifiesCanceled && !r.answered && s.random.Intn(3000) == 0:
		return append(out, s.cancel(r))
	}
	return out
}

func (s *simulatedServer) randomOutcome(outcomes ...Outcome) Outcome {
	return outcomes[s.random.Intn(len(outcomes))]
}

func (s *simulatedServer) endRequest(out []Event, r *simulatedRequest, outcome Outcome) []Event {
	r.answered = true
	delete(s.requests, r.id)
	return append(out, Completed{ID: r.id, Elapsed: s.now - r.arrivedAt, Outcome: outcome})
}

func (s *simulatedServer) endCall(r *simulatedRequest) Event {
	outcome := s.randomOutcome(OutcomeOK, OutcomeOK, OutcomeResourceExhausted, OutcomeDeadlineExceeded,
		OutcomeUnavailable, OutcomeAborted)
	r.phase = serverAwaitingCall
	if outcome == OutcomeOK {
		r.phase = serverRunning
	}
	return CallCompleted{ID: r.id, Outcome: outcome}
}

func (s *simulatedServer) cancel(r *simulatedRequest) Event {
	r.answered = true
	if r.phase != serverRunning && r.phase != serverAwaitingCall && r.phase != serverInCall {
		delete(s.requests, r.id)
	}
	return Canceled{r.id}
}

// newArrivalEvent generates the arrival of a request, sometimes of a duplicate of a request with a
// stored key.
func (s *simulatedServer) newArrivalEvent() Event {
	s.lastID++
	r := &simulatedRequest{
		id:        s.lastID,
		arrivedAt: s.now - time.Duration(s.random.Intn(300))*ms,
		class:     s.random.Intn(3),
		memoryKB:  5 + s.random.Float64()*20,
		phase:     serverQueued,
		deadline:  s.now + time.Duration(s.random.Intn(2000))*ms,
	}
	a := Arrival{
		ID:       r.id,
		Class:    r.class,
		Tenant:   s.random.Intn(2),
		Timeout:  r.deadline - s.now,
		Age:      s.now - r.arrivedAt,
		MemoryKB: r.memoryKB,
		Retry:    s.random.Intn(3) == 0,
	}
	if a.Timeout == 0 {
		r.deadline = max(s.now, r.arrivedAt+s.settings.Classes[r.class].Deadline)
	}
	for _, id := range s.arrivalOrder {
		stored := s.requests[id]
		if stored != nil && stored.class == r.class && s.keyExpiry[id] > s.now && stored.duplicateOf == 0 &&
			s.random.Intn(4) == 0 {
			a.DuplicateOf = id
			r.duplicateOf = id
			break
		}
	}
	s.requests[r.id] = r
	s.arrivalOrder = append(s.arrivalOrder, r.id)
	return a
}
