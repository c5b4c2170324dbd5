package singleton

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestPartialBackups checks that a temporary file left by a crashed process is deleted and does not count
// as one of the backups to keep, and that files with other names are not deleted.
func TestPartialBackups(t *testing.T) {
	const (
		complete = "oxbowbridge-1700000000000-1.backup"
		partial  = "oxbowbridge-1700000000123-42.backup.partial-123"
	)
	names := []string{complete, partial, "other.partial-1", "oxbowbridge-1.backup.partial-1", partial + ".copy"}
	assert.Equal(t, []string{partial}, filesToRemove(names, 1))
}
