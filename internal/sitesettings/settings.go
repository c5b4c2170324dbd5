package sitesettings

import (
	"encoding/json"
	"errors"
	"time"

	"oxbowbridge/admission"
)

// Settings is the settings object as JSON, with the keys that a controller or its host
// uses; others are skipped. Times are in nanoseconds, an absent key is the zero value.
type Settings struct {
	Bounds            Bounds           `json:"bounds"`
	Classes           []ClassSettings  `json:"classes"` // at least one
	Clients           Clients          `json:"clients"`
	WeightUnit        string           `json:"counted_by"` // what weights count by: request (default) or work
	Server            ServerInfo       `json:"family_info"`
	OverQuotaFraction float64          `json:"over_share_worth"` // of the weight, for requests beyond a tenant's quota
	Safety            Safety           `json:"safety"`
	Servers           int              `json:"servers"` // of this tier; 0 counts as 1
	Tenants           []TenantSettings `json:"tenants"`
	MinInterval       time.Duration    `json:"tick_ns"` // least time between two calls of a controller
	Tier              int              `json:"tier"`    // 0 is the first tier
}

// Bounds limits what callers follow.
type Bounds struct {
	MaxRetryAfter time.Duration `json:"max_retry_after_ns"` // longest retry advice that is followed
	RetryAfter    bool          `json:"retry_after"`        // retry advice is passed on to clients
}

// ClassSettings describes one class of requests; see admission.Class.
type ClassSettings struct {
	LatencyObjective time.Duration `json:"aim_ns"`      // above 0; beyond the deadline it counts as the deadline
	ObjectiveStretch float64       `json:"aim_stretch"` // multiple of a request's own work that extends the objective
	Deadline         time.Duration `json:"deadline_ns"` // above 0; across all attempts of a client
	Effect           string        `json:"effect"`      // idempotent, deduplicated or at_most_once
	LateFraction     float64       `json:"late_share"`  // of the weight, for answers after the objective
	Name             string        `json:"name"`
	PriorityWeight   float64       `json:"value"`     // at least 0
	DedupWindow      time.Duration `json:"window_ns"` // deduplicated: how long duplicates may arrive
}

// Clients are habits of the clients.
type Clients struct {
	MarkRetries bool `json:"marks_retry"` // retries and hedged requests are marked
}

// ServerInfo describes the server and its site; see admission.Settings. Words
// that are absent mean none.
type ServerInfo struct {
	Advert                string        `json:"advert"`           // how callers read the advertised value: none, level, credit or weight
	Dependency            string        `json:"below"`            // what calls go to: none, shared or tier
	Callers               int           `json:"callers"`          // of this tier
	CallQuota             float64       `json:"calls_out"`        // shared dependency: calls in flight of this server
	ClassMakesCalls       []bool        `json:"class_calls"`      // by class
	ClassDegradedFraction []float64     `json:"class_skip_worth"` // of the weight, by class, for answers without their call
	Cores                 int           `json:"cores"`            // at least 1
	DeepHealthChecks      bool          `json:"deep_checks"`      // health checks do real work unless cached
	CallWindow            time.Duration `json:"dep_window_ns"`    // over which calls in flight are averaged
	SlowStart             bool          `json:"fresh_start"`      // the process started cold
	Preemption            string        `json:"halt"`             // what happens to a run that is stopped: none, drop or pause
	AdvertTTL             time.Duration `json:"heard_for_ns"`     // how long callers remember the advertised value
	MaxIdleTimeout        time.Duration `json:"idle_ns"`          // after which callers close idle connections
	KeyMemoryKB           float64       `json:"kb_per_key"`       // of one stored key
	CallLinger            time.Duration `json:"linger_ns"`        // longest time that an abandoned call stays in flight
	MemoryKB              float64       `json:"memory_kb"`        // above 0
	GaugeNames            []string      `json:"own_stats"`        // in the order of Gauges
	PassesDeadline        bool          `json:"passes_deadline"`  // requests carry their caller's timeout
	Readiness             bool          `json:"readiness"`        // the endpoint list follows the health
	RunMemoryFactor       float64       `json:"run_factor"`       // memory of a run over that of a queued request; at least 1
	ResultReuseWindow     time.Duration `json:"share_for_ns"`     // how long the result of a read may answer others; 0: never
	NotifiesCanceled      bool          `json:"tells_gone"`       // the server is notified when a caller gives up
}

// Safety holds the figures of the rules that no server may break; see admission.Settings.
type Safety struct {
	AnswerGracePeriod time.Duration `json:"answer_slack_ns"` // how long after its deadline an answer still counts
	SlowStartDuration time.Duration `json:"cold_ns"`         // longest time until a cold server is warm
	SlowStartMinSpeed float64       `json:"cold_share"`      // least speed of a cold server, 0 to 1
	DrainGracePeriod  time.Duration `json:"drain_grace_ns"`  // after the notice; later arrivals must not run
	MaxRunsPerCore    float64       `json:"fall_multiple"`   // mean that a warm server survives; at least 1
	OverloadWindow    time.Duration `json:"fall_ns"`         // over which MaxRunsPerCore is averaged
}

// TenantSettings describes one tenant; see admission.Tenant.
type TenantSettings struct {
	Name           string  `json:"name"`
	QuotaPerSecond float64 `json:"allowance_per_s"` // requests per second over all servers; at least 0
}

// DecodeJSON reads JSON into v. An error of type is a *TypeError.
func DecodeJSON(text []byte, v any) error {
	err := json.Unmarshal(text, v)
	var mismatch *json.UnmarshalTypeError
	if errors.As(err, &mismatch) {
		return &TypeError{Field: mismatch.Field, Want: mismatch.Type.String(), Got: mismatch.Value}
	}
	return err
}

// Gauges reads values in the order of GaugeNames; what is missing or unreadable
// is not known.
func (s *Settings) Gauges(values []float64) admission.Gauges {
	g := UnknownGauges()
	for i, name := range s.Server.GaugeNames {
		if i < len(values) {
			SetGauge(&g, name, values[i])
		}
	}
	return g
}
