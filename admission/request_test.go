package admission

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestPhaseTransitions: no transition leaves the final phase for another phase or leads back to the
// first phase, and every other phase can be reached and left.
func TestPhaseTransitions(t *testing.T) {
	var reachedPhases, leftPhases phaseSet
	for s := range transitions {
		step := transition(s)
		to := transitions[step].to
		require.NotEqual(t, phaseUndecided, to)
		reachedPhases |= newPhaseSet(to)
		for p := range phaseCount {
			if !step.allowedFrom(p) {
				continue
			}
			if p == phaseFinished {
				require.Equal(t, phaseFinished, to)
			}
			if p != to {
				leftPhases |= newPhaseSet(p)
			}
		}
	}
	for p := range phaseCount {
		require.Equal(t, p != phaseUndecided, reachedPhases&newPhaseSet(p) != 0, "phase %v reachable", p)
		require.Equal(t, p != phaseFinished, leftPhases&newPhaseSet(p) != 0, "phase %v can be left", p)
	}
}

func TestPhaseString(t *testing.T) {
	require.Equal(t, "undecided", phaseUndecided.String())
	require.Equal(t, "awaiting result", phaseAwaitingResult.String())
	require.Equal(t, "finished", phaseFinished.String())
	require.Equal(t, "phase(8)", phaseCount.String())
}
