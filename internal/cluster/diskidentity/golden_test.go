package diskidentity

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestGolden guards against a change of the JSON that nodes exchange and store about disks, and of the verdicts' names.
func TestGolden(t *testing.T) {
	mark := Watermark{Starts: 1, Term: 2, LastTerm: 3, LastIndex: 4}
	for text, value := range map[string]any{
		`{"starts":1,"term":2,"last_term":3,"last_index":4}`: mark,
		`{"id":"n1@5f","cluster":"c","was":["b"],"fresh":true,"config":1,"members":["m"],"voters":["v"],"seen":{"starts":1,"term":2,"last_term":3,"last_index":4}}`: Attestation{
			ID: "n1@5f", Cluster: "c", PreviousClusters: []string{"b"}, Fresh: true, ConfigIndex: 1, Members: []string{"m"}, Voters: []string{"v"}, LastObserved: &mark},
		`{"id":"n1@5f","fresh":false,"config":0}`: Attestation{ID: "n1@5f"},
	} {
		got, err := json.Marshal(value)
		require.NoError(t, err)
		assert.Equal(t, text, string(got))
	}
	var decoded Attestation
	require.NoError(t, json.Unmarshal([]byte(`{"id":"n1@5f","cluster":"c","was":["b"],"fresh":true,"config":1,"members":["m"],"voters":["v"],"seen":{"starts":1}}`), &decoded))
	assert.Equal(t, Attestation{ID: "n1@5f", Cluster: "c", PreviousClusters: []string{"b"}, Fresh: true, ConfigIndex: 1, Members: []string{"m"}, Voters: []string{"v"}, LastObserved: &Watermark{Starts: 1}}, decoded)
	assert.Equal(t, "n1@5f", MemberID("n1", "5f"))
	assert.Equal(t, []string{"n1", "5f", "n1", ""}, []string{MemberName("n1@5f"), MemberDisk("n1@5f"), MemberName("n1"), MemberDisk("n1")})
	for v, text := range map[Verdict]string{VerdictWait: "wait", VerdictBootstrap: "found", VerdictJoin: "join", VerdictResume: "resume", VerdictNewIdentity: "renew"} {
		assert.Equal(t, text, v.String())
	}
}
