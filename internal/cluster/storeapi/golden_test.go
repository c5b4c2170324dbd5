package storeapi

import (
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"

	"oxbowbridge/internal/testrig/golden"
)

// TestGoldenTypes checks that the JSON encoding of request and response bodies is unchanged.
func TestGoldenTypes(t *testing.T) {
	golden.JSON(t, "testdata/types.golden",
		golden.Sample{Name: "status", Value: &Status{}},
		golden.Sample{Name: "self", Value: &PeerStatus{}},
		golden.Sample{Name: "member", Value: &Member{}},
		golden.Sample{Name: "members", Value: &Members{}},
		golden.Sample{Name: "join", Value: &JoinRequest{}},
		golden.Sample{Name: "lease", Value: &LeaseStatus{}},
		golden.Sample{Name: "acquire", Value: &AcquireRequest{}},
		golden.Sample{Name: "renew", Value: &RenewRequest{}},
		golden.Sample{Name: "gone", Value: &RenewResponse{}},
		golden.Sample{Name: "read-index", Value: &ReadIndexResponse{}},
		golden.Sample{Name: "restored", Value: &RestoreResponse{}},
		golden.Sample{Name: "compacted", Value: &CompactedResponse{}},
	)
}

// TestGoldenNames checks that header names, limits, the formats of fencing tokens and entity tags, and
// error texts are unchanged.
func TestGoldenNames(t *testing.T) {
	var lines strings.Builder
	fmt.Fprintln(&lines, HeaderCluster, HeaderSession, HeaderRequestNumber, HeaderLease, HeaderStoreRevision, HeaderLastEventID)
	fmt.Fprintln(&lines, WatchProgressInterval, MaxEventBytes, RestoreTimeout, CommitTimeout, MaxLeaseWait, MaxRenewals)
	for _, text := range []string{"a/b/7", "/7", "a", "a/0", "a/x"} {
		fence, err := ParseFencingToken(text)
		fmt.Fprintln(&lines, fence.Name, fence.Token, err)
	}
	for _, text := range []string{FormatETag(7), `7`, `"0"`, `"x"`, `W/"7"`} {
		revision, err := ParseETag(text)
		fmt.Fprintln(&lines, text, revision, err)
	}
	fmt.Fprintln(&lines, NewStatusError(409, []byte(" busy \n")))
	w := httptest.NewRecorder()
	WriteJSON(w, ReadIndexResponse{Index: 7})
	fmt.Fprintln(&lines, w.Code, w.Header(), w.Body)
	golden.Text(t, "testdata/names.golden", lines.String())
}
