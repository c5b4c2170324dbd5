package singleton

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestGolden checks that the record of a scheduled backup, its file name and the names of the leases are
// unchanged.
func TestGolden(t *testing.T) {
	last := LastBackup{TimeMS: 1, Node: "n1", File: "/b/f", Revision: 2, SHA256: "ab"}
	const text = `{"time_ms":1,"node":"n1","file":"/b/f","revision":2,"sha256":"ab"}`
	encoded, err := json.Marshal(last)
	require.NoError(t, err)
	assert.Equal(t, text, string(encoded))
	var decoded LastBackup
	require.NoError(t, json.Unmarshal([]byte(text), &decoded))
	assert.Equal(t, last, decoded)
	assert.Equal(t, []string{"fleet/mirror", "fleet/backup", "fleet/sessions", "state/fleet.backup"}, []string{MirrorLease, BackupLease, SessionExpiryLease, LastBackupKey})
	assert.Equal(t, "oxbowbridge-1700000000123-42.backup", backupFileName(time.UnixMilli(1700000000123), 42))
	assert.Equal(t, []string{"oxbowbridge-1700000000000-1.backup"},
		filesToRemove([]string{"oxbowbridge-1700000000123-42.backup", "oxbowbridge-1700000000000-1.backup", "other"}, 1))
}
