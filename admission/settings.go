package admission

import (
	"fmt"
	"time"
)

// ExecutionSemantics defines how often a request of a class may be executed.
type ExecutionSemantics uint8

// The execution semantics of a class.
const (
	Idempotent   ExecutionSemantics = iota // may be executed more than once
	Deduplicated                           // executed at most once per idempotency key within DedupWindow, over all attempts
	AtMostOnce                             // each attempt is started at most once; attempts with different trace ids are unrelated
)

// Preemption defines the effect of Preempt on a running request.
type Preemption uint8

// The kinds of preemption.
const (
	PreemptionNone  Preemption = iota // a run can't be stopped
	PreemptionDrop                    // the run's progress is lost and the request is queued again
	PreemptionPause                   // the request keeps its progress and memory until it is resumed by Run
)

// AdvertKind defines how callers interpret the value of Advertise.
type AdvertKind uint8

// The kinds of advertised value.
const (
	AdvertNone    AdvertKind = iota // no value is advertised
	AdvertMinRank                   // callers withhold requests whose rank is below the value
	AdvertCredit                    // the maximum number of outstanding requests of each caller
	AdvertWeight                    // the probability, 0 to 1, that a caller selects this server instead of skipping it
)

// Dependency defines which service the calls of running requests use.
type Dependency uint8

// The kinds of dependency.
const (
	DependencyNone     Dependency = iota // requests make no calls
	DependencyShared                     // one service, shared by all servers
	DependencyNextTier                   // the next tier of servers, which run the same admission control
)

// Class configures one class of requests.
type Class struct {
	// LatencyObjective is the time from a client's first attempt within which a response earns the
	// full priority weight. Above 0, at most Deadline.
	LatencyObjective time.Duration
	// ObjectiveStretch extends the latency objective by this multiple of the request's expected work.
	ObjectiveStretch float64
	// Deadline is how long a client waits for a response, over all of its attempts.
	Deadline time.Duration
	// DedupWindow is how long the key of a Deduplicated request is stored. A duplicate that arrives
	// later is not recognized.
	DedupWindow        time.Duration
	ExecutionSemantics ExecutionSemantics
	// PriorityWeight is the reward of one request, or of one unit of work if Settings.WeightPerWork is
	// set. At least 0.
	PriorityWeight float64
	// DegradedFraction is the fraction of the priority weight that a degraded response, one without its
	// call, earns; 0 forbids Degrade.
	DegradedFraction float64

	// No decision uses the fields below.

	// LateFraction is the fraction of the priority weight that a response earns after the latency objective.
	LateFraction float64
	// MakesCalls is set if requests of the class may call the dependency.
	MakesCalls bool
}

// Tenant configures one tenant.
type Tenant struct {
	// QuotaPerSecond is the tenant's quota of requests per second, over all servers.
	QuotaPerSecond float64
}

// Settings configures a controller and doesn't change after New.
type Settings struct {
	// MinInterval is the minimum time between two calls of Handle.
	MinInterval time.Duration
	// TiersAbove is the number of tiers above this one. A rejection here wastes the work of those
	// tiers.
	TiersAbove int
	// Cores is the number of CPU cores of this server, at least 1.
	Cores int
	// Callers is the number of callers of this tier.
	Callers int
	Classes []Class
	// Tenants may be empty.
	Tenants []Tenant

	// WeightPerWork is set if Class.PriorityWeight applies per unit of work instead of per request.
	WeightPerWork bool
	// OverQuotaFraction is the fraction of its priority weight that a request over its tenant's quota
	// earns.
	OverQuotaFraction float64

	// SlowStart is set if the process has just started and must warm up.
	SlowStart bool
	// SlowStartMinSpeed is the minimum speed of the server at its start, as a fraction of its warm
	// speed.
	SlowStartMinSpeed float64
	// SlowStartDuration is the maximum time from the start until the server reaches its warm speed.
	SlowStartDuration time.Duration
	// MaxRunsPerCore is the mean number of concurrent runs per core that a warm server sustains
	// without failing. At least 1.
	MaxRunsPerCore float64

	// MemoryKB is the memory for requests and stored keys. Above 0.
	MemoryKB float64
	// RunMemoryFactor is the ratio of a running request's memory to a queued request's memory. At
	// least 1.
	RunMemoryFactor float64
	// KeyMemoryKB is the memory of one stored key.
	KeyMemoryKB float64
	// ResultReuseWindow is how long the result of a read may be returned for duplicates; 0 disables
	// reuse.
	ResultReuseWindow time.Duration

	Dependency Dependency
	// CallQuota is this server's quota of calls in flight to a DependencyShared. It may be below 1.
	CallQuota float64
	// CallWindow is the time over which the number of calls in flight is averaged.
	CallWindow time.Duration
	// CallLinger is the maximum time for which an abandoned call still counts as in flight.
	CallLinger time.Duration

	Preemption Preemption
	AdvertKind AdvertKind
	// MaxIdleTimeout is the maximum idle timeout of a connection.
	MaxIdleTimeout time.Duration
	// MaxRetryAfter is the maximum retry delay that callers honor; 0 disables RetryAfter.
	MaxRetryAfter time.Duration
	// DrainGracePeriod is the time after Drain during which arriving requests may still run. Requests
	// that arrive later must not run.
	DrainGracePeriod time.Duration
	// RetriesMarked is set if callers mark retries and hedged requests.
	RetriesMarked bool

	// The fields below are validated, but no decision uses them.

	// Servers is the number of servers in this tier, at least 1.
	Servers int
	// OverloadWindow is the time over which the number of runs is averaged for MaxRunsPerCore.
	OverloadWindow time.Duration
	// NotifiesCanceled is set if the server reports Canceled events.
	NotifiesCanceled bool
	// DeepHealthChecks is set if health checks do real work unless SetHealth.Cached is set.
	DeepHealthChecks bool
	// AdvertTTL is how long callers cache an advertised value.
	AdvertTTL time.Duration
	// AnswerGracePeriod is how long after the request's deadline a response is still accepted.
	AnswerGracePeriod time.Duration
}

