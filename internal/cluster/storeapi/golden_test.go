package storeapi

import (
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"

	"oxbowbridge/internal/testrig/golden"
)

// TestGoldenTypes: bodies of requests and answers keep their JSON.
func TestGoldenTypes(t *testing.T) {
	golden.JSON(t, "testdata/types.golden",
		golden.Sample{Name: "status", Value: &Status{}},
		golden.Sample{Name: "self", Value: &Self{}},
		golden.Sample{Name: "member", Value: &Member{}},
		golden.Sample{Name: "members", Value: &Members{}},
		golden.Sample{Name: "join", Value: &Join{}},
		golden.Sample{Name: "lease", Value: &Lease{}},
		golden.Sample{Name: "acquire", Value: &Acquire{}},
		golden.Sample{Name: "renew", Value: &Renew{}},
		golden.Sample{Name: "gone", Value: &Gone{}},
		golden.Sample{Name: "read-index", Value: &ReadIndex{}},
		golden.Sample{Name: "restored", Value: &Restored{}},
		golden.Sample{Name: "compacted", Value: &Compacted{}},
	)
}

// TestGoldenNames: header fields, limits, and the texts of fences, tags and errors.
func TestGoldenNames(t *testing.T) {
	var lines strings.Builder
	fmt.Fprintln(&lines, HeadCluster, HeadSession, HeadNumber, HeadLease, HeadRevision, HeadEventID)
	fmt.Fprintln(&lines, WatchProgress, EventMost, RestoreTime, ApplyTime, WaitMost, RenewMost)
	for _, text := range []string{"a/b/7", "/7", "a", "a/0", "a/x"} {
		held, err := ParseLease(text)
		fmt.Fprintln(&lines, held.Name, held.Token, err)
	}
	for _, text := range []string{Tag(7), `7`, `"0"`, `"x"`, `W/"7"`} {
		revision, err := ParseTag(text)
		fmt.Fprintln(&lines, text, revision, err)
	}
	fmt.Fprintln(&lines, Refused(409, []byte(" busy \n")))
	w := httptest.NewRecorder()
	Answer(w, ReadIndex{Index: 7})
	fmt.Fprintln(&lines, w.Code, w.Header(), w.Body)
	golden.Text(t, "testdata/names.golden", lines.String())
}
