package sitesettings

import (
	"encoding/json"
	"errors"
	"time"

	"oxbowbridge/admission"
)

// Settings is the JSON object with the settings of a site. It has the keys that the admission
// controller or the service uses; decoding ignores others. Times are in nanoseconds. An absent
// key has the zero value.
type Settings struct {
	Bounds            RetryAfterLimits `json:"bounds"`
	Classes           []ClassSettings  `json:"classes"` // at least one
	Clients           ClientSettings   `json:"clients"`
	WeightUnit        string           `json:"counted_by"` // unit of the priority weights: request (default) or work
	Server            ServerInfo       `json:"family_info"`
	OverQuotaFraction float64          `json:"over_share_worth"` // fraction of the weight for requests beyond a tenant's quota
	Safety            SafetySettings   `json:"safety"`
	Servers           int              `json:"servers"` // number of servers of this tier; 0 counts as 1
	Tenants           []TenantSettings `json:"tenants"`
	MinInterval       time.Duration    `json:"tick_ns"` // minimum time between two calls of the controller
	Tier              int              `json:"tier"`    // 0 is the first tier
}

// RetryAfterLimits limits the Retry-After times that callers follow.
type RetryAfterLimits struct {
	MaxRetryAfter  time.Duration `json:"max_retry_after_ns"` // longest Retry-After time that callers follow
	SendRetryAfter bool          `json:"retry_after"`        // responses to callers contain a Retry-After time
}

// ClassSettings describes one class of requests; see admission.Class.
type ClassSettings struct {
	LatencyObjective   time.Duration `json:"aim_ns"`      // above 0; capped at the deadline
	ObjectiveStretch   float64       `json:"aim_stretch"` // this multiple of a request's own work extends the objective
	Deadline           time.Duration `json:"deadline_ns"` // above 0; covers all attempts of a client
	ExecutionSemantics string        `json:"effect"`      // idempotent, deduplicated or at_most_once
	LateFraction       float64       `json:"late_share"`  // fraction of the weight for responses after the objective
	Name               string        `json:"name"`
	PriorityWeight     float64       `json:"value"`     // at least 0
	DedupWindow        time.Duration `json:"window_ns"` // with effect deduplicated: time in which duplicates may arrive
}

// ClientSettings describes the behavior of clients.
type ClientSettings struct {
	RetriesMarked bool `json:"marks_retry"` // callers mark retries and hedged requests
}

// ServerInfo describes the server and its site; see admission.Settings. An absent enum value
// means none.
type ServerInfo struct {
	Advert                string        `json:"advert"`           // how callers interpret the advertised value: none, level, credit or weight
	Dependency            string        `json:"below"`            // dependency that receives calls: none, shared or tier
	Callers               int           `json:"callers"`          // number of callers of this tier
	CallQuota             float64       `json:"calls_out"`        // maximum calls in flight from this server to a shared dependency
	ClassMakesCalls       []bool        `json:"class_calls"`      // by class: runs make a call
	ClassDegradedFraction []float64     `json:"class_skip_worth"` // by class: fraction of the weight for responses without a call
	Cores                 int           `json:"cores"`            // at least 1
	DeepHealthChecks      bool          `json:"deep_checks"`      // health checks do real work unless cached
	CallWindow            time.Duration `json:"dep_window_ns"`    // averaging window for calls in flight
	SlowStart             bool          `json:"fresh_start"`      // the process starts with a slow start
	Preemption            string        `json:"halt"`             // what preemption does to a run: none, drop or pause
	AdvertTTL             time.Duration `json:"heard_for_ns"`     // how long callers use an advertised value
	MaxIdleTimeout        time.Duration `json:"idle_ns"`          // callers close a connection after this idle time
	KeyMemoryKB           float64       `json:"kb_per_key"`       // memory of one idempotency key
	CallLinger            time.Duration `json:"linger_ns"`        // maximum time that an abandoned call stays in flight
	MemoryKB              float64       `json:"memory_kb"`        // above 0
	GaugeNames            []string      `json:"own_stats"`        // names of the values passed to GaugesFromValues, in this order
	UsesCallerTimeout     bool          `json:"passes_deadline"`  // a caller's timeout applies instead of the class deadline
	ReportsAvailability   bool          `json:"readiness"`        // the server reports its health to the service registry
	RunMemoryFactor       float64       `json:"run_factor"`       // memory of a run divided by that of a queued request; at least 1
	ResultReuseWindow     time.Duration `json:"share_for_ns"`     // how long a read result is reused for other requests; 0: never
	NotifiesCanceled      bool          `json:"tells_gone"`       // the server is notified when a caller cancels a request
}

// SafetySettings contains the parameters of rules that no server may violate; see admission.Settings.
type SafetySettings struct {
	AnswerGracePeriod time.Duration `json:"answer_slack_ns"` // how long after its deadline a response is accepted
	SlowStartDuration time.Duration `json:"cold_ns"`         // maximum duration of a slow start
	SlowStartMinSpeed float64       `json:"cold_share"`      // minimum speed during a slow start, 0 to 1
	DrainGracePeriod  time.Duration `json:"drain_grace_ns"`  // from the shutdown signal; later arrivals must not run
	MaxRunsPerCore    float64       `json:"fall_multiple"`   // average of runs per core that a warm server sustains; at least 1
	OverloadWindow    time.Duration `json:"fall_ns"`         // averaging window for MaxRunsPerCore
}

// TenantSettings describes one tenant; see admission.Tenant.
type TenantSettings struct {
	Name           string  `json:"name"`
	QuotaPerSecond float64 `json:"allowance_per_s"` // requests per second, total of all servers; at least 0
}

// DecodeJSON decodes JSON into v. It reports a value of the wrong type as a *TypeError.
func DecodeJSON(text []byte, v any) error {
	err := json.Unmarshal(text, v)
	var mismatch *json.UnmarshalTypeError
	if errors.As(err, &mismatch) {
		return &TypeError{Field: mismatch.Field, Want: mismatch.Type.String(), Got: mismatch.Value}
	}
	return err
}

// GaugesFromValues returns the gauges with the given values, which are in the order of GaugeNames. A
// gauge without a value is unknown.
func (s *Settings) GaugesFromValues(values []float64) admission.Gauges {
	g := UnknownGauges()
	for i, name := range s.Server.GaugeNames {
		if i < len(values) {
			SetGauge(&g, name, values[i])
		}
	}
	return g
}
