// Package admission decides, inside one server, which requests are admitted, run,
// refused or failed when there is more work than the server can do.
//
// A server owns one Controller. It tells the controller what happened with
// Handle and carries out the returned actions in order, at the same instant.
// The controller has no clock, goroutine, I/O or global state: the server owns
// the clock, calls must be serialised, and equal calls give equal actions.
//
// Every Arrive obliges the server to hold the request until an action starts
// or answers it; a request for which no action comes simply stays held. Each
// Take that starts a run, and each Share, is followed by one Completed.
// Defer asks for one Due event, which must carry the server's gauges.
package admission

import (
	"fmt"
	"time"
)

// Effect says how often a class may be run.
type Effect uint8

// The effects of a class.
const (
	Idempotent   Effect = iota // may be run again
	Deduplicated               // once here within its window
	AtMostOnce                 // once, never again after it may have run
)

// Halt says what Suspend does to running work.
type Preemption uint8

// The kinds of Halt.
const (
	PreemptionNone  Preemption = iota // running work can't be stopped
	PreemptionDrop                    // progress is lost, the request is held again
	PreemptionPause                   // progress and memory are kept until Take
)

// Advert says how callers read the value set by Publish.
type Advert uint8

// The kinds of Advert.
const (
	AdvertNone    Advert = iota // no value may be published
	AdvertMinRank               // requests placed below the value stay away
	AdvertCredit                // requests that each caller may have outstanding
	AdvertWeight                // chance, 0 to 1, that a caller doesn't skip the server
)

// Below says what calls go to.
type Dependency uint8

// The kinds of Below.
const (
	DependencyNone     Dependency = iota // nothing
	DependencyShared                     // one dependency that all servers share
	DependencyNextTier                   // another tier of servers running this code
)

// Outcome is the result of a run or a call.
type Outcome uint8

// The outcomes. Full, Unreachable and TooLate prove that nothing was run.
const (
	OutcomeOK Outcome = iota
	OutcomeInternal
	OutcomeResourceExhausted
	OutcomeDeadlineExceeded
	OutcomeUnavailable
	OutcomeAborted
	OutcomeCanceled
	OutcomeNotStarted
)

// Class describes one class of requests.
type Class struct {
	LatencyObjective time.Duration // an answer this long after the first try earns the full worth
	Deadline         time.Duration // how long a client waits across all of its tries
	ObjectiveStretch float64       // the aim grows by this multiple of the request's own work
	DedupWindow      time.Duration // Deduplicated: how long a repeat may arrive
	Effect           Effect
	PriorityWeight   float64 // worth of one request, or of one unit of work with PerWork
	LateFraction     float64 // share of the worth kept after the aim
	MakesCalls       bool    // its requests may call below
	DegradedFraction float64 // share of the worth kept when a call is left out
}

// Tenant describes one tenant.
type Tenant struct {
	QuotaPerSecond float64 // requests per second within its share, over all servers
}

// Settings is all that a controller is told at its start.
type Settings struct {
	MinInterval time.Duration // least time between two calls of Handle
	TiersAbove  int           // tiers above this one, whose work a refusal here wastes
	Cores       int
	Servers     int // servers of this tier
	Callers     int // callers of this tier
	Classes     []Class
	Tenants     []Tenant // may be empty

	WeightPerWork     bool    // worth is counted per unit of work
	OverQuotaFraction float64 // worth beyond a tenant's share, as a fraction

	SlowStart         bool          // started cold
	SlowStartMinSpeed float64       // least share of its speed that a cold server has
	SlowStartDuration time.Duration // longest time until it is warm
	MaxRunsPerCore    float64       // requests on the cores, per core, that a warm server survives
	OverloadWindow    time.Duration // the time over which they are averaged

	MemoryKB          float64
	RunMemoryFactor   float64       // memory of a running request over that of a held one
	KeyMemoryKB       float64       // memory of one kept key
	ResultReuseWindow time.Duration // how long a read's answer may serve others; 0: never

	Dependency Dependency
	CallQuota  float64       // BelowShared: this server's share of calls in hand
	CallWindow time.Duration // the time over which calls in hand are averaged
	CallLinger time.Duration // longest time that an abandoned call stays in hand

	Preemption        Preemption
	Advert            Advert
	NotifiesCanceled  bool // Lapsed may come
	DeepHealthChecks  bool // health checks do real work unless Status is Light
	MaxIdleTimeout    time.Duration
	AdvertTTL         time.Duration // how long callers remember a published value
	MaxRetryAfter     time.Duration // longest retry advice that is honoured; 0: none
	AnswerGracePeriod time.Duration // how long after its due time an answer still counts
	DrainGracePeriod  time.Duration // arrivals later than this after Drain must not run
	RetriesMarked     bool
}

