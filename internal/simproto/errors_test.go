package simproto

import (
	"encoding/json"
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestErrorsAreTyped: errors.As and errors.Is find the line, the field and the cause.
func TestErrorsAreTyped(t *testing.T) {
	about := "ABOUT\ti=s/1"
	for name, test := range map[string]struct {
		in      string
		line    int
		message string
		field   string
		cause   error
	}{
		"missing":         {batch(about, "ACCEPT\tcategory=0"), 3, "ACCEPT", "op_id", ErrMissing},
		"range":           {batch(about, "LAPSED\top_id=-1"), 3, "LAPSED", "op_id", ErrOutOfRange},
		"outcome":         {batch(about, "COMPLETED\top_id=1\toutcome=WELL"), 3, "COMPLETED", "outcome", ErrUnknownWord},
		"flag":            {batch(about, "ACCEPT\top_id=1\trepeat=yes"), 3, "ACCEPT", "repeat", ErrNotBool},
		"no pair":         {batch(about, "ACCEPT\top_id"), 3, "ACCEPT", `"op_id"`, ErrNotField},
		"gauge":           {batch(about, "DUE\tusage=core_use:x"), 3, "DUE", "usage", ErrOutOfRange},
		"word":            {batch(about, `CREATE	settings={"counted_by":"x"}`), 3, "CREATE", "settings", ErrUnknownWord},
		"no instance":     {batch("LAPSED\top_id=1"), 2, "LAPSED", "i", ErrNoInstance},
		"outside a batch": {"LAPSED\top_id=1\n", 1, "", "", ErrOutsideBatch},
		"inside a batch":  {batch("TICK\tts_ns=1"), 2, "", "", ErrInsideBatch},
		"end of input":    {"TICK\tts_ns=1\n", 1, "", "", io.ErrUnexpectedEOF},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := NewReader(strings.NewReader(test.in)).Read()
			var line *LineError
			require.ErrorAs(t, err, &line)
			require.Equal(t, test.line, line.Line)
			require.Equal(t, test.message, line.Message)
			require.ErrorIs(t, err, test.cause)
			if test.field != "" {
				var field *FieldError
				require.ErrorAs(t, err, &field)
				require.Equal(t, test.field, field.Field)
			}
		})
	}
}

func TestTypeErrorNamesTheField(t *testing.T) {
	var s Settings
	var mismatch *TypeError
	require.ErrorAs(t, DecodeJSON([]byte(`{"family_info":{"cores":"six"}}`), &s), &mismatch)
	require.Equal(t, "family_info.cores: want int, not string", mismatch.Error())
}

// TestValidateNamesTheSetting: a setting out of its range is named by its JSON path.
func TestValidateNamesTheSetting(t *testing.T) {
	valid := func() *Settings {
		var s Settings
		require.NoError(t, json.Unmarshal([]byte(testSettings), &s))
		s.Safety.SlowStartMinSpeed = 0.5
		return &s
	}
	require.NoError(t, valid().Validate())
	for want, change := range map[string]func(*Settings){
		"tick_ns: -1 is missing or impossible":                 func(s *Settings) { s.MinInterval = -1 },
		"family_info.memory_kb: 0 is missing or impossible":    func(s *Settings) { s.Server.MemoryKB = 0 },
		"family_info.run_factor: 0.5 is missing or impossible": func(s *Settings) { s.Server.RunMemoryFactor = 0.5 },
		"safety.cold_share: 2 is missing or impossible":        func(s *Settings) { s.Safety.SlowStartMinSpeed = 2 },
		"classes.0.aim_ns: 0 is missing or impossible":         func(s *Settings) { s.Classes[0].LatencyObjective = 0 },
		"classes.0.late_share: -1 is missing or impossible":    func(s *Settings) { s.Classes[0].LateFraction = -1 },
		"classes: at least one is needed":                      func(s *Settings) { s.Classes = nil },
		"tenants.0.allowance_per_s: -3 is impossible":          func(s *Settings) { s.Tenants[0].QuotaPerSecond = -3 },
	} {
		s := valid()
		change(s)
		require.EqualError(t, s.Validate(), want)
	}
}
