package admission

import (
	"strings"
	"testing"
	"time"
)

// TestSettingsOutOfRange: New must return an error that names the setting that is out of range.
func TestSettingsOutOfRange(t *testing.T) {
	for want, change := range map[string]func(*Settings){
		"Cores":             func(s *Settings) { s.Cores = 0 },
		"Classes":           func(s *Settings) { s.Classes = nil },
		"Classes[0]":        func(s *Settings) { s.Classes[0].LatencyObjective = -1 },
		"MemoryKB":          func(s *Settings) { s.MemoryKB = 0 },
		"RunMemoryFactor":   func(s *Settings) { s.RunMemoryFactor = 0 },
		"SlowStartMinSpeed": func(s *Settings) { s.SlowStartMinSpeed = 1.5 },
		"MinInterval":       func(s *Settings) { s.MinInterval = -1 },
		"DrainGracePeriod":  func(s *Settings) { s.DrainGracePeriod = -1 },
		"Tenants[0]":        func(s *Settings) { s.Tenants = []Tenant{{QuotaPerSecond: -1}} },
		"AnswerGracePeriod": func(s *Settings) { s.AnswerGracePeriod = -time.Second },
	} {
		s := testSettings()
		change(&s)
		if _, err := New(s, 1); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("error %v, want it to name %q", err, want)
		}
	}
}
