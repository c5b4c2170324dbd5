package simproto

import "fmt"

// Check tells which value of the settings is impossible, by its name in them.
func (w *Settings) Validate() error {
	info, safe := &w.Server, &w.Safety
	if len(w.Classes) == 0 {
		return fmt.Errorf("classes: at least one is needed")
	}
	for _, v := range []struct {
		name string
		x    float64
		ok   bool
	}{
		{"tick_ns", float64(w.MinInterval), w.MinInterval >= 0},
		{"servers", float64(w.Servers), w.Servers >= 0},
		{"tier", float64(w.Tier), w.Tier >= 0},
		{"over_share_worth", w.OverQuotaFraction, w.OverQuotaFraction >= 0},
		{"bounds.max_retry_after_ns", float64(w.Bounds.MaxRetryAfter), w.Bounds.MaxRetryAfter >= 0},
		{"family_info.cores", float64(info.Cores), info.Cores >= 1},
		{"family_info.callers", float64(info.Callers), info.Callers >= 0},
		{"family_info.memory_kb", info.MemoryKB, info.MemoryKB > 0},
		{"family_info.run_factor", info.RunMemoryFactor, info.RunMemoryFactor >= 1},
		{"family_info.kb_per_key", info.KeyMemoryKB, info.KeyMemoryKB >= 0},
		{"family_info.calls_out", info.CallQuota, info.CallQuota >= 0},
		{"family_info.dep_window_ns", float64(info.CallWindow), info.CallWindow >= 0},
		{"family_info.linger_ns", float64(info.CallLinger), info.CallLinger >= 0},
		{"family_info.idle_ns", float64(info.MaxIdleTimeout), info.MaxIdleTimeout >= 0},
		{"family_info.heard_for_ns", float64(info.AdvertTTL), info.AdvertTTL >= 0},
		{"family_info.share_for_ns", float64(info.ResultReuseWindow), info.ResultReuseWindow >= 0},
		{"safety.answer_slack_ns", float64(safe.AnswerGracePeriod), safe.AnswerGracePeriod >= 0},
		{"safety.cold_ns", float64(safe.SlowStartDuration), safe.SlowStartDuration >= 0},
		{"safety.cold_share", safe.SlowStartMinSpeed, safe.SlowStartMinSpeed >= 0 && safe.SlowStartMinSpeed <= 1},
		{"safety.drain_grace_ns", float64(safe.DrainGracePeriod), safe.DrainGracePeriod >= 0},
		{"safety.fall_multiple", safe.MaxRunsPerCore, safe.MaxRunsPerCore >= 1},
		{"safety.fall_ns", float64(safe.OverloadWindow), safe.OverloadWindow >= 0},
	} {
		if !v.ok {
			return fmt.Errorf("%s: %g is missing or impossible", v.name, v.x)
		}
	}
	for i, k := range w.Classes {
		for _, v := range []struct {
			name string
			x    float64
			ok   bool
		}{
			{"aim_ns", float64(k.LatencyObjective), k.LatencyObjective > 0}, {"deadline_ns", float64(k.Deadline), k.Deadline > 0},
			{"window_ns", float64(k.DedupWindow), k.DedupWindow >= 0}, {"value", k.PriorityWeight, k.PriorityWeight >= 0},
			{"late_share", k.LateFraction, k.LateFraction >= 0}, {"aim_stretch", k.ObjectiveStretch, k.ObjectiveStretch >= 0},
		} {
			if !v.ok {
				return fmt.Errorf("classes.%d.%s: %g is missing or impossible", i, v.name, v.x)
			}
		}
	}
	for i, t := range w.Tenants {
		if !(t.QuotaPerSecond >= 0) {
			return fmt.Errorf("tenants.%d.allowance_per_s: %g is impossible", i, t.QuotaPerSecond)
		}
	}
	return nil
}
