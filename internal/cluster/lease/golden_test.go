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

// TestGoldenTypes: the replicated state of leases, its operations and their results keep
// their JSON.
func TestGoldenTypes(t *testing.T) {
	golden.JSON(t, "testdata/types.golden",
		golden.Sample{Name: "waiter", Value: &Waiter{}},
		golden.Sample{Name: "lease", Value: &Lease{}},
		golden.Sample{Name: "op", Value: &Op{}},
		golden.Sample{Name: "result", Value: &Result{}},
		golden.Sample{Name: "held", Value: &Held{}},
		golden.Sample{Name: "state", Value: &State{}},
	)
}

// TestGoldenNames: operations, error codes, error texts and limits, as the log has them.
func TestGoldenNames(t *testing.T) {
	var lines strings.Builder
	fmt.Fprintln(&lines, Acquire, Withdraw, Release, Expire, HandOver, Revoke)
	fmt.Fprintln(&lines, Names, Waiters, Queued, LeastMS, MostMS, Ops, PerMS, Margin, WaitGrace)
	var known []string
	for code, err := range codes {
		known = append(known, fmt.Sprint(code, " = ", err))
	}
	slices.Sort(known)
	fmt.Fprintln(&lines, strings.Join(known, "\n"))
	s := NewState(10)
	for _, o := range []Op{
		{Do: Acquire, Name: "job", Holder: "h1", TTLMS: 1000}, {Do: Acquire, Name: "job", Holder: "h2", TTLMS: 1000, Wait: true},
		{Do: Acquire, Name: "job", Holder: "h3", TTLMS: 1}, {Do: Acquire, Name: "", Holder: "h3", TTLMS: 1000}, {Do: Acquire, Name: "job", Holder: " ", TTLMS: 1000},
		{Do: Release, Name: "job", Token: 9}, {Do: HandOver, Name: "job", Token: 11, Holder: "h3"}, {Do: "steal", Name: "job"}, {Do: Revoke, Name: "job"},
		{Do: HandOver, Name: "job", Token: 11, Holder: "h2"}, {Do: Expire, Name: "job", Token: 13}, {Do: Revoke, Name: "job"},
	} {
		r, given := s.Apply(o)
		text, err := json.Marshal(r)
		require.NoError(t, err)
		fmt.Fprintf(&lines, "%s %s %v %v\n", o.Do, text, given, r.Err())
	}
	golden.Text(t, "testdata/names.golden", lines.String())
}
