package main

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"oxbowbridge/internal/maintenance/agent"
)

// TestChangedFields guards against a log line after SIGHUP that omits a changed field which takes effect only at
// the next start.
func TestChangedFields(t *testing.T) {
	newConfig := func() *config { return &config{AJP: &ajpConfig{}, Maintenance: &agent.Config{CommandTimeoutMS: 20000}} }
	old := newConfig()
	applied, afterRestart := old.changedFields(newConfig())
	assert.Empty(t, applied)
	assert.Empty(t, afterRestart)
	updated := newConfig()
	updated.Maintenance.CommandTimeoutMS = 30000
	updated.Seed = "1"
	updated.DrainTimeoutMS = 3000
	applied, afterRestart = old.changedFields(updated)
	assert.Equal(t, []string{"stop_ms"}, applied)
	assert.Equal(t, []string{"work"}, afterRestart)
}
