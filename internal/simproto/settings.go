package simproto

import (
	"encoding/json"
	"errors"
	"time"

	"oxbowbridge/admission"
)

// Settings is the settings object of the protocol as JSON, with the keys that a
// controller or its host uses; others are skipped. The simulator's CREATE carries
// it, and so does the configuration of the service. Times are in nanoseconds.
type Settings struct {
	Bounds            Bounds           `json:"bounds"`
	Classes           []ClassSettings  `json:"classes"`
	Clients           Clients          `json:"clients"`
	WeightUnit        string           `json:"counted_by"`
	Server            ServerInfo       `json:"family_info"`
	OverQuotaFraction float64          `json:"over_share_worth"`
	Safety            Safety           `json:"safety"`
	Servers           int              `json:"servers"`
	Tenants           []TenantSettings `json:"tenants"`
	MinInterval       time.Duration    `json:"tick_ns"`
	Tier              int              `json:"tier"`
}

// Bounds limits what callers follow.
type Bounds struct {
	MaxRetryAfter time.Duration `json:"max_retry_after_ns"`
	RetryAfter    bool          `json:"retry_after"`
}

// ClassSettings describes one class of requests; see admission.Class.
type ClassSettings struct {
	LatencyObjective time.Duration `json:"aim_ns"`
	ObjectiveStretch float64       `json:"aim_stretch"`
	Deadline         time.Duration `json:"deadline_ns"`
	Effect           string        `json:"effect"`
	LateFraction     float64       `json:"late_share"`
	Name             string        `json:"name"`
	PriorityWeight   float64       `json:"value"`
	DedupWindow      time.Duration `json:"window_ns"`
}

// Clients are habits of the clients.
type Clients struct {
	MarkRetries bool `json:"marks_retry"`
}

// ServerInfo describes the server and its site; see admission.Settings.
type ServerInfo struct {
	Advert                string        `json:"advert"`
	Dependency            string        `json:"below"`
	Callers               int           `json:"callers"`
	CallQuota             float64       `json:"calls_out"`
	ClassMakesCalls       []bool        `json:"class_calls"`
	ClassDegradedFraction []float64     `json:"class_skip_worth"`
	Cores                 int           `json:"cores"`
	DeepHealthChecks      bool          `json:"deep_checks"`
	CallWindow            time.Duration `json:"dep_window_ns"`
	SlowStart             bool          `json:"fresh_start"`
	Preemption            string        `json:"halt"`
	AdvertTTL             time.Duration `json:"heard_for_ns"`
	MaxIdleTimeout        time.Duration `json:"idle_ns"`
	KeyMemoryKB           float64       `json:"kb_per_key"`
	CallLinger            time.Duration `json:"linger_ns"`
	MemoryKB              float64       `json:"memory_kb"`
	GaugeNames            []string      `json:"own_stats"`
	PassesDeadline        bool          `json:"passes_deadline"`
	Readiness             bool          `json:"readiness"`
	RunMemoryFactor       float64       `json:"run_factor"`
	ResultReuseWindow     time.Duration `json:"share_for_ns"`
	NotifiesCanceled      bool          `json:"tells_gone"`
}

// Safety holds the figures of the rules that no server may break; see admission.Settings.
type Safety struct {
	AnswerGracePeriod time.Duration `json:"answer_slack_ns"`
	SlowStartDuration time.Duration `json:"cold_ns"`
	SlowStartMinSpeed float64       `json:"cold_share"`
	DrainGracePeriod  time.Duration `json:"drain_grace_ns"`
	MaxRunsPerCore    float64       `json:"fall_multiple"`
	OverloadWindow    time.Duration `json:"fall_ns"`
}

// TenantSettings describes one tenant; see admission.Tenant.
type TenantSettings struct {
	Name           string  `json:"name"`
	QuotaPerSecond float64 `json:"allowance_per_s"`
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
	g := unknownGauges()
	for i, name := range s.Server.GaugeNames {
		if i < len(values) {
			setGauge(&g, name, values[i])
		}
	}
	return g
}
