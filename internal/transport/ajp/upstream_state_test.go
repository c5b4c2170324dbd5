package ajp

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestUpstreamTransitions checks the next state for every pair of a state and an event.
func TestUpstreamTransitions(t *testing.T) {
	states := []upstreamState{upstreamDialing, upstreamChecking, upstreamBusy, upstreamIdle, upstreamClosed}
	want := map[upstreamEvent][]upstreamState{ // the states after the event, in the order of states
		upstreamPingSent:    {upstreamChecking, upstreamChecking, upstreamBusy, upstreamChecking, upstreamClosed},
		upstreamRequestSent: {upstreamBusy, upstreamBusy, upstreamBusy, upstreamIdle, upstreamClosed},
		upstreamFreed:       {upstreamDialing, upstreamIdle, upstreamIdle, upstreamIdle, upstreamClosed},
		upstreamConnLost:    {upstreamClosed, upstreamClosed, upstreamClosed, upstreamClosed, upstreamClosed},
	}
	for event, after := range want {
		for i, s := range states {
			require.Equal(t, after[i], s.next(event), "%v, event %d", s, event)
		}
	}
}