// validate refuses settings with which no server could work.
func (s *Settings) validate() error {
	if len(s.Classes) == 0 {
		return fmt.Errorf("classes: at least one is needed")
	}
	for _, v := range []struct {
		name string
		x    float64
		low  float64
	}{
		{"cores", float64(s.Cores), 1}, {"servers", float64(s.Servers), 1}, {"memory", s.MemoryKB, 1e-9},
		{"run factor", s.RunMemoryFactor, 1}, {"crowd factor", s.MaxRunsPerCore, 1}, {"tick", float64(s.MinInterval), 0},
		{"callers", float64(s.Callers), 0}, {"depth", float64(s.TiersAbove), 0}, {"cold share", s.SlowStartMinSpeed, 0}, {"key size", s.KeyMemoryKB, 0},
		{"call share", s.CallQuota, 0}, {"over-share worth", s.OverQuotaFraction, 0},
		{"cold time", float64(s.SlowStartDuration), 0}, {"answer slack", float64(s.AnswerGracePeriod), 0},
		{"drain grace", float64(s.DrainGracePeriod), 0}, {"crowd time", float64(s.OverloadWindow), 0},
		{"share time", float64(s.ResultReuseWindow), 0}, {"call window", float64(s.CallWindow), 0},
		{"linger", float64(s.CallLinger), 0}, {"longest advice", float64(s.MaxRetryAfter), 0},
		{"idle time", float64(s.MaxIdleTimeout), 0}, {"heard time", float64(s.AdvertTTL), 0},
	} {
		if !(v.x >= v.low) {
			return fmt.Errorf("%s: %g is impossible, want at least %g", v.name, v.x, v.low)
		}
	}
	for i, k := range s.Classes {
		if k.LatencyObjective <= 0 || k.Deadline < k.LatencyObjective || k.DedupWindow < 0 || !(k.PriorityWeight >= 0) || !(k.LateFraction >= 0) {
			return fmt.Errorf("class %d: impossible aim, deadline, window, value or late share", i)
		}
	}
	for i, t := range s.Tenants {
		if !(t.QuotaPerSecond >= 0) {
			return fmt.Errorf("tenant %d: impossible allowance %g", i, t.QuotaPerSecond)
		}
	}
	return nil
}

// Event is something that happened to the server: one of the types below.
type Event interface{ event() }

// Arrive reports a request that was read and is now held.
type Arrival struct {
	ID           uint32
	Class        int
	Tenant       int
	Timeout      time.Duration // until the caller gives up; 0 if not known
	ExpectedWork time.Duration // expected work on a standard core; 0 if not known
	Age          time.Duration // since it reached the machine
	MemoryKB     float64
	HasKey       bool    // it names a subject
	Retry        bool    // marked as a later try
	Rank         float64 // rank, 0 to 1, by class worth
	DuplicateOf  uint32  // kept request that it repeats; 0 if none
}

// Completed reports that a run or a Share ended, or that Suspend took effect.
type Completed struct {
	ID      uint32
	Elapsed time.Duration
	Outcome Outcome
}

// Lapsed reports that the caller is gone: no answer is owed.
type Canceled struct{ ID uint32 }

// Awaiting reports that a running request left the cores and stands at a call.
type CallNeeded struct{ ID uint32 }

// Replied reports the end of a Call.
type CallCompleted struct {
	ID      uint32
	Elapsed time.Duration
	Outcome Outcome
}

// Drain is the notice that the server will be stopped.
type Drain struct {
	StopIn time.Duration // until then
	Age    time.Duration // since the notice came, where it was not told at once
}

// Due answers a Defer.
type TimerFired struct {
	TimerID uint64
	Gauges  Gauges
}

// Gauges are the server's own measurements; a negative value is not known.
type Gauges struct {
	CPUUtilization    float64 // share of the cores busy lately
	RunQueue          float64 // everything that wants a core now
	MemoryUtilization float64 // share of the memory in use
	Connections       float64 // open connections
}

func (Arrival) event()       {}
func (Completed) event()     {}
func (Canceled) event()      {}
func (CallNeeded) event()    {}
func (CallCompleted) event() {}
func (Drain) event()         {}
func (TimerFired) event()    {}

// Action is something the server must do now: one of the types below.
type Action interface{ action() }

// Take starts a held request or resumes a paused one.
type Run struct{ ID uint32 }

// Suspend stops a running request, as Settings.Halt says.
type Preempt struct{ ID uint32 }

// Refuse answers a request that was never run.
type Reject struct {
	ID         uint32
	DoNotRetry bool          // asks the caller not to try elsewhere
	RetryAfter time.Duration // asks the caller to stay away this long; 0: no advice
}

// Abort answers a request with an error that promises nothing.
type Fail struct{ ID uint32 }

// Call makes the call at which a request stands.
type StartCall struct {
	ID       uint32
	Deadline time.Duration // clock time at which the call is abandoned
}

// Degrade lets a request go on without its call.
type Degrade struct{ ID uint32 }

// RecordKey keeps the key of a request so that repeats are known as such.
type StoreKey struct {
	ID  uint32
	TTL time.Duration
}

// Evict forgets a kept key.
type EvictKey struct{ ID uint32 }

// Share answers a repeat with the result of the request that it repeats.
type ShareResult struct{ ID uint32 }

// Status sets the answer to health checks.
type SetHealth struct{ Healthy, Cached bool }

// Publish sets the value that Settings.Advert describes.
type Advertise struct{ Value float64 }

// Idle closes connections that have been idle for Lifetime.
type SetIdleTimeout struct{ Timeout time.Duration }

// Defer asks for a Due event after Span.
type SetTimer struct {
	After   time.Duration
	TimerID uint64
}

// Remark is a line for the operators' log.
type LogMessage struct{ Text string }

func (Run) action()            {}
func (Preempt) action()        {}
func (Reject) action()         {}
func (Fail) action()           {}
func (StartCall) action()      {}
func (Degrade) action()        {}
func (StoreKey) action()       {}
func (EvictKey) action()       {}
func (ShareResult) action()    {}
func (SetHealth) action()      {}
func (Advertise) action()      {}
func (SetIdleTimeout) action() {}
func (SetTimer) action()       {}
func (LogMessage) action()     {}
