package store

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"oxbowbridge/internal/cluster/kv"
)

// stampedLog is a leader's state and clock, in a test's time.
type stampedLog struct {
	t     *testing.T
	state *kv.State
	clock *logClock
	now   time.Time
}

func newStampedLog(t *testing.T) *stampedLog {
	return &stampedLog{t: t, state: kv.New(), clock: &logClock{}, now: time.Now()}
}

func (l *stampedLog) commit(r kv.Request) (kv.Response, error) {
	r.TimeMS = l.clock.stamp(l.state.LogTimeMS, l.now)
	response, _, err := l.state.Apply(l.state.AppliedIndex+1, &r)
	return response, err
}

func (l *stampedLog) openSession() uint64 {
	l.t.Helper()
	response, err := l.commit(kv.Request{OpenSession: true})
	require.NoError(l.t, err)
	return response.SessionID
}

// commitOthers commits requests of other clients, each after a pause.
func (l *stampedLog) commitOthers(n int, pause time.Duration) {
	l.t.Helper()
	for range n {
		l.now = l.now.Add(pause)
		_, err := l.commit(kv.Request{Then: []kv.Op{kv.Put("other", []byte("1"))}})
		require.NoError(l.t, err)
	}
}

func (l *stampedLog) use(session, number uint64) error {
	_, err := l.commit(kv.Request{SessionID: session, RequestNumber: number, Then: []kv.Op{kv.Put("k", []byte("1"))}})
	return err
}

// TestSessionAfterIdleCluster guards against a session that ends a moment after it was opened, as some
// entries move log time on by all the time for which the cluster had no requests.
func TestSessionAfterIdleCluster(t *testing.T) {
	l := newStampedLog(t)
	l.commitOthers(1, 0)
	l.now = l.now.Add(time.Hour)
	session := l.openSession()
	l.commitOthers(100, 10*time.Millisecond)
	assert.NoError(t, l.use(session, 1))
}

// TestSessionAfterStop guards against the end of a session, whose client still waits for the answer to
// a request, in the first entries after a long stop or under a new leader.
func TestSessionAfterStop(t *testing.T) {
	l := newStampedLog(t)
	session := l.openSession()
	require.NoError(t, l.use(session, 1))
	l.now = l.now.Add(time.Hour)
	l.clock = &logClock{}
	l.commitOthers(100, 10*time.Millisecond)
	assert.NoError(t, l.use(session, 2))
}

// TestSessionAfterClockJump guards against a leader's wall clock that jumps ahead and ends all sessions.
func TestSessionAfterClockJump(t *testing.T) {
	l := newStampedLog(t)
	session := l.openSession()
	l.now = l.now.Add(time.Second)
	l.now = l.now.Round(0).Add(24 * time.Hour) // no monotonic reading: the wall clock counts
	l.commitOthers(100, 10*time.Millisecond)
	assert.NoError(t, l.use(session, 1))
}

// TestIdleSessionsStillEnd guards against log time that stands still: under quick writes, whose stamps
// are less than a millisecond apart, and with one request a minute.
func TestIdleSessionsStillEnd(t *testing.T) {
	const timeout = kv.SessionTimeoutMS * time.Millisecond
	for _, pause := range []time.Duration{900 * time.Microsecond, time.Second, maxLogClockStep} {
		l := newStampedLog(t)
		session := l.openSession()
		l.commitOthers(int(timeout/pause)+2, pause)
		assert.ErrorIs(t, l.use(session, 1), kv.ErrSessionNotFound, pause)
	}
}
