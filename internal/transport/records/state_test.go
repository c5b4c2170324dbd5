package records

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestTransitions checks the next state for each pair of a state and an event.
func TestTransitions(t *testing.T) {
	states := []connState{connDialing, connBusy, connIdle, connClosed}
	want := map[connEvent][]connState{ // next states, in the order of states
		callSent:    {connBusy, connBusy, connBusy, connClosed},
		callReplied: {connDialing, connIdle, connIdle, connClosed},
		connEnded:   {connClosed, connClosed, connClosed, connClosed},
	}
	for event, after := range want {
		for i, s := range states {
			require.Equal(t, after[i], s.next(event), "%v, event %d", s, event)
		}
	}
}
