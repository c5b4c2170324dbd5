package singleton

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestPartialBackups: guards against a partial file of a process that died that takes the place of a backup, or stays for
// ever; and against the removal of files with other names.
func TestPartialBackups(t *testing.T) {
	const (
		complete = "oxbowbridge-1700000000000-1.backup"
		partial  = "oxbowbridge-1700000000123-42.backup.partial-123"
	)
	names := []string{complete, partial, "other.partial-1", "oxbowbridge-1.backup.partial-1", partial + ".copy"}
	assert.Equal(t, []string{partial}, filesToRemove(names, 1))
}
