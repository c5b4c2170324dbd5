package sitesettings

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"
)

// testSettings are valid settings, with an unknown key that must be ignored.
const testSettings = `{"tick_ns":4000000,"servers":10,"counted_by":"work","new_key":{"x":1},` +
	`"bounds":{"max_retry_after_ns":1000000000,"retry_after":true},` +
	`"classes":[{"name":"a","aim_ns":1000000000,"deadline_ns":2000000000,"effect":"deduplicated","value":2,"window_ns":5}],` +
	`"family_info":{"cores":6,"below":"tier","halt":"pause","advert":"credit","memory_kb":1000,"run_factor":4,` +
	`"class_calls":[true],"class_skip_worth":[0.5]},"safety":{"fall_multiple":8},"tenants":[{"allowance_per_s":3}]}`

func TestTypeErrorNamesTheField(t *testing.T) {
	var s Settings
	var mismatch *TypeError
	require.ErrorAs(t, DecodeJSON([]byte(`{"family_info":{"cores":"six"}}`), &s), &mismatch)
	require.Equal(t, "family_info.cores: want int, not string", mismatch.Error())
}

// TestValidateNamesTheSetting checks that the error for an out-of-range setting names its JSON path.
func TestValidateNamesTheSetting(t *testing.T) {
	valid := func() *Settings {
		var s Settings
		require.NoError(t, json.Unmarshal([]byte(testSettings), &s))
		s.Safety.SlowStartMinSpeed = 0.5
		return &s
	}
	require.NoError(t, valid().Validate())
	for want, change := range map[string]func(*Settings){
		"tick_ns: -1 is missing or out of range":                         func(s *Settings) { s.MinInterval = -1 },
		"family_info.memory_kb: 0 is missing or out of range":            func(s *Settings) { s.Server.MemoryKB = 0 },
		"family_info.run_factor: 0.5 is missing or out of range":         func(s *Settings) { s.Server.RunMemoryFactor = 0.5 },
		"safety.cold_share: 2 is missing or out of range":                func(s *Settings) { s.Safety.SlowStartMinSpeed = 2 },
		"classes.0.aim_ns: 0 is missing or out of range":                 func(s *Settings) { s.Classes[0].LatencyObjective = 0 },
		"classes.0.late_share: -1 is missing or out of range":            func(s *Settings) { s.Classes[0].LateFraction = -1 },
		"classes: missing, want at least one":                            func(s *Settings) { s.Classes = nil },
		"tenants.0.allowance_per_s: -3 is out of range, want at least 0": func(s *Settings) { s.Tenants[0].QuotaPerSecond = -3 },
	} {
		s := valid()
		change(s)
		require.EqualError(t, s.Validate(), want)
	}
}
