package tests

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// withSubmitDeadline sets the deadline of nom-submit.
func withSubmitDeadline(deadline time.Duration) func(object) {
	return func(cfg object) {
		class := cfg["settings"].(object)["classes"].([]object)[3]
		class["deadline_ns"], class["aim_ns"] = int64(deadline), int64(deadline)*3/4
	}
}

// closeLink closes the engine's connection.
func (e *engineStandin) closeLink() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.conn.Close()
}

// setIgnoresStat sets whether the engine ignores STAT.
func (e *engineStandin) setIgnoresStat(ignore bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ignoresStat = ignore
}

// setReleaseAfterSync makes the engine release held runs right after its next answer to STAT sync.
func (e *engineStandin) setReleaseAfterSync() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.releaseAfterSync = true
}

// runCount returns how often a request has run.
func (e *engineStandin) runCount(trace string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runCounts[trace]
}

// TestUnconfirmedRunEndsAfterSync: the link is lost before anything shows that the engine has read RUN, and the
// run completes right after the answer to STAT sync. A nom-submit and a request with an idempotency key must
// run once and get the result.
func TestUnconfirmedRunEndsAfterSync(t *testing.T) {
	t.Parallel()
	w := newTestbed(t, withIdempotencyKeys(20*time.Second, 12*time.Second))
	w.engine.setIgnoresStat(true)
	submit := newTraceID()
	got := w.sendAsync("nom-submit", submit, "hold")
	update, gotUpdate, _ := w.sendAttempt(protocolDialers["fastcgi"], "key", "hold")
	await(t, "the runs to start", func() bool { return w.engine.heldRuns() == 2 })
	w.engine.setReleaseAfterSync()
	w.engine.closeLink()
	await(t, "another engine link", func() bool { return w.engine.countReceived("ATTACH") == 2 })
	w.engine.setIgnoresStat(false)
	w.engine.handleCommand([]string{"STAT", "sync"}, nil)
	assert.Equal(t, "result of "+submit, (<-got).body)
	assert.Equal(t, "result of "+update, (<-gotUpdate).body)
	require.Equal(t, 200, w.responseStatus("nom-submit", "ok"), "commands are read in order: a repeated RUN comes before this one")
	assert.Equal(t, 1, w.engine.runCount(submit))
	assert.Equal(t, 1, w.engine.runCount(update))
}

// TestReplyMeetsNextCall: the engine has read the reply to a call when the link is lost, and the run makes its
// next call right after the answer to STAT sync. That call must get its own reply.
func TestReplyMeetsNextCall(t *testing.T) {
	t.Parallel()
	for _, class := range []string{"nom-submit", "balance-view"} {
		w := newTestbed(t, nil)
		trace := newTraceID()
		w.engine.setIgnoresStat(true)
		got := w.sendAsync(class, trace, "two calls")
		await(t, "FEED", func() bool { return w.engine.countReceived("FEED "+trace) == 1 })
		w.engine.setReleaseAfterSync()
		w.engine.closeLink()
		await(t, "another engine link", func() bool { return w.engine.countReceived("ATTACH") == 2 })
		w.engine.setIgnoresStat(false)
		w.engine.handleCommand([]string{"STAT", "sync"}, nil)
		assert.Equal(t, "reply:second call of "+trace, (<-got).body, class)
		assert.Equal(t, 2, w.engine.countReceived("FEED "+trace), class)
	}
}

// TestConfirmedRunIsNotRepeated: a run whose RUN the engine has confirmed is not sent again, even if its class
// is idempotent, because it would run twice.
func TestConfirmedRunIsNotRepeated(t *testing.T) {
	t.Parallel()
	w := newTestbed(t, nil)
	trace := newTraceID()
	got := w.sendAsync("balance-view", trace, "hold")
	await(t, "the run to start", func() bool { return w.engine.heldRuns() == 1 })
	before := w.engine.answeredPolls()
	await(t, "answered STAT commands", func() bool { return w.engine.answeredPolls() > before+1 })
	w.engine.closeLink()
	await(t, "another engine link", func() bool { return w.engine.countReceived("ATTACH") == 2 })
	require.Equal(t, 200, w.responseStatus("nom-submit", "ok"))
	w.engine.releaseHeld()
	assert.Equal(t, "result of "+trace, (<-got).body)
	assert.Equal(t, 1, w.engine.countReceived("RUN "+trace))
}

// TestReadRunThatNeverBegan: the engine confirms RUN by answering a later STAT, but never starts the run, and
// the link is lost. No notice ever arrives. An idempotent request is sent again, a nom-submit fails at its
// deadline, and neither occupies capacity for good.
func TestReadRunThatNeverBegan(t *testing.T) {
	t.Parallel()
	w := newTestbed(t, withSubmitDeadline(3*time.Second))
	w.engine.setIgnoresRun(true)
	readTrace, submitTrace := newTraceID(), newTraceID()
	got, submitResult := w.sendAsync("balance-view", readTrace, "ok"), w.sendAsync("nom-submit", submitTrace, "ok")
	await(t, "both RUNs", func() bool {
		return w.engine.countReceived("RUN "+readTrace)+w.engine.countReceived("RUN "+submitTrace) == 2
	})
	polls := w.engine.answeredPolls()
	await(t, "answered STAT commands", func() bool { return w.engine.answeredPolls() > polls+1 })
	w.engine.setIgnoresRun(false)
	w.engine.closeLink()
	await(t, "the run to be repeated", func() bool {
		w.responseStatus("nom-submit", "ok") // other requests complete meanwhile
		return w.engine.countReceived("RUN "+readTrace) == 2
	})
	assert.Equal(t, "result of "+readTrace, (<-got).body)
	assert.Equal(t, 500, (<-submitResult).status)
	assert.Equal(t, 1, w.engine.countReceived("RUN "+submitTrace))
	await(t, "HALT of its run", func() bool { return w.engine.countReceived("HALT "+submitTrace) > 0 })
}

// setIgnoresRun sets whether the engine ignores RUN.
func (e *engineStandin) setIgnoresRun(ignore bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ignoresRun = ignore
}

// answeredPolls returns how many STAT commands the engine has answered.
func (e *engineStandin) answeredPolls() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.answeredStats
}
