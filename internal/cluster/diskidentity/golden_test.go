package diskidentity

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestGolden: what nodes tell each other, and keep, of disks.
func TestGolden(t *testing.T) {
	mark := Mark{Starts: 1, Term: 2, LastTerm: 3, LastIndex: 4}
	for text, value := range map[string]any{
		`{"starts":1,"term":2,"last_term":3,"last_index":4}`: mark,
		`{"id":"n1@5f","cluster":"c","was":["b"],"fresh":true,"config":1,"members":["m"],"voters":["v"],"seen":{"starts":1,"term":2,"last_term":3,"last_index":4}}`: Word{
			ID: "n1@5f", Cluster: "c", Was: []string{"b"}, Fresh: true, Config: 1, Members: []string{"m"}, Voters: []string{"v"}, Seen: &mark},
		`{"id":"n1@5f","fresh":false,"config":0}`: Word{ID: "n1@5f"},
	} {
		got, err := json.Marshal(value)
		require.NoError(t, err)
		assert.Equal(t, text, string(got))
	}
	var back Word
	require.NoError(t, json.Unmarshal([]byte(`{"id":"n1@5f","cluster":"c","was":["b"],"fresh":true,"config":1,"members":["m"],"voters":["v"],"seen":{"starts":1}}`), &back))
	assert.Equal(t, Word{ID: "n1@5f", Cluster: "c", Was: []string{"b"}, Fresh: true, Config: 1, Members: []string{"m"}, Voters: []string{"v"}, Seen: &Mark{Starts: 1}}, back)
	assert.Equal(t, "n1@5f", ID("n1", "5f"))
	assert.Equal(t, []string{"n1", "5f", "n1", ""}, []string{Name("n1@5f"), Disk("n1@5f"), Name("n1"), Disk("n1")})
	for v, text := range map[Verdict]string{Wait: "wait", Found: "found", Join: "join", Resume: "resume", Renew: "renew"} {
		assert.Equal(t, text, v.String())
	}
}
