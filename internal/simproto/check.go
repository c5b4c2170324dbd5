package simproto

import "fmt"

// Check tells which value of the settings is impossible, by its name in them.
func (w *Settings) Check() error {
	info, safe := &w.Info, &w.Safety
	if len(w.Classes) == 0 {
		return fmt.Errorf("classes: at least one is needed")
	}
	for _, v := range []struct {
		name string
		x    float64
		ok   bool
	}{
		{"tick_ns", float64(w.Tick), w.Tick >= 0},
		{"servers", float64(w.Servers), w.Servers >= 0},
		{"tier", float64(w.Tier), w.Tier >= 0},
		{"over_share_worth", w.OverShareWorth, w.OverShareWorth >= 0},
		{"bounds.max_retry_after_ns", float64(w.Bounds.MaxRetryAfter), w.Bounds.MaxRetryAfter >= 0},
		{"family_info.cores", float64(info.Cores), info.Cores >= 1},
		{"family_info.callers", float64(info.Callers), info.Callers >= 0},
		{"family_info.memory_kb", info.MemoryKB, info.MemoryKB > 0},
		{"family_info.run_factor", info.RunFactor, info.RunFactor >= 1},
		{"family_info.kb_per_key", info.KeyKB, info.KeyKB >= 0},
		{"family_info.calls_out", info.CallsOut, info.CallsOut >= 0},
		{"family_info.dep_window_ns", float64(info.DepWindow), info.DepWindow >= 0},
		{"family_info.linger_ns", float64(info.Linger), info.Linger >= 0},
		{"family_info.idle_ns", float64(info.Idle), info.Idle >= 0},
		{"family_info.heard_for_ns", float64(info.HeardFor), info.HeardFor >= 0},
		{"family_info.share_for_ns", float64(info.ShareFor), info.ShareFor >= 0},
		{"safety.answer_slack_ns", float64(safe.AnswerSlack), safe.AnswerSlack >= 0},
		{"safety.cold_ns", float64(safe.Cold), safe.Cold >= 0},
		{"safety.cold_share", safe.ColdShare, safe.ColdShare >= 0 && safe.ColdShare <= 1},
		{"safety.drain_grace_ns", float64(safe.DrainGrace), safe.DrainGrace >= 0},
		{"safety.fall_multiple", safe.FallMultiple, safe.FallMultiple >= 1},
		{"safety.fall_ns", float64(safe.Fall), safe.Fall >= 0},
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
			{"aim_ns", float64(k.Aim), k.Aim > 0}, {"deadline_ns", float64(k.Deadline), k.Deadline > 0},
			{"window_ns", float64(k.Window), k.Window >= 0}, {"value", k.Value, k.Value >= 0},
			{"late_share", k.LateShare, k.LateShare >= 0}, {"aim_stretch", k.AimStretch, k.AimStretch >= 0},
		} {
			if !v.ok {
				return fmt.Errorf("classes.%d.%s: %g is missing or impossible", i, v.name, v.x)
			}
		}
	}
	for i, t := range w.Tenants {
		if !(t.Allowance >= 0) {
			return fmt.Errorf("tenants.%d.allowance_per_s: %g is impossible", i, t.Allowance)
		}
	}
	return nil
}
