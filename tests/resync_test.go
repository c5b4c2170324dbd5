package tests

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// submitDueIn gives nom-submit another deadline.
func submitDueIn(deadline time.Duration) func(object) {
	return func(cfg object) {
		class := cfg["settings"].(object)["classes"].([]object)[3]
		class["deadline_ns"], class["aim_ns"] = int64(deadline), int64(deadline)*3/4
	}
}

// cut loses the engine's connection.
func (e *engine) cut() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.conn.Close()
}

// setBlind has the engine answer no STAT, or answer them again.
func (e *engine) setBlind(blind bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.blind = blind
}

// endAfterSync has what waits for release go on right after the next STATS sync.
func (e *engine) endAfterSync() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.endsNow = true
}

// timesRun is how often a request has run.
func (e *engine) timesRun(trace string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[trace]
}

// TestUnconfirmedRunEndsAfterSync: nothing that the engine has sent shows that it has read RUN
// when its connection is lost, and the run ends right after the answer to STAT sync. A nom-submit
// and a keyed request run once, and get the result.
func TestUnconfirmedRunEndsAfterSync(t *testing.T) {
	t.Parallel()
	w := newWorld(t, keyed(20*time.Second, 12*time.Second))
	w.engine.setBlind(true)
	submit := newTrace()
	got := w.later("nom-submit", submit, "hold")
	update, gotUpdate, _ := w.try(protocols["fastcgi"], "key", "hold")
	await(t, "the runs", func() bool { return w.engine.held() == 2 })
	w.engine.endAfterSync()
	w.engine.cut()
	await(t, "another link", func() bool { return w.engine.heardOf("ATTACH") == 2 })
	w.engine.setBlind(false)
	w.engine.command([]string{"STAT", "sync"}, nil)
	assert.Equal(t, "result of "+submit, (<-got).body)
	assert.Equal(t, "result of "+update, (<-gotUpdate).body)
	require.Equal(t, 200, w.status("nom-submit", "ok"), "commands are read in order: a repeated RUN comes before this one")
	assert.Equal(t, 1, w.engine.timesRun(submit))
	assert.Equal(t, 1, w.engine.timesRun(update))
}

// TestReplyMeetsNextCall: the reply to a call was read when its connection was lost, and the run
// goes on to its next call right after the answer to STAT sync. That call gets its own reply.
func TestReplyMeetsNextCall(t *testing.T) {
	t.Parallel()
	for _, class := range []string{"nom-submit", "balance-view"} {
		w := newWorld(t, nil)
		trace := newTrace()
		w.engine.setBlind(true)
		got := w.later(class, trace, "two calls")
		await(t, "FEED", func() bool { return w.engine.heardOf("FEED "+trace) == 1 })
		w.engine.endAfterSync()
		w.engine.cut()
		await(t, "another link", func() bool { return w.engine.heardOf("ATTACH") == 2 })
		w.engine.setBlind(false)
		w.engine.command([]string{"STAT", "sync"}, nil)
		assert.Equal(t, "reply:second call of "+trace, (<-got).body, class)
		assert.Equal(t, 2, w.engine.heardOf("FEED "+trace), class)
	}
}

// TestConfirmedRunIsNotRepeated: a run that an answer of the engine has shown to be read is not
// sent again, even where it may be repeated: it would run twice for nothing.
func TestConfirmedRunIsNotRepeated(t *testing.T) {
	t.Parallel()
	w := newWorld(t, nil)
	trace := newTrace()
	got := w.later("balance-view", trace, "hold")
	await(t, "the run", func() bool { return w.engine.held() == 1 })
	before := w.engine.polled()
	await(t, "polls that were answered", func() bool { return w.engine.polled() > before+1 })
	w.engine.cut()
	await(t, "another link", func() bool { return w.engine.heardOf("ATTACH") == 2 })
	require.Equal(t, 200, w.status("nom-submit", "ok"))
	w.engine.release()
	assert.Equal(t, "result of "+trace, (<-got).body)
	assert.Equal(t, 1, w.engine.heardOf("RUN "+trace))
}

// TestReadRunThatNeverBegan: an engine that has answered a STAT behind RUN, and never began the run,
// loses its connection. No notice ever comes: what may be repeated is ordered again, and a nom-submit
// fails by the time it is due, and neither takes a place for good.
func TestReadRunThatNeverBegan(t *testing.T) {
	t.Parallel()
	w := newWorld(t, submitDueIn(3*time.Second))
	w.engine.setDrops(true)
	read, submit := newTrace(), newTrace()
	got, never := w.later("balance-view", read, "ok"), w.later("nom-submit", submit, "ok")
	await(t, "both RUNs", func() bool { return w.engine.heardOf("RUN "+read)+w.engine.heardOf("RUN "+submit) == 2 })
	polls := w.engine.polled()
	await(t, "polls that were answered", func() bool { return w.engine.polled() > polls+1 })
	w.engine.setDrops(false)
	w.engine.cut()
	await(t, "the run that is ordered again", func() bool {
		w.status("nom-submit", "ok") // others end meanwhile
		return w.engine.heardOf("RUN "+read) == 2
	})
	assert.Equal(t, "result of "+read, (<-got).body)
	assert.Equal(t, 500, (<-never).status)
	assert.Equal(t, 1, w.engine.heardOf("RUN "+submit))
	await(t, "the end of its run", func() bool { return w.engine.heardOf("HALT "+submit) > 0 })
}

// setDrops has the engine begin no run, or begin runs again.
func (e *engine) setDrops(drops bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.drops = drops
}

// polled is how many STATs the engine has answered.
func (e *engine) polled() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.gauged
}
