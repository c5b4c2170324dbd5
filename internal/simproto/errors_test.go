package simproto

import (
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestErrorsAreTyped checks that errors.As and errors.Is find the LineError, the FieldError and the
// cause.
func TestErrorsAreTyped(t *testing.T) {
	about := "ABOUT\ti=s/1"
	for name, test := range map[string]struct {
		in      string
		line    int
		message string
		field   string
		cause   error
	}{
		"missing":         {batchOf(about, "ACCEPT\tcategory=0"), 3, "ACCEPT", "op_id", ErrMissing},
		"range":           {batchOf(about, "LAPSED\top_id=-1"), 3, "LAPSED", "op_id", ErrOutOfRange},
		"outcome":         {batchOf(about, "COMPLETED\top_id=1\toutcome=WELL"), 3, "COMPLETED", "outcome", ErrUnknownValue},
		"flag":            {batchOf(about, "ACCEPT\top_id=1\trepeat=yes"), 3, "ACCEPT", "repeat", ErrNotBool},
		"no pair":         {batchOf(about, "ACCEPT\top_id"), 3, "ACCEPT", `"op_id"`, ErrMalformedField},
		"gauge":           {batchOf(about, "DUE\tusage=core_use:x"), 3, "DUE", "usage", ErrOutOfRange},
		"word":            {batchOf(about, `CREATE	settings={"counted_by":"x"}`), 3, "CREATE", "settings", ErrUnknownValue},
		"no instance":     {batchOf("LAPSED\top_id=1"), 2, "LAPSED", "i", ErrNoInstance},
		"outside a batch": {"LAPSED\top_id=1\n", 1, "", "", ErrOutsideBatch},
		"inside a batch":  {batchOf("TICK\tts_ns=1"), 2, "", "", ErrInsideBatch},
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
