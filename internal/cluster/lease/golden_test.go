package lease

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"oxbowbridge/internal/testrig/golden"
)

// TestGoldenTypes guards against a change of the JSON encoding of the replicated lease state, of operations and of
// results.
func TestGoldenTypes(t *testing.T) {
	golden.JSON(t, "testdata/types.golden",
		golden.Sample{Name: "waiter", Value: &Waiter{}},
		golden.Sample{Name: "lease", Value: &Lease{}},
		golden.Sample{Name: "op", Value: &Op{}},
		golden.Sample{Name: "result", Value: &Result{}},
		golden.Sample{Name: "held", Value: &FencingToken{}},
		golden.Sample{Name: "state", Value: &State{}},
	)
}

// TestGoldenNames guards against a change of operations, error codes, error texts and limits, which are in the log.
func TestGoldenNames(t *testing.T) {
	var lines strings.Builder
	fmt.Fprintln(&lines, OpAcquire, OpWithdraw, OpRelease, OpExpire, OpHandOver, OpRevoke)
	fmt.Fprintln(&lines, MaxLeases, MaxWaitersPerLease, MaxWaiters, MinTTLMS, MaxTTLMS, MaxOpsPerEntry, TokensPerMS, SafetyMargin, WaiterTimeout)
	var known []string
	for code, err := range errorsByCode {
		known = append(known, fmt.Sprint(code, " = ", err))
	}
	slices.Sort(known)
	fmt.Fprintln(&lines, strings.Join(known, "\n"))
	s := NewState(10)
	for _, o := range []Op{
		{Kind: OpAcquire, Name: "job", Holder: "h1", TTLMS: 1000}, {Kind: OpAcquire, Name: "job", Holder: "h2", TTLMS: 1000, Enqueue: true},
		{Kind: OpAcquire, Name: "job", Holder: "h3", TTLMS: 1}, {Kind: OpAcquire, Name: "", Holder: "h3", TTLMS: 1000}, {Kind: OpAcquire, Name: "job", Holder: " ", TTLMS: 1000},
		{Kind: OpRelease, Name: "job", Token: 9}, {Kind: OpHandOver, Name: "job", Token: 11, Holder: "h3"}, {Kind: "steal", Name: "job"}, {Kind: OpRevoke, Name: "job"},
		{Kind: OpHandOver, Name: "job", Token: 11, Holder: "h2"}, {Kind: OpExpire, Name: "job", Token: 13}, {Kind: OpRevoke, Name: "job"},
	} {
		r, granted := s.Apply(o)
		text, err := json.Marshal(r)
		require.NoError(t, err)
		fmt.Fprintf(&lines, "%s %s %v %v\n", o.Kind, text, granted, r.Err())
	}
	golden.Text(t, "testdata/names.golden", lines.String())
}
