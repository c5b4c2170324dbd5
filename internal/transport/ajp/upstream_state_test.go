package ajp

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestUpstreamTransitions goes through all pairs of a state and an event.
func TestUpstreamTransitions(t *testing.T) {
	states := []upstreamState{upstreamDialing, upstreamChecking, upstreamBusy, upstreamIdle, upstreamClosed}
	want := map[upstreamEvent][]upstreamState{ // after the event, in the order of states
		upstreamPinged:   {upstreamChecking, upstreamChecking, upstreamBusy, upstreamChecking, upstreamClosed},
		upstreamSent:     {upstreamBusy, upstreamBusy, upstreamBusy, upstreamIdle, upstreamClosed},
		upstreamReleased: {upstreamDialing, upstreamIdle, upstreamIdle, upstreamIdle, upstreamClosed},
		upstreamLost:     {upstreamClosed, upstreamClosed, upstreamClosed, upstreamClosed, upstreamClosed},
	}
	for event, after := range want {
		for i, s := range states {
			require.Equal(t, after[i], s.next(event), "%v, event %d", s, event)
		}
	}
}
