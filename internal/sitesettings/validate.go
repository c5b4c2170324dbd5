package sitesettings

import (
	"fmt"
	"time"
)

// Validate checks the ranges of the settings. The error names the first setting that is
// missing or out of range.
func (s *Settings) Validate() error {
	if len(s.Classes) == 0 {
		return fmt.Errorf("classes: missing, want at least one")
	}
	if err := firstOutOfRange(s.rangeChecks()); err != nil {
		return err
	}
	for i := range s.Classes {
		if err := firstOutOfRange(s.Classes[i].rangeChecks(fmt.Sprintf("classes.%d.", i))); err != nil {
			return err
		}
	}
	for i, tenant := range s.Tenants {
		if !(tenant.QuotaPerSecond >= 0) {
			return fmt.Errorf("tenants.%d.allowance_per_s: %g is out of range, want at least 0", i, tenant.QuotaPerSecond)
		}
	}
	return nil
}

// rangeCheck is the value of a setting and whether it is in its range.
type rangeCheck struct {
	key     string
	value   float64
	inRange bool
}

func atLeast(key string, value, minimum float64) rangeCheck {
	return rangeCheck{key, value, value >= minimum}
}

func above(key string, value, limit float64) rangeCheck { return rangeCheck{key, value, value > limit} }

func notNegative(key string, value time.Duration) rangeCheck { return atLeast(key, float64(value), 0) }

func positive(key string, value time.Duration) rangeCheck { return above(key, float64(value), 0) }

// firstOutOfRange returns a *SettingError for the first value that is out of range, or nil.
func firstOutOfRange(checks []rangeCheck) error {
	for _, b := range checks {
		if !b.inRange {
			return &SettingError{Key: b.key, Value: b.value}
		}
	}
	return nil
}

func (s *Settings) rangeChecks() []rangeCheck {
	server, safety := &s.Server, &s.Safety
	minSpeed := safety.SlowStartMinSpeed
	return []rangeCheck{
		notNegative("tick_ns", s.MinInterval),
		atLeast("servers", float64(s.Servers), 0),
		atLeast("tier", float64(s.Tier), 0),
		atLeast("over_share_worth", s.OverQuotaFraction, 0),
		notNegative("bounds.max_retry_after_ns", s.Bounds.MaxRetryAfter),
		atLeast("family_info.cores", float64(server.Cores), 1),
		atLeast("family_info.callers", float64(server.Callers), 0),
		above("family_info.memory_kb", server.MemoryKB, 0),
		atLeast("family_info.run_factor", server.RunMemoryFactor, 1),
		atLeast("family_info.kb_per_key", server.KeyMemoryKB, 0),
		atLeast("family_info.calls_out", server.CallQuota, 0),
		notNegative("family_info.dep_window_ns", server.CallWindow),
		notNegative("family_info.linger_ns", server.CallLinger),
		notNegative("family_info.idle_ns", server.MaxIdleTimeout),
		notNegative("family_info.heard_for_ns", server.AdvertTTL),
		notNegative("family_info.share_for_ns", server.ResultReuseWindow),
		notNegative("safety.answer_slack_ns", safety.AnswerGracePeriod),
		notNegative("safety.cold_ns", safety.SlowStartDuration),
		{"safety.cold_share", minSpeed, minSpeed >= 0 && minSpeed <= 1},
		notNegative("safety.drain_grace_ns", safety.DrainGracePeriod),
		atLeast("safety.fall_multiple", safety.MaxRunsPerCore, 1),
		notNegative("safety.fall_ns", safety.OverloadWindow),
	}
}

func (c *ClassSettings) rangeChecks(prefix string) []rangeCheck {
	return []rangeCheck{
		positive(prefix+"aim_ns", c.LatencyObjective),
		positive(prefix+"deadline_ns", c.Deadline),
		notNegative(prefix+"window_ns", c.DedupWindow),
		atLeast(prefix+"value", c.PriorityWeight, 0),
		atLeast(prefix+"late_share", c.LateFraction, 0),
		atLeast(prefix+"aim_stretch", c.ObjectiveStretch, 0),
	}
}
