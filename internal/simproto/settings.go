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
	Bounds struct {
		MaxRetryAfter time.Duration `json:"max_retry_after_ns"`
		RetryAfter    bool          `json:"retry_after"`
	} `json:"bounds"`
	Classes []struct {
		Aim        time.Duration `json:"aim_ns"`
		AimStretch float64       `json:"aim_stretch"`
		Deadline   time.Duration `json:"deadline_ns"`
		Effect     string        `json:"effect"`
		LateShare  float64       `json:"late_share"`
		Name       string        `json:"name"`
		Value      float64       `json:"value"`
		Window     time.Duration `json:"window_ns"`
	} `json:"classes"`
	Clients struct {
		MarksRetry bool `json:"marks_retry"`
	} `json:"clients"`
	CountedBy string `json:"counted_by"`
	Info      struct {
		Advert         string        `json:"advert"`
		Below          string        `json:"below"`
		Callers        int           `json:"callers"`
		CallsOut       float64       `json:"calls_out"`
		ClassCalls     []bool        `json:"class_calls"`
		SkipWorth      []float64     `json:"class_skip_worth"`
		Cores          int           `json:"cores"`
		DeepChecks     bool          `json:"deep_checks"`
		DepWindow      time.Duration `json:"dep_window_ns"`
		Fresh          bool          `json:"fresh_start"`
		Halt           string        `json:"halt"`
		HeardFor       time.Duration `json:"heard_for_ns"`
		Idle           time.Duration `json:"idle_ns"`
		KeyKB          float64       `json:"kb_per_key"`
		Linger         time.Duration `json:"linger_ns"`
		MemoryKB       float64       `json:"memory_kb"`
		OwnStats       []string      `json:"own_stats"`
		PassesDeadline bool          `json:"passes_deadline"`
		Readiness      bool          `json:"readiness"`
		RunFactor      float64       `json:"run_factor"`
		ShareFor       time.Duration `json:"share_for_ns"`
		TellsGone      bool          `json:"tells_gone"`
	} `json:"family_info"`
	OverShareWorth float64 `json:"over_share_worth"`
	Safety         struct {
		AnswerSlack  time.Duration `json:"answer_slack_ns"`
		Cold         time.Duration `json:"cold_ns"`
		ColdShare    float64       `json:"cold_share"`
		DrainGrace   time.Duration `json:"drain_grace_ns"`
		FallMultiple float64       `json:"fall_multiple"`
		Fall         time.Duration `json:"fall_ns"`
	} `json:"safety"`
	Servers int `json:"servers"`
	Tenants []struct {
		Name      string  `json:"name"`
		Allowance float64 `json:"allowance_per_s"`
	} `json:"tenants"`
	Tick time.Duration `json:"tick_ns"`
	Tier int           `json:"tier"`
}

var (
	effects = map[string]admission.Effect{"idempotent": admission.Idempotent,
		"deduplicated": admission.Deduplicated, "at_most_once": admission.AtMostOnce}
	halts = map[string]admission.Halt{"": admission.HaltNone, "none": admission.HaltNone,
		"drop": admission.HaltDrop, "pause": admission.HaltPause}
	adverts = map[string]admission.Advert{"": admission.AdvertNone, "none": admission.AdvertNone,
		"level": admission.AdvertLevel, "credit": admission.AdvertCredit, "weight": admission.AdvertWeight}
	belows = map[string]admission.Below{"": admission.BelowNone, "none": admission.BelowNone,
		"shared": admission.BelowShared, "tier": admission.BelowTier}
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
	if err := Decode([]byte(text), &w); err != nil {
		return admission.Settings{}, err
	}
	return w.Rules()
}

// Decode reads JSON into v. An error of type names the field.
func Decode(text []byte, v any) error {
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
	g := admission.Gauges{CoreUse: -1, OnCores: -1, Memory: -1, Links: -1}
	for i, name := range w.Info.OwnStats {
		if i < len(values) {
			setGauge(&g, name, values[i])
		}
	}
	return g
}

// Rules is the settings object in the words of the controller.
func (w *Settings) Rules() (admission.Settings, error) {
	var err error
	info, safe := &w.Info, &w.Safety
	s := admission.Settings{
		Tick: w.Tick, Depth: w.Tier, Cores: info.Cores, Servers: cmp.Or(w.Servers, 1), // the list may not hold itself yet
		Callers: info.Callers,
		PerWork: word(counts, "counted_by", w.CountedBy, &err), OverShareWorth: w.OverShareWorth,
		Fresh: info.Fresh, ColdShare: safe.ColdShare, ColdFor: safe.Cold,
		CrowdFactor: safe.FallMultiple, CrowdOver: safe.Fall,
		MemoryKB: info.MemoryKB, RunFactor: info.RunFactor, KeyKB: info.KeyKB, ShareFor: info.ShareFor,
		Below: word(belows, "family_info.below", info.Below, &err), CallShare: info.CallsOut,
		CallWindow: info.DepWindow, Linger: info.Linger,
		Halt:      word(halts, "family_info.halt", info.Halt, &err),
		Advert:    word(adverts, "family_info.advert", info.Advert, &err),
		TellsGone: info.TellsGone, DeepChecks: info.DeepChecks, IdleMax: info.Idle, HeardFor: info.HeardFor,
		AnswerSlack: safe.AnswerSlack, DrainGrace: safe.DrainGrace, RetriesMarked: w.Clients.MarksRetry,
	}
	if w.Bounds.RetryAfter {
		s.AdviceMax = w.Bounds.MaxRetryAfter
	}
	for i, c := range w.Classes {
		// An aim beyond the deadline is allowed, and the same as one at it.
		k := admission.Class{Aim: min(c.Aim, c.Deadline), Deadline: c.Deadline, AimStretch: c.AimStretch, Window: c.Window,
			Effect: word(effects, "classes.effect", c.Effect, &err), Value: c.Value, LateShare: c.LateShare}
		if i < len(info.ClassCalls) {
			k.Calls = info.ClassCalls[i]
		}
		if i < len(info.SkipWorth) {
			k.SkipWorth = info.SkipWorth[i]
		}
		s.Classes = append(s.Classes, k)
	}
	for _, t := range w.Tenants {
		s.Tenants = append(s.Tenants, admission.Tenant{Allowance: t.Allowance})
	}
	return s, err
}
