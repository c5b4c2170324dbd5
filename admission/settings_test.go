package admission

import (
	"strings"
	"testing"
	"time"
)

func TestSettingsOutOfRange(t *testing.T) {
	for want, change := range map[string]func(*Settings){
		"cores":        func(s *Settings) { s.Cores = 0 },
		"classes":      func(s *Settings) { s.Classes = nil },
		"class 0":      func(s *Settings) { s.Classes[0].LatencyObjective = -1 },
		"memory":       func(s *Settings) { s.MemoryKB = 0 },
		"run factor":   func(s *Settings) { s.RunMemoryFactor = 0 },
		"tick":         func(s *Settings) { s.MinInterval = -1 },
		"drain grace":  func(s *Settings) { s.DrainGracePeriod = -1 },
		"tenant 0":     func(s *Settings) { s.Tenants = []Tenant{{QuotaPerSecond: -1}} },
		"answer slack": func(s *Settings) { s.AnswerGracePeriod = -time.Second },
	} {
		s := testSettings()
		change(&s)
		if _, err := New(s, 1); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("error %v, want one that names %q", err, want)
		}
	}
}
