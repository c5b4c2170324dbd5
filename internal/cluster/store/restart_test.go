package store

import (
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

// TestRestartsArePaced guards against a tight loop of incarnations while the Raft address is in use, as
// each one logs and writes to the disk. Only the first restart has no pause. Once the address is free, the
// node serves.
func TestRestartsArePaced(t *testing.T) {
	const wantEnds, minDuration = 4, 3 * time.Second // pauses of 0, 1 and 2 s before the three restarts
	occupied, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer occupied.Close()
	core, logs := observer.New(zap.ErrorLevel)
	self := Peer{Name: "a", Raft: occupied.Addr().String(), Admin: "127.0.0.1:1"}
	s, err := New(Config{Node: "a", Dir: t.TempDir(), Peers: []Peer{self}}, zap.New(core))
	require.NoError(t, err)
	require.NoError(t, s.Start())
	defer s.Close()
	ended := func() []observer.LoggedEntry { return logs.FilterMessage("incarnation ended").All() }
	require.Eventually(t, func() bool { return len(ended()) >= wantEnds }, 30*time.Second, time.Millisecond)
	ends := ended()
	assert.GreaterOrEqual(t, ends[wantEnds-1].Time.Sub(ends[0].Time), minDuration)
	assert.Eventually(t, func() bool { return strings.Contains(s.WaitReason(), "raft address") }, 30*time.Second, time.Millisecond,
		"between two incarnations, WaitReason returns the error that ended the last one")
	require.NoError(t, occupied.Close())
	require.Eventually(t, func() bool { return s.WaitReason() == "" }, 30*time.Second, 10*time.Millisecond)
}

// TestRestartBackoff guards against a pause that grows without bound, or that is not reset after a
// long-running incarnation.
func TestRestartBackoff(t *testing.T) {
	var b restartBackoff
	var delays []time.Duration
	for range 6 {
		delays = append(delays, b.next(maxRestartDelay-1))
	}
	assert.Equal(t, []time.Duration{0, time.Second, 2 * time.Second, 4 * time.Second, maxRestartDelay, maxRestartDelay}, delays)
	assert.Zero(t, b.next(maxRestartDelay))
	assert.Equal(t, minRestartDelay, b.next(0))
}
