package dispatch

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"oxbowbridge/admission"
	"oxbowbridge/internal/proxy/exchange"
	"oxbowbridge/internal/proxy/timerqueue"
	"oxbowbridge/internal/sitesettings"
)

// rejectionFields returns the expected fields of a log line about rejections.
func rejectionFields(class, reason string, count int64) map[string]any {
	return map[string]any{"class": class, "reason": reason, "count": count}
}

// loggedFields removes all lines from the observed log and returns their fields.
func loggedFields(logs *observer.ObservedLogs) (fields []map[string]any) {
	for _, entry := range logs.TakeAll() {
		fields = append(fields, entry.ContextMap())
	}
	return fields
}

// TestRejectionsAreLoggedOnceAnInterval checks that the first rejection is logged immediately, and
// that later ones are counted and logged in one line per class and reason when the interval ends.
// It guards against a line for each rejection, wrong counts, and a first line that is delayed.
func TestRejectionsAreLoggedOnceAnInterval(t *testing.T) {
	var settings sitesettings.Settings
	require.NoError(t, json.Unmarshal([]byte(minimalSettings), &settings))
	now := 10 * time.Second
	core, logs := observer.New(zapcore.InfoLevel)
	d, err := New(Config{Exchange: exchange.New(10), Timers: &timerqueue.Queue{}, Registry: noopRegistry{}, Log: zap.New(core),
		SiteSettings: &settings, Now: func() time.Duration { return now }})
	require.NoError(t, err)
	const class = "balance-view"

	d.recordRejection(0, admission.RejectPolicy)
	require.Equal(t, []map[string]any{rejectionFields(class, "policy", 1)}, loggedFields(logs))
	for range 1000 {
		d.recordRejection(0, admission.RejectPolicy)
	}
	d.recordRejection(0, admission.RejectMemoryFull)
	require.Empty(t, loggedFields(logs))
	require.Len(t, d.rejections.unlogged, 2)
	recordAgain := func() { d.recordRejection(0, admission.RejectPolicy) }
	require.Zero(t, testing.AllocsPerRun(100, recordAgain)) // calls recordAgain 101 times

	now += rejectionLogInterval
	d.Timers.RunDue(now)
	require.Equal(t, []map[string]any{rejectionFields(class, "memory_full", 1), rejectionFields(class, "policy", 1101)}, loggedFields(logs))
	require.Empty(t, d.rejections.unlogged)

	now += rejectionLogInterval
	d.Timers.RunDue(now)
	require.Empty(t, loggedFields(logs))
	now += rejectionLogInterval / 10
	d.recordRejection(0, admission.RejectPolicy)
	require.Equal(t, []map[string]any{rejectionFields(class, "policy", 1)}, loggedFields(logs))
}

// TestRejectionsAreLoggedBeforeTheEnd checks that rejections counted in the last interval of a drain
// are logged before the drain finishes. Otherwise they are lost if the process exits before the interval ends.
func TestRejectionsAreLoggedBeforeTheEnd(t *testing.T) {
	core, logs := observer.New(zapcore.InfoLevel)
	var settings sitesettings.Settings
	require.NoError(t, json.Unmarshal([]byte(minimalSettings), &settings))
	now := 10 * time.Second
	d, err := New(Config{Exchange: exchange.New(10), Timers: &timerqueue.Queue{}, Registry: noopRegistry{}, Lingering: noopLingeringConns{},
		Log: zap.New(core), SiteSettings: &settings, Now: func() time.Duration { return now }})
	require.NoError(t, err)
	const stop = 4 * time.Second
	d.Drain(now, stop)
	d.recordRejection(0, admission.RejectLateInDrain)
	d.recordRejection(0, admission.RejectLateInDrain)
	now += stop - exitLeadTime
	d.advanceDrain()
	require.True(t, d.drain.finished)
	rejected := logs.FilterMessage("requests rejected by the admission controller").FilterField(zap.Stringer("reason", admission.RejectLateInDrain))
	require.Equal(t, 2, rejected.Len())
}
