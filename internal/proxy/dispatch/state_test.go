package dispatch

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestTransitions checks for each transition in which states it is permitted and which state follows.
func TestTransitions(t *testing.T) {
	all := []state{queued, running, awaitingCall, calling, paused, awaitingOriginal}
	require.Len(t, all, int(numStates)-1)
	for transition, want := range map[transition]map[state]state{
		startRun:        {queued: running},
		resumeRun:       {paused: running},
		needCall:        {running: awaitingCall},
		sendCall:        {awaitingCall: calling},
		callSucceeded:   {calling: running},
		callFailed:      {calling: awaitingCall},
		stopRun:         {running: running, awaitingCall: running, calling: running},
		requeueRun:      {running: queued, awaitingCall: queued, calling: queued, paused: queued},
		pauseRun:        {running: paused, awaitingCall: paused, calling: paused, paused: paused},
		joinOriginalRun: {queued: awaitingOriginal},
	} {
		for _, from := range all {
			next, applies := want[from]
			s := from
			require.Equal(t, applies, s.permits(transition), "%d in %v", transition, from)
			require.Equal(t, applies, s.advance(transition), "%d in %v", transition, from)
			if !applies {
				next = from
			}
			require.Equal(t, next, s, "%d in %v", transition, from)
		}
	}
}

// TestStateNames checks that each state has a unique name.
func TestStateNames(t *testing.T) {
	names := map[string]bool{}
	for s := queued; s < numStates; s++ {
		require.NotEqual(t, "unknown", s.String())
		names[s.String()] = true
	}
	require.Len(t, names, int(numStates)-1)
	require.Equal(t, "unknown", numStates.String())
}
