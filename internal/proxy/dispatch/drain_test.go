package dispatch

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"oxbowbridge/admission"
	"oxbowbridge/internal/proxy/exchange"
	"oxbowbridge/internal/proxy/timerqueue"
	"oxbowbridge/internal/sitesettings"
)

// noopRegistry is a no-op Registry.
type noopRegistry struct{}

func (noopRegistry) Register()         {}
func (noopRegistry) SetAvailable(bool) {}
func (noopRegistry) Deregister()       {}

const minimalSettings = `{"tick_ns": 4000000, "servers": 1, "counted_by": "work",
	"classes": [{"name": "balance-view", "effect": "idempotent", "value": 1, "aim_ns": 1000000000, "deadline_ns": 2000000000}],
	"family_info": {"advert": "none", "below": "tier", "callers": 1, "class_calls": [false], "cores": 2, "halt": "drop",
		"idle_ns": 15000000000, "memory_kb": 1000, "run_factor": 1, "own_stats": ["core_use"]},
	"safety": {"answer_slack_ns": 80000000, "cold_ns": 16000000000, "cold_share": 0.2, "drain_grace_ns": 2500000000, "fall_multiple": 8, "fall_ns": 3000000000}}`

// TestDrainTimesStartAtSignal checks that drain times are measured from the termination signal, not
// from when it is handled, both in the dispatcher and in the controller's event.
func TestDrainTimesStartAtSignal(t *testing.T) {
	var settings sitesettings.Settings
	require.NoError(t, json.Unmarshal([]byte(minimalSettings), &settings))
	now := 10 * time.Second
	d, err := New(Config{Exchange: exchange.New(10), Timers: &timerqueue.Queue{}, Registry: noopRegistry{}, Log: zap.NewNop(),
		SiteSettings: &settings, Now: func() time.Duration { return now }})
	require.NoError(t, err)
	const sinceSignal, stop = 300 * time.Millisecond, 4 * time.Second
	d.Drain(now-sinceSignal, stop)
	require.Equal(t, now-sinceSignal+stop, d.drain.stopAt)
	require.Equal(t, now-sinceSignal+2500*time.Millisecond, d.drain.closeAt)
	require.Len(t, d.pendingEvents, 1)
	pending := d.pendingEvents[0].(pendingEvent)
	require.Equal(t, admission.Drain{StopIn: stop - sinceSignal - stopReserve, Age: sinceSignal}, pending.eventAt(now))
	const controllerDelay = 70 * time.Millisecond // delay until the controller is called
	require.Equal(t, admission.Drain{StopIn: stop - sinceSignal - controllerDelay - stopReserve, Age: sinceSignal + controllerDelay}, pending.eventAt(now+controllerDelay))
}
