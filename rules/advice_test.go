package rules

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestGivenUpIsAnsweredAtOnce: what the module gives up on is refused in the
// same call, with advice when to come back, and what is held is refused when
// its worth is lost, long before its due time.
func TestGivenUpIsAnsweredAtOnce(t *testing.T) {
	r := newRig(t, nil)
	r.fill()
	r.c.est.episode = 2 // μ is measured
	got := r.at(ms, ask(1, 0))
	require.Len(t, got, 1)
	refused, ok := got[0].(Refuse)
	require.True(t, ok, "%#v", got)
	require.Positive(t, refused.RetryIn)
	require.LessOrEqual(t, refused.RetryIn, r.c.set.AdviceMax)

	r = newRig(t, nil)
	for i := range uint32(r.c.limit + 1) { // one more than run
		r.at(0, ask(i+1, 1))
	}
	held := r.c.reqs[len(r.c.reqs)-1]
	require.Equal(t, phase(1), held.phase) // held
	r.c.est.episode = 2
	for at := time.Duration(0); r.c.byID[held.id] != nil; at += 4 * ms {
		require.Less(t, at, held.aim-held.arrived, "held past its aim")
		for _, a := range r.at(4*ms, Due{Ref: r.c.ref, Gauges: Gauges{CoreUse: 1}}) {
			if a, ok := a.(Refuse); ok && a.ID == held.id {
				require.Positive(t, a.RetryIn)
				return
			}
		}
	}
	t.Fatal("the held request ended without a refusal")
}

// TestPastDueNeverRuns: a request that is read after its due time is refused,
// also by an idle server. Run, it would have its effect and be failed at once.
func TestPastDueNeverRuns(t *testing.T) {
	r := newRig(t, nil)
	a := ask(1, 1)
	a.TimeLeft, a.Waited = 0, 3*time.Second // of two
	got := r.at(0, a)
	require.Len(t, got, 1)
	require.IsType(t, Refuse{}, got[0])
}