// SettingError reports a field of Settings whose value is below its minimum.
type SettingError struct {
	Name  string
	Value float64
	Min   float64 // the minimum valid value
}

// Error implements error.
func (e *SettingError) Error() string {
	return fmt.Sprintf("%s: %g is out of range, want at least %g", e.Name, e.Value, e.Min)
}

// minMemoryKB expresses "above 0" as an inclusive lower bound.
const minMemoryKB = 1e-9

// validate returns an error if a setting is out of range.
func (s *Settings) validate() error {
	if len(s.Classes) == 0 {
		return fmt.Errorf("setting Classes: no classes, want at least one")
	}
	for _, bound := range s.lowerBounds() {
		if !(bound.Value >= bound.Min) { // the negated comparison also rejects NaN
			return &bound
		}
	}
	if s.SlowStartMinSpeed > 1 {
		return fmt.Errorf("setting SlowStartMinSpeed: %g is out of range, want at most 1", s.SlowStartMinSpeed)
	}
	for i, class := range s.Classes {
		if !class.valid() {
			return fmt.Errorf("setting Classes[%d]: LatencyObjective, Deadline, DedupWindow, PriorityWeight or LateFraction is out of range", i)
		}
	}
	for i, tenant := range s.Tenants {
		if !(tenant.QuotaPerSecond >= 0) {
			return &SettingError{fmt.Sprintf("Tenants[%d].QuotaPerSecond", i), tenant.QuotaPerSecond, 0}
		}
	}
	return nil
}

// lowerBounds lists the settings that have a lower bound. sitesettings.Settings.Validate repeats
// these bounds so that its errors name the JSON keys.
func (s *Settings) lowerBounds() []SettingError {
	return []SettingError{
		{"Cores", float64(s.Cores), 1},
		{"Servers", float64(s.Servers), 1},
		{"MemoryKB", s.MemoryKB, minMemoryKB},
		{"RunMemoryFactor", s.RunMemoryFactor, 1},
		{"MaxRunsPerCore", s.MaxRunsPerCore, 1},
		{"MinInterval", float64(s.MinInterval), 0},
		{"Callers", float64(s.Callers), 0},
		{"TiersAbove", float64(s.TiersAbove), 0},
		{"SlowStartMinSpeed", s.SlowStartMinSpeed, 0},
		{"KeyMemoryKB", s.KeyMemoryKB, 0},
		{"CallQuota", s.CallQuota, 0},
		{"OverQuotaFraction", s.OverQuotaFraction, 0},
		{"SlowStartDuration", float64(s.SlowStartDuration), 0},
		{"AnswerGracePeriod", float64(s.AnswerGracePeriod), 0},
		{"DrainGracePeriod", float64(s.DrainGracePeriod), 0},
		{"OverloadWindow", float64(s.OverloadWindow), 0},
		{"ResultReuseWindow", float64(s.ResultReuseWindow), 0},
		{"CallWindow", float64(s.CallWindow), 0},
		{"CallLinger", float64(s.CallLinger), 0},
		{"MaxRetryAfter", float64(s.MaxRetryAfter), 0},
		{"MaxIdleTimeout", float64(s.MaxIdleTimeout), 0},
		{"AdvertTTL", float64(s.AdvertTTL), 0},
	}
}

func (c *Class) valid() bool {
	return c.LatencyObjective > 0 && c.Deadline >= c.LatencyObjective && c.DedupWindow >= 0 &&
		c.PriorityWeight >= 0 && c.LateFraction >= 0
}
