package store

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"oxbowbridge/internal/cluster/kv"
)

// simulatedLog is a leader's state and log clock under simulated time.
type simulatedLog struct {
	t     *testing.T
	state *kv.State
	clock *logClock
	now   time.Time
}

func newSimulatedLog(t *testing.T) *simulatedLog {
	return &simulatedLog{t: t, state: kv.New(), clock: &logClock{}, now: time.Now()}
}

func (l *simulatedLog) commit(r kv.Request) (kv.Response, error) {
	r.TimeMS = l.clock.stamp(l.state.LogTimeMS, l.now)
	response, _, err := l.state.Apply(l.state.AppliedIndex+1, &r)
	return response, err
}

func (l *simulatedLog) openSession() uint64 {
	l.t.Helper()
	response, err := l.commit(kv.Request{OpenSession: true})
	require.NoError(l.t, err)
	return response.SessionID
}

// commitOtherWrites commits n writes of other clients, each after a pause.
func (l *simulatedLog) commitOtherWrites(n int, pause time.Duration) {
	l.t.Helper()
	for range n {
		l.now = l.now.Add(pause)
		_, err := l.commit(kv.Request{Then: []kv.Op{kv.Put("other", []byte("1"))}})
		require.NoError(l.t, err)
	}
}

func (l *simulatedLog) writeInSession(session, number uint64) error {
	_, err := l.commit(kv.Request{SessionID: session, RequestNumber: number, Then: []kv.Op{kv.Put("k", []byte("1"))}})
	return err
}

// TestSessionAfterIdleCluster guards against a new session that expires at once. This would happen if the
// first entries after an idle period advanced the log time by the whole period.
func TestSessionAfterIdleCluster(t *testing.T) {
	l := newSimulatedLog(t)
	l.commitOtherWrites(1, 0)
	l.now = l.now.Add(time.Hour)
	session := l.openSession()
	l.commitOtherWrites(100, 10*time.Millisecond)
	assert.NoError(t, l.writeInSession(session, 1))
}

// TestSessionAfterStop guards against a session that expires within the first entries after a long stop of
// the cluster or a leader change, while its client still retries a request.
func TestSessionAfterStop(t *testing.T) {
	l := newSimulatedLog(t)
	session := l.openSession()
	require.NoError(t, l.writeInSession(session, 1))
	l.now = l.now.Add(time.Hour)
	l.clock = &logClock{}
	l.commitOtherWrites(100, 10*time.Millisecond)
	assert.NoError(t, l.writeInSession(session, 2))
}

// TestSessionAfterClockJump guards against sessions that expire because the leader's wall clock jumps
// ahead.
func TestSessionAfterClockJump(t *testing.T) {
	l := newSimulatedLog(t)
	session := l.openSession()
	l.now = l.now.Add(time.Second)
	l.now = l.now.Round(0).Add(24 * time.Hour) // Round(0) removes the monotonic reading, so that the wall clock is used
	l.commitOtherWrites(100, 10*time.Millisecond)
	assert.NoError(t, l.writeInSession(session, 1))
}

// TestIdleSessionsStillEnd guards against a log time that does not advance, under fast writes whose stamps
// are less than a millisecond apart, or under one request per minute. Idle sessions would then never
// expire.
func TestIdleSessionsStillEnd(t *testing.T) {
	const timeout = kv.SessionTimeoutMS * time.Millisecond
	for _, pause := range []time.Duration{900 * time.Microsecond, time.Second, maxLogClockStep} {
		l := newSimulatedLog(t)
		session := l.openSession()
		l.commitOtherWrites(int(timeout/pause)+2, pause)
		assert.ErrorIs(t, l.writeInSession(session, 1), kv.ErrSessionNotFound, pause)
	}
}
