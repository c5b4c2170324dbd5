package agent

import (
	"fmt"
	"strings"
	"testing"

	"oxbowbridge/internal/testrig/golden"
)

// TestGoldenConfig checks the JSON of the configuration section and the error texts.
func TestGoldenConfig(t *testing.T) {
	golden.JSON(t, "testdata/types.golden", golden.Sample{Name: "config", Value: &Config{}})
	var lines strings.Builder
	for _, c := range []Config{{}, {HeartbeatIntervalMS: 1}, {Speed: -1}, {CommandTimeoutMS: -1}, {Command: []string{""}}} {
		fmt.Fprintln(&lines, c.Validate())
	}
	golden.Text(t, "testdata/errors.golden", lines.String())
}
