package simproto

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"time"

	"oxbowbridge/admission"
)

// Settings is the settings object as JSON: the keys that a controller is told,
// and the names that its host needs. The simulator's CREATE carries it, and so
// does the configuration of the real service.
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

type Bounds struct {
	MaxRetryAfter time.Duration `json:"max_retry_after_ns"`
	RetryAfter    bool          `json:"retry_after"`
}

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

type Clients struct {
	MarkRetries bool `json:"marks_retry"`
}

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

type Safety struct {
	AnswerGracePeriod time.Duration `json:"answer_slack_ns"`
	SlowStartDuration time.Duration `json:"cold_ns"`
	SlowStartMinSpeed float64       `json:"cold_share"`
	DrainGracePeriod  time.Duration `json:"drain_grace_ns"`
	MaxRunsPerCore    float64       `json:"fall_multiple"`
	OverloadWindow    time.Duration `json:"fall_ns"`
}

type TenantSettings struct {
	Name           string  `json:"name"`
	QuotaPerSecond float64 `json:"allowance_per_s"`
}

var (
	effects = map[string]admission.Effect{"idempotent": admission.Idempotent,
		"deduplicated": admission.Deduplicated, "at_most_once": admission.AtMostOnce}
	halts = map[string]admission.Preemption{"": admission.PreemptionNone, "none": admission.PreemptionNone,
		"drop": admission.PreemptionDrop, "pause": admission.PreemptionPause}
	adverts = map[string]admission.Advert{"": admission.AdvertNone, "none": admission.AdvertNone,
		"level": admission.AdvertMinRank, "credit": admission.AdvertCredit, "weight": admission.AdvertWeight}
	belows = map[string]admission.Dependency{"": admission.DependencyNone, "none": admission.DependencyNone,
		"shared": admission.DependencyShared, "tier": admission.DependencyNextTier}
	counts = map[string]bool{"": false, "request": false, "work": true}
)

// word looks a word up and reports one that is not known.
func word[T any](words map[string]T, key, w string, err *error) T {
	v, ok := words[w]
	if !ok && *err == nil {
		*err = fmt.Errorf("%s: %w: %q", key, errUnknown, w)
	}
	return v
}

func (f *fields) create() *Create {
	f.parse()
	c := &Create{Seed: f.count("init_seed", false, math.MaxUint64)}
	text := f.text("settings")
	if text == "" {
		f.fail("settings", errMissing)
		return nil
	}
	s, err := parseSettings(text)
	if err != nil {
		f.fail("settings", err)
		return nil
	}
	c.Settings = s
	return c
}

func parseSettings(text string) (admission.Settings, error) {
	var w Settings
	if err := DecodeJSON([]byte(text), &w); err != nil {
		return admission.Settings{}, err
	}
	return w.Admission()
}

// Decode reads JSON into v. An error of type names the field.
func DecodeJSON(text []byte, v any) error {
	err := json.Unmarshal(text, v)
	var t *json.UnmarshalTypeError
	if errors.As(err, &t) {
		return fmt.Errorf("%s: want %s, not %s", t.Field, t.Type, t.Value)
	}
	return err
}

// Gauges are values in the order of family_info.own_stats; what is missing or
// unreadable is not known.
func (w *Settings) Gauges(values []float64) admission.Gauges {
	g := admission.Gauges{CPUUtilization: -1, RunQueue: -1, MemoryUtilization: -1, Connections: -1}
	for i, name := range w.Server.GaugeNames {
		if i < len(values) {
			setGauge(&g, name, values[i])
		}
	}
	return g
}

// Rules is the settings object in the words of the controller.
func (w *Settings) Admission() (admission.Settings, error) {
	var err error
	info, safe := &w.Server, &w.Safety
	s := admission.Settings{
		MinInterval: w.MinInterval, TiersAbove: w.Tier, Cores: info.Cores, Servers: cmp.Or(w.Servers, 1), // the list may not hold itself yet
		Callers:       info.Callers,
		WeightPerWork: word(counts, "counted_by", w.WeightUnit, &err), OverQuotaFraction: w.OverQuotaFraction,
		SlowStart: info.SlowStart, SlowStartMinSpeed: safe.SlowStartMinSpeed, SlowStartDuration: safe.SlowStartDuration,
		MaxRunsPerCore: safe.MaxRunsPerCore, OverloadWindow: safe.OverloadWindow,
		MemoryKB: info.MemoryKB, RunMemoryFactor: info.RunMemoryFactor, KeyMemoryKB: info.KeyMemoryKB, ResultReuseWindow: info.ResultReuseWindow,
		Dependency: word(belows, "family_info.below", info.Dependency, &err), CallQuota: info.CallQuota,
		CallWindow: info.CallWindow, CallLinger: info.CallLinger,
		Preemption:       word(halts, "family_info.halt", info.Preemption, &err),
		Advert:           word(adverts, "family_info.advert", info.Advert, &err),
		NotifiesCanceled: info.NotifiesCanceled, DeepHealthChecks: info.DeepHealthChecks, MaxIdleTimeout: info.MaxIdleTimeout, AdvertTTL: info.AdvertTTL,
		AnswerGracePeriod: safe.AnswerGracePeriod, DrainGracePeriod: safe.DrainGracePeriod, RetriesMarked: w.Clients.MarkRetries,
	}
	if w.Bounds.RetryAfter {
		s.MaxRetryAfter = w.Bounds.MaxRetryAfter
	}
	for i, c := range w.Classes {
		// An aim beyond the deadline is allowed, and the same as one at it.
		k := admission.Class{LatencyObjective: min(c.LatencyObjective, c.Deadline), Deadline: c.Deadline, ObjectiveStretch: c.ObjectiveStretch, DedupWindow: c.DedupWindow,
			Effect: word(effects, "classes.effect", c.Effect, &err), PriorityWeight: c.PriorityWeight, LateFraction: c.LateFraction}
		if i < len(info.ClassMakesCalls) {
			k.MakesCalls = info.ClassMakesCalls[i]
		}
		if i < len(info.ClassDegradedFraction) {
			k.DegradedFraction = info.ClassDegradedFraction[i]
		}
		s.Classes = append(s.Classes, k)
	}
	for _, t := range w.Tenants {
		s.Tenants = append(s.Tenants, admission.Tenant{QuotaPerSecond: t.QuotaPerSecond})
	}
	return s, err
}
