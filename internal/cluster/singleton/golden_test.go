package singleton

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestGolden: the note of a scheduled backup, its file's name, and the names of the leases.
func TestGolden(t *testing.T) {
	last := LastBackup{TimeMS: 1, Node: "n1", File: "/b/f", Revision: 2, SHA256: "ab"}
	const text = `{"time_ms":1,"node":"n1","file":"/b/f","revision":2,"sha256":"ab"}`
	got, err := json.Marshal(last)
	require.NoError(t, err)
	assert.Equal(t, text, string(got))
	var back LastBackup
	require.NoError(t, json.Unmarshal([]byte(text), &back))
	assert.Equal(t, last, back)
	assert.Equal(t, []string{"fleet/mirror", "fleet/backup", "fleet/sessions", "state/fleet.backup"}, []string{LeaseMirror, LeaseBackup, LeaseSessions, KeyLastBackup})
	assert.Equal(t, "oxbowbridge-1700000000123-42.backup", fileName(time.UnixMilli(1700000000123), 42))
	assert.Equal(t, []string{"oxbowbridge-1700000000000-1.backup"},
		expiredBackups([]string{"oxbowbridge-1700000000123-42.backup", "oxbowbridge-1700000000000-1.backup", "other"}, 1))
}
