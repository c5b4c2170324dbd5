package kv

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"oxbowbridge/internal/cluster/lease"
	"oxbowbridge/internal/testrig/golden"
)

// TestGoldenTypes checks that the JSON encoding of log entries, snapshots and responses is unchanged.
func TestGoldenTypes(t *testing.T) {
	golden.JSON(t, "testdata/types.golden",
		golden.Sample{Name: "entry", Value: &Entry{}},
		golden.Sample{Name: "op", Value: &Op{}},
		golden.Sample{Name: "compare", Value: &Compare{}},
		golden.Sample{Name: "request", Value: &Request{}},
		golden.Sample{Name: "result", Value: &Result{}},
		golden.Sample{Name: "answer", Value: &Response{}},
		golden.Sample{Name: "check", Value: &ChecksumPoint{}},
		golden.Sample{Name: "checks", Value: &ChecksumHistory{}},
		golden.Sample{Name: "sum", Value: &Checksum{}},
		golden.Sample{Name: "session", Value: &session{}},
		golden.Sample{Name: "state", Value: &State{}},
	)
}

// TestGoldenKeys checks that the reserved keys and the limits are unchanged. Other nodes, backups and
// existing logs depend on them.
func TestGoldenKeys(t *testing.T) {
	golden.Text(t, "testdata/keys.golden", fmt.Sprintln(
		ReservedPrefix, ClusterIDKey, RestoreMarkerKey, PreviousClustersKey, RemovedMemberPrefix, PreferredVoterPrefix, LeasesEnabledKey, ServiceStatePrefix,
		MaxKeyBytes, MaxValueBytes, MaxKeys, MaxOps, MaxSessions, MaxCachedResponses, MaxCachedResponseBytes, SessionTimeoutMS, maxClockAdvanceMS, checksumInterval, maxChecksumPoints, checksumResetInterval))
}

// TestGoldenErrors checks that the error texts are unchanged. HTTP responses contain them.
func TestGoldenErrors(t *testing.T) {
	var lines strings.Builder
	for _, err := range []error{ErrFull, ErrSessionNotFound, ErrStaleRequest, ErrFenced, ErrRestoring, ErrInvalidRequest} {
		fmt.Fprintln(&lines, err)
	}
	s := New()
	for _, r := range []Request{
		{SessionID: 1}, {Then: []Op{{Kind: "put"}}}, {Then: []Op{{Kind: "swap", Key: "a"}}}, {Then: []Op{{Kind: "get", Key: "a", Value: []byte("1")}}},
		{Then: []Op{{Kind: "put", Key: "a", Value: []byte("null")}}}, {SessionID: 9, RequestNumber: 1}, {Fences: []lease.FencingToken{{Name: "job", Token: 3}}},
	} {
		_, _, err := s.Apply(1, &r)
		fmt.Fprintln(&lines, err)
	}
	fmt.Fprintln(&lines, (&Request{Then: make([]Op, MaxOps+1)}).ValidateSize())
	golden.Text(t, "testdata/errors.golden", lines.String())
}

// TestGoldenLog checks that applying a log of an earlier version still produces the same responses,
// changed keys, running checksums and snapshot.
func TestGoldenLog(t *testing.T) {
	var lines strings.Builder
	s := New()
	for i, data := range []string{
		`{"time_ms":1000,"open":true,"then":null}`,
		`{"time_ms":1001,"leases":[{"do":"acquire","name":"job","holder":"h1","ttl_ms":5000},{"do":"acquire","name":"job","holder":"h2","ttl_ms":5000,"wait":true,"priority":2}],"floor":100,"then":null}`,
		`{"time_ms":1002,"session":1,"number":1,"if":[{"key":"a","revision":0}],"then":[{"do":"put","key":"a","value":{"x":1}},{"do":"put","key":"b","value":2}]}`,
		`{"time_ms":1003,"session":1,"number":1,"then":[{"do":"put","key":"a","value":7}]}`,
		`{"time_ms":1004,"fence":[{"name":"job","token":101}],"then":[{"do":"get","key":"a"},{"do":"delete","key":"b"}]}`,
		`{"time_ms":1005,"leases":[{"do":"release","name":"job","token":101}],"then":null}`,
		`{"time_ms":1006,"fence":[{"name":"job","token":101}],"then":[{"do":"put","key":"a","value":8}]}`,
		`{"time_ms":1007,"leases":[{"do":"revoke","name":"job"},{"do":"withdraw","name":"job","holder":"h2"},{"do":"hand-over","name":"job","holder":"h3","token":103},{"do":"expire","name":"job","token":103}],"then":null}`,
		`{"time_ms":1008,"if":[{"key":"a","revision":1}],"then":[{"do":"put","key":"a","value":9}],"else":[{"do":"get","key":"a"}]}`,
		`not a request`,
	} {
		var r Request
		decodeErr := json.Unmarshal([]byte(data), &r)
		if decodeErr != nil {
			decodeErr = errors.New("not read")
		}
		response, changed, err := s.ApplyEntry(uint64(i+1), []byte(data), &r, decodeErr)
		text, marshalErr := json.Marshal(response)
		require.NoError(t, marshalErr)
		fmt.Fprintln(&lines, i+1, string(text), changed, err, s.Checksum.StartIndex, s.Checksum.Sum)
	}
	text, err := json.Marshal(s)
	require.NoError(t, err)
	fmt.Fprintln(&lines, string(text))
	golden.Text(t, "testdata/log.golden", lines.String())
	restored := New()
	require.NoError(t, json.Unmarshal(text, restored))
	reencoded, err := json.Marshal(restored)
	require.NoError(t, err)
	require.Equal(t, string(text), string(reencoded))
}
