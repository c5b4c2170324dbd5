package records

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestTransitions goes through all pairs of a state and an event.
func TestTransitions(t *testing.T) {
	states := []connState{connDialing, connBusy, connIdle, connClosed}
	want := map[connEvent][]connState{ // after the event, in the order of states
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
