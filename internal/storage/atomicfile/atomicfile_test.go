package atomicfile

import (
	"io/fs"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestWriteNew: a new file has the data and only the owner may access it. An existing
// file is not changed.
func TestWriteNew(t *testing.T) {
	path := filepath.Join(t.TempDir(), "file")
	require.NoError(t, WriteNew(path, []byte("first")))
	assert.ErrorIs(t, WriteNew(path, []byte("second")), fs.ErrExist)
	data, err := os.ReadFile(path)
	require.NoError(t, err)
	assert.Equal(t, "first", string(data))
	info, err := os.Stat(path)
	require.NoError(t, err)
	assert.EqualValues(t, 0o600, info.Mode().Perm())
}

// TestWriteNewWithoutFolder: a missing folder is not created.
func TestWriteNewWithoutFolder(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "missing")
	assert.ErrorIs(t, WriteNew(filepath.Join(dir, "file"), []byte("data")), fs.ErrNotExist)
	assert.NoDirExists(t, dir)
}

// TestRenameNew: on a file system without hard links, an existing file is not replaced.
func TestRenameNew(t *testing.T) {
	dir := t.TempDir()
	from, to := filepath.Join(dir, "from"), filepath.Join(dir, "to")
	require.NoError(t, os.WriteFile(from, []byte("new"), 0o600))
	require.NoError(t, os.WriteFile(to, []byte("old"), 0o600))
	assert.ErrorIs(t, renameNew(from, to), fs.ErrExist)
	data, err := os.ReadFile(to)
	require.NoError(t, err)
	assert.Equal(t, "old", string(data))
	require.NoError(t, os.Remove(to))
	require.NoError(t, renameNew(from, to))
	assert.NoFileExists(t, from)
}
