package admission

import (
	"fmt"
	"time"
)

// ExecutionSemantics says how often a request of a class may be run.
type ExecutionSemantics uint8

// The effects of a class.
const (
	Idempotent   ExecutionSemantics = iota // may be run again
	Deduplicated                           // at most once in its window for each idempotency key, over all attempts
	AtMostOnce                             // an attempt is started once; attempts under other trace ids are not recognised
)

// Preemption says what Preempt does to a running request.
type Preemption uint8

// The kinds of preemption.
const (
	PreemptionNone  Preemption = iota // running work can't be stopped
	PreemptionDrop                    // progress is lost, the request is queued again
	PreemptionPause                   // progress and memory are kept until Run
)

// AdvertKind says how callers read the value of Advertise.
type AdvertKind uint8

// The kinds of advertised value.
const (
	AdvertNone    AdvertKind = iota // no value may be advertised
	AdvertMinRank                   // callers withhold requests whose rank is below the value
	AdvertCredit                    // requests that each caller may have outstanding
	AdvertWeight                    // probability, 0 to 1, that a caller does not skip the server
)

// Dependency says what the calls of running requests go to.
type Dependency uint8

// The kinds of dependency.
const (
	DependencyNone     Dependency = iota // no calls
	DependencyShared                     // one service that all servers share
	DependencyNextTier                   // another tier of servers that run this code
)

// Class describes one class of requests.
type Class struct {
	// LatencyObjective is the time from a client's first attempt within which an
	// answer earns the full priority weight. Above 0, at most Deadline.
	LatencyObjective time.Duration
	// ObjectiveStretch extends the objective by this multiple of the request's own work.
	ObjectiveStretch float64
	// Deadline is how long a client waits across all of its attempts.
	Deadline time.Duration
	// DedupWindow is, for Deduplicated, how long a duplicate may arrive.
	DedupWindow        time.Duration
	ExecutionSemantics ExecutionSemantics
	// PriorityWeight is the value of one request, or of one unit of work with
	// Settings.WeightPerWork. At least 0.
	PriorityWeight float64
	// DegradedFraction is the fraction of the weight that an answer without its
	// call earns; 0 forbids Degrade.
	DegradedFraction float64

	// The rest is part of the settings; no decision uses it.

	// LateFraction is the fraction of the weight that an answer after the objective earns.
	LateFraction float64
	// MakesCalls says that its requests may call the dependency.
	MakesCalls bool
}

// Tenant describes one tenant.
type Tenant struct {
	// QuotaPerSecond is the rate of requests within its quota, over all servers.
	QuotaPerSecond float64
}

// Settings configures a controller. They don't change after New.
type Settings struct {
	// MinInterval is the least time between two calls of Handle.
	MinInterval time.Duration
	// TiersAbove is the number of tiers above this one, whose work a rejection here wastes.
	TiersAbove int
	// Cores of this server, at least 1.
	Cores int
	// Callers of this tier.
	Callers int
	Classes []Class
	// Tenants may be empty.
	Tenants []Tenant

	// WeightPerWork says that Class.PriorityWeight counts per unit of work.
	WeightPerWork bool
	// OverQuotaFraction is the fraction of its weight that a request beyond its
	// tenant's quota earns.
	OverQuotaFraction float64

	// SlowStart says that the process started cold.
	SlowStart bool
	// SlowStartMinSpeed is the least fraction of its speed that a cold server has.
	SlowStartMinSpeed float64
	// SlowStartDuration is the longest time until a cold server is warm.
	SlowStartDuration time.Duration
	// MaxRunsPerCore is the mean number of runs on the cores, per core, that a
	// warm server survives. At least 1.
	MaxRunsPerCore float64

	// MemoryKB is the memory for requests and stored keys. Above 0.
	MemoryKB float64
	// RunMemoryFactor is the memory of a running request over that of a queued one. At least 1.
	RunMemoryFactor float64
	// KeyMemoryKB is the memory of one stored key.
	KeyMemoryKB float64
	// ResultReuseWindow is how long the result of a read may answer others; 0: never.
	ResultReuseWindow time.Duration

	Dependency Dependency
	// CallQuota is, for DependencyShared, this server's quota of calls in flight.
	// It may be below 1.
	CallQuota float64
	// CallWindow is the time over which calls in flight are averaged.
	CallWindow time.Duration
	// CallLinger is the longest time that an abandoned call still counts as in flight.
	CallLinger time.Duration

	Preemption Preemption
	AdvertKind AdvertKind
	// MaxIdleTimeout is the longest idle timeout of a connection.
	MaxIdleTimeout time.Duration
	// MaxRetryAfter is the longest retry advice that callers follow; 0: none.
	MaxRetryAfter time.Duration
	// DrainGracePeriod: requests that arrive later than this after Drain must not run.
	DrainGracePeriod time.Duration
	// RetriesMarked says that callers mark retries and hedged requests.
	RetriesMarked bool

	// The rest is part of the settings and checked with them; no decision uses it.

	// Servers of this tier, at least 1.
	Servers int
	// OverloadWindow is the time over which MaxRunsPerCore is averaged.
	OverloadWindow time.Duration
	// NotifiesCanceled says that Canceled may come.
	NotifiesCanceled bool
	// DeepHealthChecks says that health checks do real work unless SetHealth.Cached.
	DeepHealthChecks bool
	// AdvertTTL is how long callers remember an advertised value.
	AdvertTTL time.Duration
	// AnswerGracePeriod is how long after its deadline an answer still counts.
	AnswerGracePeriod time.Duration
}

// SettingError names a field of Settings whose value is out of range.
type SettingError struct {
	Name  string
	Value float64
	Min   float64 // the least value in range
}

// Error implements error.
func (e *SettingError) Error() string {
	return fmt.Sprintf("%s: %g is impossible, want at least %g", e.Name, e.Value, e.Min)
}

// minMemoryKB stands for "above 0".
const minMemoryKB = 1e-9

// validate refuses settings with which no server could work.
func (s *Settings) validate() error {
	if len(s.Classes) == 0 {
		return fmt.Errorf("setting Classes: at least one is needed")
	}
	for _, bound := range s.lowerBounds() {
		if !(bound.Value >= bound.Min) { // also catches NaN
			return &bound
		}
	}
	if s.SlowStartMinSpeed > 1 {
		return fmt.Errorf("setting SlowStartMinSpeed: %g is impossible, want at most 1", s.SlowStartMinSpeed)
	}
	for i, class := range s.Classes {
		if !class.valid() {
			return fmt.Errorf("setting Classes[%d]: LatencyObjective, Deadline, DedupWindow, PriorityWeight or LateFraction is impossible", i)
		}
	}
	for i, tenant := range s.Tenants {
		if !(tenant.QuotaPerSecond >= 0) {
			return &SettingError{fmt.Sprintf("Tenants[%d].QuotaPerSecond", i), tenant.QuotaPerSecond, 0}
		}
	}
	return nil
}

// lowerBounds lists the settings that have a least value. sitesettings.Settings.Validate
// checks the same bounds, so that its errors name the JSON keys.
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
