package eventloop

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestTransitions checks the next state for every pair of a state and an event.
func TestTransitions(t *testing.T) {
	states := []connState{connOpen, connFlushing, connHalfClosed, connClosed}
	want := map[connEvent][]connState{ // the states after the event, in the order of states
		closeRequested:   {connFlushing, connFlushing, connHalfClosed, connClosed},
		flushed:          {connOpen, connHalfClosed, connHalfClosed, connClosed},
		descriptorClosed: {connClosed, connClosed, connClosed, connClosed},
	}
	for event, after := range want {
		for i, s := range states {
			require.Equal(t, after[i], s.next(event), "%v, event %d", s, event)
		}
	}
}
